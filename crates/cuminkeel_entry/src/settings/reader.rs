//! Reads typed values from a tree and collects all errors.

use std::{collections, net, ops, sync, time};

use super::{error, node};

/// Collects errors while a schema is read.
#[derive(Debug, Default)]
pub(super) struct SettingsReader {
    issues: Vec<error::SettingIssue>,
}

/// One map of the tree, and which of its keys were asked for.
#[derive(Debug)]
pub(super) struct SectionReader<'a> {
    place: error::FilePlace,
    entries: collections::BTreeMap<&'a str, &'a node::PlacedNode>,
    keys: Vec<&'a node::PlacedKey>,
    known: collections::BTreeSet<&'static str>,
}

impl SettingsReader {
    pub(super) fn is_clean(&self) -> bool {
        self.issues.is_empty()
    }

    pub(super) fn into_error(mut self) -> error::SettingsError {
        self.issues.sort_by_key(|issue| issue.place);
        error::SettingsError {
            issues: self.issues,
        }
    }

    fn report(&mut self, place: error::FilePlace, problem: error::SettingProblem) {
        self.issues.push(error::SettingIssue { place, problem });
    }

    fn wrong_type(&mut self, place: error::FilePlace, name: &str, wanted: &str) {
        let problem = error::SettingProblem::WrongType {
            name: name.into(),
            wanted: wanted.into(),
        };
        self.report(place, problem);
    }

    /// Opens a node that must be a map.
    pub(super) fn open<'a>(
        &mut self,
        name: &str,
        node: &'a node::PlacedNode,
    ) -> Option<SectionReader<'a>> {
        let node::NodeValue::Map(entries) = &node.value else {
            self.wrong_type(node.place, name, "a map of settings");
            return None;
        };
        Some(SectionReader {
            place: node.place,
            entries: entries
                .iter()
                .map(|(key, value)| (key.name.as_str(), value))
                .collect(),
            keys: entries.iter().map(|(key, _)| key).collect(),
            known: collections::BTreeSet::new(),
        })
    }

    /// Opens a section that must be there.
    pub(super) fn section<'a>(
        &mut self,
        parent: &mut SectionReader<'a>,
        name: &'static str,
    ) -> Option<SectionReader<'a>> {
        let node = self.required(parent, name)?;
        self.open(name, node)
    }

    /// Opens a section that may be absent.
    pub(super) fn optional_section<'a>(
        &mut self,
        parent: &mut SectionReader<'a>,
        name: &'static str,
    ) -> Option<SectionReader<'a>> {
        let node = parent.take(name)?;
        self.open(name, node)
    }

    /// Reports the keys of a section that nothing asked for.
    pub(super) fn close(&mut self, section: SectionReader<'_>) {
        let known = section.known.iter().copied().collect::<Vec<_>>().join(", ");
        for key in section.keys {
            if !section.known.contains(key.name.as_str()) {
                let problem = error::SettingProblem::UnknownKey {
                    name: key.name.as_str().into(),
                    known: known.as_str().into(),
                };
                self.report(key.place, problem);
            }
        }
    }

    fn required<'a>(
        &mut self,
        section: &mut SectionReader<'a>,
        name: &'static str,
    ) -> Option<&'a node::PlacedNode> {
        let node = section.take(name);
        if node.is_none() {
            let problem = error::SettingProblem::MissingKey { name: name.into() };
            self.report(section.place, problem);
        }
        node
    }

    /// Text that must be there and not empty.
    pub(super) fn text(
        &mut self,
        section: &mut SectionReader<'_>,
        name: &'static str,
    ) -> Option<sync::Arc<str>> {
        let node = self.required(section, name)?;
        self.text_of(name, node)
    }

    /// Text that may be absent.
    pub(super) fn optional_text(
        &mut self,
        section: &mut SectionReader<'_>,
        name: &'static str,
    ) -> Option<sync::Arc<str>> {
        let node = section.take(name)?;
        self.text_of(name, node)
    }

    fn text_of(&mut self, name: &str, node: &node::PlacedNode) -> Option<sync::Arc<str>> {
        match &node.value {
            node::NodeValue::Text(text) if !text.is_empty() => Some(text.as_str().into()),
            _ => {
                self.wrong_type(node.place, name, "text that is not empty");
                None
            }
        }
    }

    /// One of several words, with a default.
    pub(super) fn word<T: Copy>(
        &mut self,
        section: &mut SectionReader<'_>,
        name: &'static str,
        words: &[(&str, T)],
        default: T,
    ) -> Option<T> {
        let Some(node) = section.take(name) else {
            return Some(default);
        };
        let found = match &node.value {
            node::NodeValue::Text(text) => words.iter().find(|(word, _)| word == text),
            _ => None,
        };
        if found.is_none() {
            let wanted = words.iter().map(|(word, _)| *word).collect::<Vec<_>>();
            self.wrong_type(node.place, name, &format!("one of {}", wanted.join(", ")));
        }
        found.map(|(_, value)| *value)
    }

    /// An IP address with a port.
    pub(super) fn address(
        &mut self,
        section: &mut SectionReader<'_>,
        name: &'static str,
    ) -> Option<net::SocketAddr> {
        let node = self.required(section, name)?;
        let parsed = match &node.value {
            node::NodeValue::Text(text) => text.parse().ok(),
            _ => None,
        };
        if parsed.is_none() {
            self.wrong_type(node.place, name, "an IP address with a port");
        }
        parsed
    }

    /// A list of texts that must be there and not empty.
    pub(super) fn texts(
        &mut self,
        section: &mut SectionReader<'_>,
        name: &'static str,
    ) -> Option<Vec<sync::Arc<str>>> {
        let node = self.required(section, name)?;
        match &node.value {
            node::NodeValue::List(items) if !items.is_empty() => {
                items.iter().map(|item| self.text_of(name, item)).collect()
            }
            _ => {
                self.wrong_type(node.place, name, "a list that is not empty");
                None
            }
        }
    }

    /// A whole number within a range, with a default.
    pub(super) fn number(
        &mut self,
        section: &mut SectionReader<'_>,
        name: &'static str,
        range: ops::RangeInclusive<u64>,
        default: u64,
    ) -> Option<u64> {
        let Some(node) = section.take(name) else {
            return Some(default);
        };
        let node::NodeValue::Integer(value) = node.value else {
            self.wrong_type(node.place, name, "a whole number");
            return None;
        };
        match u64::try_from(value) {
            Ok(number) if range.contains(&number) => Some(number),
            _ => {
                let problem = error::SettingProblem::OutOfRange {
                    name: name.into(),
                    low: *range.start(),
                    high: *range.end(),
                    value,
                };
                self.report(node.place, problem);
                None
            }
        }
    }

    /// A count that fits memory sizes of this machine.
    pub(super) fn count(
        &mut self,
        section: &mut SectionReader<'_>,
        name: &'static str,
        range: ops::RangeInclusive<u64>,
        default: u64,
    ) -> Option<usize> {
        let number = self.number(section, name, range, default)?;
        usize::try_from(number).ok()
    }

    /// Milliseconds within a range, with a default.
    pub(super) fn millis(
        &mut self,
        section: &mut SectionReader<'_>,
        name: &'static str,
        range: ops::RangeInclusive<u64>,
        default: u64,
    ) -> Option<time::Duration> {
        self.number(section, name, range, default)
            .map(time::Duration::from_millis)
    }

    /// True or false, with a default.
    pub(super) fn flag(
        &mut self,
        section: &mut SectionReader<'_>,
        name: &'static str,
        default: bool,
    ) -> Option<bool> {
        let Some(node) = section.take(name) else {
            return Some(default);
        };
        let node::NodeValue::Bool(flag) = node.value else {
            self.wrong_type(node.place, name, "true or false");
            return None;
        };
        Some(flag)
    }
}

impl<'a> SectionReader<'a> {
    /// An empty section at the place of another, for defaults.
    pub(super) fn empty_at(other: &SectionReader<'_>) -> Self {
        Self {
            place: other.place,
            entries: collections::BTreeMap::new(),
            keys: Vec::new(),
            known: collections::BTreeSet::new(),
        }
    }

    fn take(&mut self, name: &'static str) -> Option<&'a node::PlacedNode> {
        self.known.insert(name);
        let node = self.entries.get(name).copied()?;
        match node.value {
            node::NodeValue::Null => None,
            _ => Some(node),
        }
    }
}
