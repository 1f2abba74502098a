//! A field whose faults do not abort the reading of the file.

use std::fmt;
use std::marker::PhantomData;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::MapAccess;
use serde::de::Visitor;

/// Name by which the reader of this crate recognises a [`Field`].
pub(crate) const MARKER: &str = "$hitch_settings::Field";

/// A value with its line, for structs that are read by this crate.
///
/// A value of the wrong type is reported and leaves `value` empty, and so does an absent one, which
/// is reported only when a check of [`crate::report::Scope`] requires it.
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
    /// The value, unless it is absent or of the wrong type.
    pub value: Option<T>,
    /// Line of the value, from 1, or 0 when it is absent.
    pub line: u64,
    /// Whether the file holds no such field.
    pub absent: bool,
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Field<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Field<T>, D::Error> {
        deserializer.deserialize_option(Outer(PhantomData))
    }
}

struct Outer<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for Outer<T> {
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
        deserializer.deserialize_struct(MARKER, &["line", "value"], Inner(PhantomData))
    }
}

struct Inner<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for Inner<T> {
    type Value = Field<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a value with its line")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Field<T>, A::Error> {
        let _: Option<Box<str>> = map.next_key()?;
        let line = map.next_value()?;
        let _: Option<Box<str>> = map.next_key()?;
        // The reader has put the error into the report before it returns it here.
        let value = map.next_value().ok();
        Ok(Field {
            value,
            line,
            absent: false,
        })
    }
}
