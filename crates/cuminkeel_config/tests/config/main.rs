//! Contract tests of the configuration's decisions.

mod support;
mod verdicts;
