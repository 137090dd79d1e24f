//! Contract tests of the configuration's decisions.

mod cluster;
mod fake_log;
mod followers;
mod sessions;
mod support;
mod verdicts;
