//! Errors in settings, with their place in the file.

use std::{fmt, sync};

use derive_more::{Display, Error};

/// A place in a settings file, both counted from one.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display("line {line}, column {column}")]
pub struct FilePlace {
    /// Line.
    pub line: u64,
    /// Column, in characters.
    pub column: u64,
}

/// What is wrong with one setting.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum SettingProblem {
    /// Not YAML.
    #[display("not valid YAML: {detail}")]
    Syntax {
        /// The parser's words.
        detail: sync::Arc<str>,
    },
    /// The key is not known here.
    #[display("unknown setting `{name}`; known here: {known}")]
    UnknownKey {
        /// The key.
        name: sync::Arc<str>,
        /// Keys that may stand here.
        known: sync::Arc<str>,
    },
    /// A required key is missing.
    #[display("missing setting `{name}`")]
    MissingKey {
        /// The key.
        name: sync::Arc<str>,
    },
    /// The value is of another type.
    #[display("`{name}` must be {wanted}")]
    WrongType {
        /// The key.
        name: sync::Arc<str>,
        /// What is wanted.
        wanted: sync::Arc<str>,
    },
    /// The value is a number out of its range.
    #[display("`{name}` must be from {low} to {high}, not {value}")]
    OutOfRange {
        /// The key.
        name: sync::Arc<str>,
        /// Least value.
        low: u64,
        /// Greatest value.
        high: u64,
        /// The value given.
        value: i128,
    },
}

/// One error in a settings file.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
#[display("{place}: {problem}")]
pub struct SettingIssue {
    /// Where.
    pub place: FilePlace,
    /// What.
    pub problem: SettingProblem,
}

/// All errors in a settings file.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub struct SettingsError {
    /// The errors, in the order of their lines.
    pub issues: Vec<SettingIssue>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, issue) in self.issues.iter().enumerate() {
            if position > 0 {
                formatter.write_str("\n")?;
            }
            write!(formatter, "{issue}")?;
        }
        Ok(())
    }
}
