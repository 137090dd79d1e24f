//! Faults of the platform that can be switched on.

use std::time;

/// What happens to appends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendFault {
    /// The connection breaks and nothing is written.
    AckLostBeforeWrite,
    /// The record is written, then the connection breaks.
    AckLostAfterWrite,
    /// The record is written twice, and the first offset is answered.
    WrittenTwice,
    /// The connection breaks and the record is written after the delay,
    /// behind what others wrote in between.
    WrittenLate {
        /// Time from the broken connection to the write.
        delay: time::Duration,
    },
}

/// What is wrong with answers to reads, or with the answer to an append where
/// it applies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerFault {
    /// The body is no JSON.
    NotJson,
    /// The first record is left out.
    OffsetGap,
    /// Payloads are no base64.
    NotBase64,
    /// The body is larger than the given number of bytes.
    Oversize {
        /// Length of the padding, in bytes.
        bytes: usize,
    },
    /// The head is past the tail.
    HeadPastTail,
}

/// Faults in force.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PlatformFaults {
    /// Answers 503 to everything.
    pub outage: bool,
    /// Reads requests and never answers.
    pub silent: bool,
    /// Delay before each request is handled.
    pub delay: time::Duration,
    /// Fault of appends.
    pub append: Option<AppendFault>,
    /// The fault of appends strikes each n-th append; 0 and 1 mean each.
    pub append_every: u64,
    /// Reads show the streams without this number of newest records.
    pub stale_records: u64,
    /// Fault of answers.
    pub answer: Option<AnswerFault>,
}

/// Faults and the count of appends since they were set.
#[derive(Debug, Default)]
pub(crate) struct FaultState {
    faults: PlatformFaults,
    appends: u64,
}

impl FaultState {
    pub(crate) fn set(&mut self, faults: PlatformFaults) {
        self.faults = faults;
        self.appends = 0;
    }

    pub(crate) fn get(&self) -> PlatformFaults {
        self.faults
    }

    /// Counts an append and gives the fault that strikes it.
    pub(crate) fn next_append(&mut self) -> Option<AppendFault> {
        self.appends += 1;
        let every = self.faults.append_every.max(1);
        self.faults
            .append
            .filter(|_| self.appends.is_multiple_of(every))
    }
}
