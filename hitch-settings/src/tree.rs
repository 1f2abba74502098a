//! The parsed file as a tree of values with their lines, from which the caller's struct is deserialized.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error as _;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde_saphyr::Spanned;
use serde_saphyr::options::DuplicateKeyPolicy;
use serde_saphyr::options::MergeKeyPolicy;
use serde_saphyr::options::NonFiniteFloatPolicy;

/// Limit for the nesting depth; contracts and settings need four levels.
const MAX_DEPTH: usize = 16;
/// Limit for the aliases, and for the anchors, in a file.
const MAX_ALIASES: usize = 64;
/// Limit for the parser events to which aliases expand, which stops exponential expansion early.
const MAX_REPLAYED_EVENTS: usize = 10_000;

/// One value and the line on which it starts.
#[derive(Debug)]
pub(crate) struct Tree {
    pub(crate) line: u64,
    pub(crate) value: Value,
}

/// A value with its type according to YAML 1.2.
#[derive(Debug)]
pub(crate) enum Value {
    Null,
    Bool(bool),
    Unsigned(u64),
    Signed(i64),
    Float(f64),
    Text(Box<str>),
    List(Vec<Tree>),
    /// Entries in the order of the file. Keys may repeat.
    Map(Vec<Entry>),
}

/// One entry of a map.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) line: u64,
    pub(crate) key: Box<str>,
    pub(crate) value: Tree,
}

impl Tree {
    pub(crate) fn from_text(text: &str) -> Result<Tree, serde_saphyr::Error> {
        let mut options = serde_saphyr::options! {
            duplicate_keys: DuplicateKeyPolicy::PassThrough,
            merge_keys: MergeKeyPolicy::AsOrdinary,
            budget: serde_saphyr::budget! {
                max_depth: MAX_DEPTH,
                max_aliases: MAX_ALIASES,
                max_anchors: MAX_ALIASES,
                max_documents: 1,
            },
            alias_limits: serde_saphyr::alias_limits! {
                max_total_replayed_events: MAX_REPLAYED_EVENTS,
            },
            // If the parser emits comments, it fails on more than 32 comment lines in a row.
            emit_comments: false,
            strict_booleans: true,
            leading_zero_numbers_as_strings: true,
            underscored_numbers_as_strings: true,
        };
        options.non_finite_float_policy = NonFiniteFloatPolicy::AsString;
        let root: Spanned<Value> = serde_saphyr::from_str_with_options(text, options)?;
        Ok(Tree::from(root))
    }

    /// Returns the value as text for a problem: scalars literally, lists and maps by their length.
    pub(crate) fn display_value(&self) -> String {
        match &self.value {
            Value::Null => "nothing".to_owned(),
            Value::Bool(b) => b.to_string(),
            Value::Unsigned(n) => n.to_string(),
            Value::Signed(n) => n.to_string(),
            Value::Float(n) => n.to_string(),
            Value::Text(text) => text.to_string(),
            Value::List(items) => format!("a list of {}", items.len()),
            Value::Map(entries) => format!("a map of {}", entries.len()),
        }
    }
}

impl From<Spanned<Value>> for Tree {
    fn from(spanned: Spanned<Value>) -> Tree {
        Tree {
            line: spanned.referenced.line(),
            value: spanned.value,
        }
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(ValueVisitor)
    }
}

struct ValueVisitor;

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_none<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, v: bool) -> Result<Value, E> {
        Ok(Value::Bool(v))
    }

    fn visit_u64<E>(self, v: u64) -> Result<Value, E> {
        Ok(Value::Unsigned(v))
    }

    fn visit_i64<E>(self, v: i64) -> Result<Value, E> {
        Ok(Value::Signed(v))
    }

    fn visit_f64<E>(self, v: f64) -> Result<Value, E> {
        Ok(Value::Float(v))
    }

    fn visit_str<E>(self, v: &str) -> Result<Value, E> {
        Ok(Value::Text(v.into()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Value, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = seq.next_element::<Spanned<Value>>()? {
            items.push(Tree::from(item));
        }
        Ok(Value::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut entries = Vec::new();
        while let Some(key) = map.next_key::<Spanned<Value>>()? {
            let key = Tree::from(key);
            if matches!(key.value, Value::List(_) | Value::Map(_)) {
                return Err(A::Error::custom("a key must be a scalar"));
            }
            let value = map.next_value::<Spanned<Value>>()?;
            entries.push(Entry {
                line: key.line,
                key: key.display_value().into(),
                value: Tree::from(value),
            });
        }
        Ok(Value::Map(entries))
    }
}
