//! Deserialization of the caller's struct from the tree, which reports problems and does not stop at the first one.

use std::cell::RefCell;
use std::fmt;

use serde::de::DeserializeSeed;
use serde::de::Deserializer;
use serde::de::EnumAccess;
use serde::de::Error as _;
use serde::de::Expected;
use serde::de::IntoDeserializer;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Unexpected;
use serde::de::VariantAccess;
use serde::de::Visitor;
use serde::de::value::StringDeserializer;
use serde::forward_to_deserialize_any;

use crate::field::FIELD_STRUCT_NAME;
use crate::problem::Problem;
use crate::tree::Entry;
use crate::tree::Tree;
use crate::tree::Value;

/// Why a value could not be deserialized.
#[derive(Debug)]
pub(crate) enum ValueError {
    /// The problem was already added to the report.
    Reported,
    /// The value is invalid; holds a description of the allowed values.
    Invalid(String),
    /// A required field of a map is missing; holds its name.
    Missing(&'static str),
}

impl fmt::Display for ValueError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ValueError::Reported => f.write_str("reported"),
            ValueError::Invalid(allowed) => write!(f, "allowed: {allowed}"),
            ValueError::Missing(field) => write!(f, "{field} is missing"),
        }
    }
}

impl std::error::Error for ValueError {}

impl serde::de::Error for ValueError {
    fn custom<T: fmt::Display>(message: T) -> ValueError {
        ValueError::Invalid(message.to_string())
    }

    fn invalid_type(_: Unexpected<'_>, expected: &dyn Expected) -> ValueError {
        ValueError::Invalid(describe_expected(expected))
    }

    fn invalid_value(_: Unexpected<'_>, expected: &dyn Expected) -> ValueError {
        ValueError::Invalid(describe_expected(expected))
    }

    fn unknown_variant(_: &str, expected: &'static [&'static str]) -> ValueError {
        ValueError::Invalid(expected.join(" or "))
    }

    fn missing_field(field: &'static str) -> ValueError {
        ValueError::Missing(field)
    }
}

/// Describes an expected value without the names of Rust types, which operators may not know.
fn describe_expected(expected: &dyn Expected) -> String {
    match expected.to_string().as_str() {
        "u8" => "a whole number up to 255".to_owned(),
        "u16" => "a whole number up to 65535".to_owned(),
        "u32" => "a whole number up to 4294967295".to_owned(),
        "u64" | "usize" => "a whole number from 0".to_owned(),
        "a boolean" => "true or false".to_owned(),
        "a string" => "text".to_owned(),
        "a sequence" => "a list".to_owned(),
        other => other.replace("struct ", "a map of the fields of "),
    }
}

/// A deserializer for one value of the tree, which adds problems to the report.
#[derive(Clone, Copy)]
pub(crate) struct TreeDeserializer<'a> {
    pub(crate) tree: &'a Tree,
    /// Path of the value, such as `backend.service`; empty for the whole file.
    pub(crate) path: &'a str,
    pub(crate) problems: &'a RefCell<Vec<Problem>>,
}

impl<'a> TreeDeserializer<'a> {
    /// Deserializes the value and adds a problem to the report if that fails.
    pub(crate) fn read<'de, S: DeserializeSeed<'de>>(
        self,
        seed: S,
    ) -> Result<S::Value, ValueError> {
        let err = match seed.deserialize(self) {
            Ok(value) => return Ok(value),
            Err(err) => err,
        };
        match err {
            ValueError::Reported => {}
            ValueError::Invalid(allowed) => {
                self.report(
                    self.tree.line,
                    self.path,
                    &self.tree.display_value(),
                    &allowed,
                );
            }
            ValueError::Missing(field) => {
                let path = join(self.path, field);
                self.report(self.tree.line, &path, "nothing", "a value, it is required");
            }
        }
        Err(ValueError::Reported)
    }

    fn report(self, line: u64, path: &str, value: &str, allowed: &str) {
        let field = match path {
            "" => "file",
            path => path,
        };
        self.problems
            .borrow_mut()
            .push(Problem::new(line, field, value, allowed));
    }

    /// Returns the first entry of each key. Reports duplicate keys, and keys that are not in `fields`
    /// unless it is empty.
    fn entries(self, entries: &'a [Entry], fields: &[&str]) -> Vec<&'a Entry> {
        let mut unique: Vec<&Entry> = Vec::new();
        for entry in entries {
            let path = join(self.path, &entry.key);
            if !fields.is_empty() && !fields.contains(&&*entry.key) {
                let allowed = format!("one of {}", fields.join(", "));
                self.report(entry.line, &path, "an unknown field", &allowed);
                continue;
            }
            if let Some(first) = unique.iter().find(|e| e.key == entry.key) {
                let value = format!("a second value, the first is on line {}", first.line);
                self.report(entry.line, &path, &value, "each key once");
                continue;
            }
            unique.push(entry);
        }
        unique
    }
}

fn join(path: &str, field: &str) -> String {
    match path {
        "" => field.to_owned(),
        path => format!("{path}.{field}"),
    }
}

impl<'de> Deserializer<'de> for TreeDeserializer<'_> {
    type Error = ValueError;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ValueError> {
        match &self.tree.value {
            Value::Null => visitor.visit_unit(),
            Value::Bool(v) => visitor.visit_bool(*v),
            Value::Unsigned(v) => visitor.visit_u64(*v),
            Value::Signed(v) => visitor.visit_i64(*v),
            Value::Float(v) => visitor.visit_f64(*v),
            Value::Text(v) => visitor.visit_str(v),
            Value::List(items) => visitor.visit_seq(ListAccess {
                remaining: items.iter(),
                deserializer: self,
            }),
            Value::Map(entries) => visitor.visit_map(EntryAccess {
                remaining: self.entries(entries, &[]).into_iter(),
                value: None,
                deserializer: self,
            }),
        }
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ValueError> {
        match self.tree.value {
            Value::Null => visitor.visit_none(),
            _ => visitor.visit_some(self),
        }
    }

    fn deserialize_str<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ValueError> {
        match self.tree.value {
            Value::Unsigned(_) | Value::Signed(_) | Value::Float(_) => {
                visitor.visit_string(self.tree.display_value())
            }
            _ => self.deserialize_any(visitor),
        }
    }

    fn deserialize_string<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, ValueError> {
        self.deserialize_str(visitor)
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, ValueError> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        name: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, ValueError> {
        if name == FIELD_STRUCT_NAME {
            return visitor.visit_map(FieldAccess {
                key_number: 0,
                deserializer: self,
            });
        }
        let Value::Map(entries) = &self.tree.value else {
            return Err(ValueError::Invalid(format!(
                "a map of {}",
                fields.join(", ")
            )));
        };
        visitor.visit_map(EntryAccess {
            remaining: self.entries(entries, fields).into_iter(),
            value: None,
            deserializer: self,
        })
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _name: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, ValueError> {
        let Value::Text(text) = &self.tree.value else {
            return Err(ValueError::unknown_variant("", variants));
        };
        visitor.visit_enum(UnitEnumAccess(text))
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char bytes byte_buf unit unit_struct
        seq tuple tuple_struct map identifier ignored_any
    }
}

struct ListAccess<'a> {
    remaining: std::slice::Iter<'a, Tree>,
    deserializer: TreeDeserializer<'a>,
}

impl<'de> SeqAccess<'de> for ListAccess<'_> {
    type Error = ValueError;

    fn next_element_seed<S: DeserializeSeed<'de>>(
        &mut self,
        seed: S,
    ) -> Result<Option<S::Value>, ValueError> {
        let Some(tree) = self.remaining.next() else {
            return Ok(None);
        };
        let deserializer = TreeDeserializer {
            tree,
            ..self.deserializer
        };
        deserializer.read(seed).map(Some)
    }
}

struct EntryAccess<'a> {
    remaining: std::vec::IntoIter<&'a Entry>,
    value: Option<&'a Entry>,
    deserializer: TreeDeserializer<'a>,
}

impl<'de> MapAccess<'de> for EntryAccess<'_> {
    type Error = ValueError;

    fn next_key_seed<S: DeserializeSeed<'de>>(
        &mut self,
        seed: S,
    ) -> Result<Option<S::Value>, ValueError> {
        self.value = self.remaining.next();
        let Some(entry) = self.value else {
            return Ok(None);
        };
        let key: StringDeserializer<ValueError> = entry.key.to_string().into_deserializer();
        seed.deserialize(key).map(Some)
    }

    fn next_value_seed<S: DeserializeSeed<'de>>(
        &mut self,
        seed: S,
    ) -> Result<S::Value, ValueError> {
        let Some(entry) = self.value.take() else {
            return Err(ValueError::custom("a value after its key"));
        };
        let path = join(self.deserializer.path, &entry.key);
        let deserializer = TreeDeserializer {
            tree: &entry.value,
            path: &path,
            problems: self.deserializer.problems,
        };
        deserializer.read(seed)
    }
}

/// Gives [`crate::Field`] its fields `line` and `value`, from one value of the tree.
struct FieldAccess<'a> {
    key_number: u8,
    deserializer: TreeDeserializer<'a>,
}

impl<'de> MapAccess<'de> for FieldAccess<'_> {
    type Error = ValueError;

    fn next_key_seed<S: DeserializeSeed<'de>>(
        &mut self,
        seed: S,
    ) -> Result<Option<S::Value>, ValueError> {
        self.key_number += 1;
        let key: StringDeserializer<ValueError> = match self.key_number {
            1 => "line".to_owned().into_deserializer(),
            2 => "value".to_owned().into_deserializer(),
            _ => return Ok(None),
        };
        seed.deserialize(key).map(Some)
    }

    fn next_value_seed<S: DeserializeSeed<'de>>(
        &mut self,
        seed: S,
    ) -> Result<S::Value, ValueError> {
        if self.key_number == 1 {
            return seed.deserialize(self.deserializer.tree.line.into_deserializer());
        }
        self.deserializer.read(seed)
    }
}

struct UnitEnumAccess<'a>(&'a str);

impl<'de> EnumAccess<'de> for UnitEnumAccess<'_> {
    type Error = ValueError;
    type Variant = UnitVariantAccess;

    fn variant_seed<S: DeserializeSeed<'de>>(
        self,
        seed: S,
    ) -> Result<(S::Value, UnitVariantAccess), ValueError> {
        let name: StringDeserializer<ValueError> = self.0.to_owned().into_deserializer();
        Ok((seed.deserialize(name)?, UnitVariantAccess))
    }
}

struct UnitVariantAccess;

impl<'de> VariantAccess<'de> for UnitVariantAccess {
    type Error = ValueError;

    fn unit_variant(self) -> Result<(), ValueError> {
        Ok(())
    }

    fn newtype_variant_seed<S: DeserializeSeed<'de>>(self, _: S) -> Result<S::Value, ValueError> {
        Err(ValueError::custom("a name without a value"))
    }

    fn tuple_variant<V: Visitor<'de>>(self, _: usize, _: V) -> Result<V::Value, ValueError> {
        Err(ValueError::custom("a name without values"))
    }

    fn struct_variant<V: Visitor<'de>>(
        self,
        _: &'static [&'static str],
        _: V,
    ) -> Result<V::Value, ValueError> {
        Err(ValueError::custom("a name without fields"))
    }
}
