//! Slots and tasks of one backend server.

use std::{collections, sync, time};

use crate::{platform, sync_lock};

use super::{BackendSettings, faults, ledger, wire};

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RunEnding {
    Done,
    Failed,
    Stopped,
}

/// Why a task did not start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AdmitError {
    Refused(wire::RefusalReason),
    Duplicate,
}

/// A started task that holds a slot.
#[derive(Debug)]
pub(super) struct RunningTask {
    task: sync::Arc<str>,
    payload: sync::Arc<str>,
    number: ledger::StartNumber,
    stop: sync::Arc<tokio::sync::Notify>,
    work: wire::WorkPayload,
    run_time: time::Duration,
    time_left: time::Duration,
}

#[derive(Debug)]
struct Tasks {
    running: collections::HashMap<sync::Arc<str>, StopHandle>,
    seen: collections::HashSet<sync::Arc<str>>,
    leaving: bool,
    slowness: f64,
}

#[derive(Debug)]
struct StopHandle {
    number: ledger::StartNumber,
    stop: sync::Arc<tokio::sync::Notify>,
}

/// State of one server, shared by its connections.
#[derive(Debug)]
pub struct ServerState {
    name: sync::Arc<str>,
    slots: u32,
    max_size_millicores: u32,
    ledger: sync::Arc<ledger::StartLedger>,
    tasks: sync::Mutex<Tasks>,
    faults: sync::Mutex<faults::FaultState>,
}

impl ServerState {
    pub(super) fn new(settings: &BackendSettings, ledger: sync::Arc<ledger::StartLedger>) -> Self {
        let tasks = Tasks {
            running: collections::HashMap::new(),
            seen: collections::HashSet::new(),
            leaving: false,
            slowness: settings.slowness,
        };
        Self {
            name: settings.name.clone(),
            slots: settings.slots,
            max_size_millicores: settings.max_size_millicores,
            ledger,
            tasks: sync::Mutex::new(tasks),
            faults: sync::Mutex::default(),
        }
    }

    pub(super) fn ledger(&self) -> &ledger::StartLedger {
        &self.ledger
    }

    pub(super) fn set_fault(&self, fault: Option<faults::BackendFault>, every: u64) {
        sync_lock::lock(&self.faults).set(fault, every);
    }

    pub(super) fn next_fault(&self) -> Option<faults::BackendFault> {
        sync_lock::lock(&self.faults).next()
    }

    pub(super) fn set_slowness(&self, slowness: f64) {
        sync_lock::lock(&self.tasks).slowness = slowness;
    }

    pub(super) fn set_leaving(&self, leaving: bool) {
        sync_lock::lock(&self.tasks).leaving = leaving;
    }

    pub(super) fn busy_slots(&self) -> u32 {
        let running = sync_lock::lock(&self.tasks).running.len();
        u32::try_from(running).unwrap_or(u32::MAX)
    }

    pub(super) fn usage(&self) -> wire::UsageBody {
        wire::UsageBody {
            slots: self.slots,
            busy: self.busy_slots(),
            leaving: sync_lock::lock(&self.tasks).leaving,
        }
    }

    /// Starts a task if it may, and notes the start.
    pub(super) fn admit(
        &self,
        body: &wire::TaskBody,
        factor: f64,
    ) -> Result<RunningTask, AdmitError> {
        let mut tasks = sync_lock::lock(&self.tasks);
        match () {
            () if tasks.seen.contains(&body.task) => return Err(AdmitError::Duplicate),
            () if tasks.leaving => {
                return Err(AdmitError::Refused(wire::RefusalReason::Leaving));
            }
            () if body.size_millicores > self.max_size_millicores => {
                return Err(AdmitError::Refused(wire::RefusalReason::TooLarge));
            }
            () if tasks.running.len() >= self.slots as usize => {
                return Err(AdmitError::Refused(wire::RefusalReason::SlotsFull));
            }
            () => {}
        }
        let work = work_payload(&body.payload);
        let millis = work.work_ms as f64 * tasks.slowness * factor;
        let number = self.ledger.start(&self.name, &body.task, &body.payload);
        let stop = sync::Arc::<tokio::sync::Notify>::default();
        let handle = StopHandle {
            number,
            stop: stop.clone(),
        };
        tasks.running.insert(body.task.clone(), handle);
        tasks.seen.insert(body.task.clone());
        Ok(RunningTask {
            task: body.task.clone(),
            payload: body.payload.clone(),
            number,
            stop,
            work,
            run_time: time::Duration::from_secs_f64(millis / 1_000.0),
            time_left: time::Duration::from_millis(body.time_left_ms),
        })
    }

    /// Runs a started task to its end and frees its slot.
    pub(super) async fn run(&self, running: RunningTask) -> (RunningTask, RunEnding) {
        let ending = tokio::select! {
            () = tokio::time::sleep(running.run_time) => running.work_ending(),
            () = running.stop.notified() => RunEnding::Stopped,
            () = tokio::time::sleep(running.time_left) => RunEnding::Stopped,
        };
        self.finish(&running, ending);
        (running, ending)
    }

    /// Ends a started task at once as failed and frees its slot.
    pub(super) fn fail(&self, running: &RunningTask) {
        self.finish(running, RunEnding::Failed);
    }

    fn finish(&self, running: &RunningTask, ending: RunEnding) {
        let ending = match ending {
            RunEnding::Done => ledger::StartEnding::Done,
            RunEnding::Failed => ledger::StartEnding::Failed,
            RunEnding::Stopped => ledger::StartEnding::Stopped,
        };
        self.ledger.end(running.number, ending);
        let mut tasks = sync_lock::lock(&self.tasks);
        let same = tasks
            .running
            .get(&running.task)
            .is_some_and(|handle| handle.number == running.number);
        if same {
            tasks.running.remove(&running.task);
        }
    }

    /// Asks a running task to stop.
    pub(super) fn stop(&self, task: &str) {
        if let Some(handle) = sync_lock::lock(&self.tasks).running.get(task) {
            handle.stop.notify_one();
        }
    }

    /// Forgets all tasks, as the end of the process would.
    pub(super) fn drop_tasks(&self) {
        let mut tasks = sync_lock::lock(&self.tasks);
        for (_task, handle) in tasks.running.drain() {
            self.ledger.end(handle.number, ledger::StartEnding::Dropped);
            handle.stop.notify_one();
        }
        tasks.seen.clear();
    }
}

impl RunningTask {
    fn work_ending(&self) -> RunEnding {
        if self.work.fail {
            RunEnding::Failed
        } else {
            RunEnding::Done
        }
    }

    /// The answer to a task that ran to its end.
    pub(super) fn done_body(&self, busy: u32) -> wire::DoneBody {
        let digest = wire::payload_digest(&self.payload);
        let padding = "x".repeat(self.work.output_bytes);
        wire::DoneBody {
            task: self.task.clone(),
            output: format!("{digest}:{padding}"),
            run_ms: u64::try_from(self.run_time.as_millis()).unwrap_or(u64::MAX),
            busy,
        }
    }
}

impl platform::UsageSource for ServerState {
    fn name(&self) -> sync::Arc<str> {
        self.name.clone()
    }

    fn busy_slots(&self) -> u32 {
        ServerState::busy_slots(self)
    }
}

/// The work of a payload; one that can't be read fails at once.
fn work_payload(payload: &str) -> wire::WorkPayload {
    serde_json::from_str(payload).unwrap_or(wire::WorkPayload {
        fail: true,
        ..wire::WorkPayload::default()
    })
}
