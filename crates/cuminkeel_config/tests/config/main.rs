//! Contract tests of the configuration's decisions.

mod fake_log;
mod sessions;
mod support;
mod verdicts;
