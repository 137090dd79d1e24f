//! Load runs and reports, as the `cuminkeel` program offers them.

pub mod bench_report;
pub mod load_test;
