//! A YAML document as a tree in which each node knows its place.

use std::fmt;

use serde::{Deserialize, de};

use super::error;

/// A value with its place.
#[derive(Clone, Debug)]
pub(super) struct PlacedNode {
    pub(super) place: error::FilePlace,
    pub(super) value: NodeValue,
}

/// A YAML value.
#[derive(Clone, Debug)]
pub(super) enum NodeValue {
    Null,
    Bool(bool),
    Integer(i128),
    Float,
    Text(String),
    List(Vec<PlacedNode>),
    Map(Vec<(PlacedKey, PlacedNode)>),
}

/// A key with its place.
#[derive(Clone, Debug)]
pub(super) struct PlacedKey {
    pub(super) place: error::FilePlace,
    pub(super) name: String,
}

/// Parses one YAML document.
pub(super) fn parse(text: &str) -> Result<PlacedNode, error::SettingsError> {
    let parsed: Result<serde_saphyr::Spanned<NodeValue>, _> = serde_saphyr::from_str(text);
    parsed.map(PlacedNode::from).map_err(|failure| {
        let place = failure.location().map(place_of).unwrap_or_default();
        let detail = failure.to_string().lines().next().unwrap_or("").into();
        let problem = error::SettingProblem::Syntax { detail };
        error::SettingsError {
            issues: vec![error::SettingIssue { place, problem }],
        }
    })
}

fn place_of(location: serde_saphyr::Location) -> error::FilePlace {
    error::FilePlace {
        line: location.line(),
        column: location.column(),
    }
}

impl From<serde_saphyr::Spanned<NodeValue>> for PlacedNode {
    fn from(spanned: serde_saphyr::Spanned<NodeValue>) -> Self {
        Self {
            place: place_of(spanned.referenced),
            value: spanned.value,
        }
    }
}

impl<'de> Deserialize<'de> for NodeValue {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(NodeVisitor)
    }
}

struct NodeVisitor;

impl<'de> de::Visitor<'de> for NodeVisitor {
    type Value = NodeValue;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a YAML value")
    }

    fn visit_unit<E>(self) -> Result<NodeValue, E> {
        Ok(NodeValue::Null)
    }

    fn visit_none<E>(self) -> Result<NodeValue, E> {
        Ok(NodeValue::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<NodeValue, E> {
        Ok(NodeValue::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<NodeValue, E> {
        Ok(NodeValue::Integer(value.into()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<NodeValue, E> {
        Ok(NodeValue::Integer(value.into()))
    }

    fn visit_i128<E>(self, value: i128) -> Result<NodeValue, E> {
        Ok(NodeValue::Integer(value))
    }

    fn visit_f64<E>(self, _value: f64) -> Result<NodeValue, E> {
        Ok(NodeValue::Float)
    }

    fn visit_str<E>(self, value: &str) -> Result<NodeValue, E> {
        Ok(NodeValue::Text(value.to_owned()))
    }

    fn visit_seq<A: de::SeqAccess<'de>>(self, mut access: A) -> Result<NodeValue, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = access.next_element::<serde_saphyr::Spanned<NodeValue>>()? {
            items.push(item.into());
        }
        Ok(NodeValue::List(items))
    }

    fn visit_map<A: de::MapAccess<'de>>(self, mut access: A) -> Result<NodeValue, A::Error> {
        let mut entries = Vec::new();
        while let Some(key) = access.next_key::<serde_saphyr::Spanned<String>>()? {
            let value = access.next_value::<serde_saphyr::Spanned<NodeValue>>()?;
            let key = PlacedKey {
                place: place_of(key.referenced),
                name: key.value,
            };
            entries.push((key, value.into()));
        }
        Ok(NodeValue::Map(entries))
    }
}
