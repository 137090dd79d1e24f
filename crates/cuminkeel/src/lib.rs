//! Load tests and reports behind the commands of the `cuminkeel` program.

pub mod bench_report;
pub mod crowd_test;
pub mod experiment_page;
pub mod load_test;
pub mod policy_experiment;
