//! Names, times and job types that every cuminkeel crate shares.
//!
//! Nothing here does I/O or reads a clock. Decision code receives a
//! [`time::TimePoint`] as its `now` argument.

pub mod job;
pub mod names;
pub mod outcome;
pub mod time;
