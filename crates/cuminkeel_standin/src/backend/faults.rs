//! Faults of a backend server that can be switched on.

use std::time;

use super::wire;

/// What goes wrong with a task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackendFault {
    /// Every task fails at once, having started.
    FailAll,
    /// Run times are multiplied.
    Slow {
        /// Factor on top of the server's own slowness.
        factor: f64,
    },
    /// The connection is reset when bytes of a request arrive. Strikes each
    /// request, whatever share was set.
    ResetBeforeRead,
    /// The connection is reset after the header, before the body is read.
    ResetWhileReading,
    /// The connection is reset after the whole request; nothing starts.
    ResetAfterRead,
    /// The task starts and runs, and the connection is reset at once.
    ResetAfterStart,
    /// The request is read, nothing starts, and no answer is given.
    SilentWithoutStart,
    /// The task starts and runs, and no answer is given.
    SilentAfterStart,
    /// The task is refused before its start.
    Refuse(wire::RefusalReason),
    /// The answer is held back after the run.
    AnswerLate {
        /// Time from the end of the run to the answer.
        delay: time::Duration,
    },
    /// The answer is written twice.
    AnswerTwice,
    /// The answer names another task and carries its output.
    AnswerCrossed,
    /// The answer is no JSON.
    AnswerMalformed,
}

/// The fault in force and the count of tasks since it was set.
#[derive(Debug, Default)]
pub(super) struct FaultState {
    fault: Option<BackendFault>,
    every: u64,
    tasks: u64,
}

impl FaultState {
    pub(super) fn set(&mut self, fault: Option<BackendFault>, every: u64) {
        *self = Self {
            fault,
            every: every.max(1),
            tasks: 0,
        };
    }

    /// Counts a task and gives the fault that strikes it.
    pub(super) fn next(&mut self) -> Option<BackendFault> {
        self.tasks += 1;
        let every = self.every;
        let tasks = self.tasks;
        self.fault.filter(|_| tasks.is_multiple_of(every))
    }
}
