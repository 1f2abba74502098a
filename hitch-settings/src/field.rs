//! A field whose invalid value does not abort the parsing of the file.

use std::fmt;
use std::marker::PhantomData;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::MapAccess;
use serde::de::Visitor;

/// Struct name by which the deserializer of this crate recognises a [`Field`].
pub(crate) const FIELD_STRUCT_NAME: &str = "$hitch_settings::Field";

/// A value and its line, for use in structs that this crate deserializes.
///
/// If the value has the wrong type, a problem is reported and `value` is `None`. If the field is
/// absent, `value` is `None` too, and a problem is reported only if a check of
/// [`crate::report::Scope`] requires the field.
///
/// ```
/// #[derive(serde::Deserialize)]
/// struct Raw {
///     threads: hitch_settings::Field<u32>,
/// }
/// let raw: Raw = hitch_settings::from_bytes("a.yaml", b"\nthreads: 4")?;
/// assert_eq!((raw.threads.value, raw.threads.line), (Some(4), 2));
/// # Ok::<(), hitch_settings::read::Error>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Field<T> {
    /// The value, `None` if it is absent or of the wrong type.
    pub value: Option<T>,
    /// Line of the value, counted from 1, or 0 if it is absent.
    pub line: u64,
    /// Whether the field is absent from the file.
    pub absent: bool,
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Field<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Field<T>, D::Error> {
        deserializer.deserialize_option(FieldVisitor(PhantomData))
    }
}

struct FieldVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for FieldVisitor<T> {
    type Value = Field<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a value")
    }

    fn visit_none<E>(self) -> Result<Field<T>, E> {
        Ok(Field {
            value: None,
            line: 0,
            absent: true,
        })
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Field<T>, D::Error> {
        deserializer.deserialize_struct(
            FIELD_STRUCT_NAME,
            &["line", "value"],
            LineAndValueVisitor(PhantomData),
        )
    }
}

struct LineAndValueVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for LineAndValueVisitor<T> {
    type Value = Field<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a value with its line")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Field<T>, A::Error> {
        let _: Option<Box<str>> = map.next_key()?;
        let line = map.next_value()?;
        let _: Option<Box<str>> = map.next_key()?;
        // The deserializer has already added the error to the report.
        let value = map.next_value().ok();
        Ok(Field {
            value,
            line,
            absent: false,
        })
    }
}
