//! Reading of a caller's struct from the tree, which reports faults instead of stopping at the first.

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

use crate::field::MARKER;
use crate::problem::Problem;
use crate::tree::Entry;
use crate::tree::Tree;
use crate::tree::Value;

/// Why a value was not read.
#[derive(Debug)]
pub(crate) enum Fault {
    /// The fault is in the report.
    Reported,
    /// The value does not fit; holds what is allowed.
    Unfit(String),
    /// A map lacks a field.
    Missing(&'static str),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Reported => f.write_str("reported"),
            Fault::Unfit(allowed) => write!(f, "allowed: {allowed}"),
            Fault::Missing(field) => write!(f, "{field} is missing"),
        }
    }
}

impl std::error::Error for Fault {}

impl serde::de::Error for Fault {
    fn custom<T: fmt::Display>(message: T) -> Fault {
        Fault::Unfit(message.to_string())
    }

    fn invalid_type(_: Unexpected<'_>, expected: &dyn Expected) -> Fault {
        Fault::Unfit(plain(expected))
    }

    fn invalid_value(_: Unexpected<'_>, expected: &dyn Expected) -> Fault {
        Fault::Unfit(plain(expected))
    }

    fn unknown_variant(_: &str, expected: &'static [&'static str]) -> Fault {
        Fault::Unfit(expected.join(" or "))
    }

    fn missing_field(field: &'static str) -> Fault {
        Fault::Missing(field)
    }
}

/// Names the types of Rust as an operator knows them.
fn plain(expected: &dyn Expected) -> String {
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

/// One value of the tree, the path of its field and the report.
#[derive(Clone, Copy)]
pub(crate) struct Reader<'a> {
    pub(crate) tree: &'a Tree,
    pub(crate) path: &'a str,
    pub(crate) problems: &'a RefCell<Vec<Problem>>,
}

impl<'a> Reader<'a> {
    /// Reads the value and puts a fault into the report.
    pub(crate) fn read<'de, S: DeserializeSeed<'de>>(self, seed: S) -> Result<S::Value, Fault> {
        let fault = match seed.deserialize(self) {
            Ok(value) => return Ok(value),
            Err(fault) => fault,
        };
        match fault {
            Fault::Reported => {}
            Fault::Unfit(allowed) => {
                self.report(self.tree.line, self.path, &self.tree.shown(), &allowed);
            }
            Fault::Missing(field) => {
                let path = join(self.path, field);
                self.report(self.tree.line, &path, "nothing", "a value, it is required");
            }
        }
        Err(Fault::Reported)
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

    /// Returns the first entry of each key, and reports keys that repeat or are not in `fields`.
    fn entries(self, entries: &'a [Entry], fields: &[&str]) -> Vec<&'a Entry> {
        let mut out: Vec<&Entry> = Vec::new();
        for entry in entries {
            let path = join(self.path, &entry.key);
            if !fields.is_empty() && !fields.contains(&&*entry.key) {
                let allowed = format!("one of {}", fields.join(", "));
                self.report(entry.line, &path, "an unknown field", &allowed);
                continue;
            }
            if let Some(first) = out.iter().find(|e| e.key == entry.key) {
                let value = format!("a second value, the first is on line {}", first.line);
                self.report(entry.line, &path, &value, "each key once");
                continue;
            }
            out.push(entry);
        }
        out
    }
}

fn join(path: &str, field: &str) -> String {
    match path {
        "" => field.to_owned(),
        path => format!("{path}.{field}"),
    }
}

impl<'de> Deserializer<'de> for Reader<'_> {
    type Error = Fault;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Fault> {
        match &self.tree.value {
            Value::Null => visitor.visit_unit(),
            Value::Bool(v) => visitor.visit_bool(*v),
            Value::Unsigned(v) => visitor.visit_u64(*v),
            Value::Signed(v) => visitor.visit_i64(*v),
            Value::Float(v) => visitor.visit_f64(*v),
            Value::Text(v) => visitor.visit_str(v),
            Value::List(items) => visitor.visit_seq(Items {
                rest: items.iter(),
                reader: self,
            }),
            Value::Map(entries) => visitor.visit_map(Entries {
                rest: self.entries(entries, &[]).into_iter(),
                value: None,
                reader: self,
            }),
        }
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Fault> {
        match self.tree.value {
            Value::Null => visitor.visit_none(),
            _ => visitor.visit_some(self),
        }
    }

    fn deserialize_str<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Fault> {
        match self.tree.value {
            Value::Unsigned(_) | Value::Signed(_) | Value::Float(_) => {
                visitor.visit_string(self.tree.shown())
            }
            _ => self.deserialize_any(visitor),
        }
    }

    fn deserialize_string<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, Fault> {
        self.deserialize_str(visitor)
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        visitor: V,
    ) -> Result<V::Value, Fault> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        name: &'static str,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Fault> {
        if name == MARKER {
            return visitor.visit_map(Marked {
                step: 0,
                reader: self,
            });
        }
        let Value::Map(entries) = &self.tree.value else {
            return Err(Fault::Unfit(format!("a map of {}", fields.join(", "))));
        };
        visitor.visit_map(Entries {
            rest: self.entries(entries, fields).into_iter(),
            value: None,
            reader: self,
        })
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        _name: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Fault> {
        let Value::Text(text) = &self.tree.value else {
            return Err(Fault::unknown_variant("", variants));
        };
        visitor.visit_enum(Variant(text))
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char bytes byte_buf unit unit_struct
        seq tuple tuple_struct map identifier ignored_any
    }
}

struct Items<'a> {
    rest: std::slice::Iter<'a, Tree>,
    reader: Reader<'a>,
}

impl<'de> SeqAccess<'de> for Items<'_> {
    type Error = Fault;

    fn next_element_seed<S: DeserializeSeed<'de>>(
        &mut self,
        seed: S,
    ) -> Result<Option<S::Value>, Fault> {
        let Some(tree) = self.rest.next() else {
            return Ok(None);
        };
        let reader = Reader {
            tree,
            ..self.reader
        };
        reader.read(seed).map(Some)
    }
}

struct Entries<'a> {
    rest: std::vec::IntoIter<&'a Entry>,
    value: Option<&'a Entry>,
    reader: Reader<'a>,
}

impl<'de> MapAccess<'de> for Entries<'_> {
    type Error = Fault;

    fn next_key_seed<S: DeserializeSeed<'de>>(
        &mut self,
        seed: S,
    ) -> Result<Option<S::Value>, Fault> {
        self.value = self.rest.next();
        let Some(entry) = self.value else {
            return Ok(None);
        };
        let key: StringDeserializer<Fault> = entry.key.to_string().into_deserializer();
        seed.deserialize(key).map(Some)
    }

    fn next_value_seed<S: DeserializeSeed<'de>>(&mut self, seed: S) -> Result<S::Value, Fault> {
        let Some(entry) = self.value.take() else {
            return Err(Fault::custom("a value after its key"));
        };
        let path = join(self.reader.path, &entry.key);
        let reader = Reader {
            tree: &entry.value,
            path: &path,
            problems: self.reader.problems,
        };
        reader.read(seed)
    }
}

/// Presents a value as the fields `line` and `value` of [`crate::Field`].
struct Marked<'a> {
    step: u8,
    reader: Reader<'a>,
}

impl<'de> MapAccess<'de> for Marked<'_> {
    type Error = Fault;

    fn next_key_seed<S: DeserializeSeed<'de>>(
        &mut self,
        seed: S,
    ) -> Result<Option<S::Value>, Fault> {
        self.step += 1;
        let key: StringDeserializer<Fault> = match self.step {
            1 => "line".to_owned().into_deserializer(),
            2 => "value".to_owned().into_deserializer(),
            _ => return Ok(None),
        };
        seed.deserialize(key).map(Some)
    }

    fn next_value_seed<S: DeserializeSeed<'de>>(&mut self, seed: S) -> Result<S::Value, Fault> {
        if self.step == 1 {
            return seed.deserialize(self.reader.tree.line.into_deserializer());
        }
        self.reader.read(seed)
    }
}

struct Variant<'a>(&'a str);

impl<'de> EnumAccess<'de> for Variant<'_> {
    type Error = Fault;
    type Variant = Unit;

    fn variant_seed<S: DeserializeSeed<'de>>(self, seed: S) -> Result<(S::Value, Unit), Fault> {
        let name: StringDeserializer<Fault> = self.0.to_owned().into_deserializer();
        Ok((seed.deserialize(name)?, Unit))
    }
}

struct Unit;

impl<'de> VariantAccess<'de> for Unit {
    type Error = Fault;

    fn unit_variant(self) -> Result<(), Fault> {
        Ok(())
    }

    fn newtype_variant_seed<S: DeserializeSeed<'de>>(self, _: S) -> Result<S::Value, Fault> {
        Err(Fault::custom("a name without a value"))
    }

    fn tuple_variant<V: Visitor<'de>>(self, _: usize, _: V) -> Result<V::Value, Fault> {
        Err(Fault::custom("a name without values"))
    }

    fn struct_variant<V: Visitor<'de>>(
        self,
        _: &'static [&'static str],
        _: V,
    ) -> Result<V::Value, Fault> {
        Err(Fault::custom("a name without fields"))
    }
}
