//! Processor time and memory of this process and its machine, from `/proc`.

use std::{fs, thread, time};

/// Clock ticks per second in `/proc`, fixed in Linux's interface to programs.
const TICKS_PER_SECOND: f64 = 100.0;
/// Bytes of a page in `/proc/self/statm`.
const PAGE_BYTES: u64 = 4_096;
/// Position of the user time in `/proc/self/stat` behind the command.
const USER_TICKS_FIELD: usize = 11;
/// Position of idle and of waiting time in the first line of `/proc/stat`.
const IDLE_FIELDS: [usize; 2] = [3, 4];

/// Counters at one time. All zero where `/proc` can't be read.
#[derive(Clone, Copy, Debug)]
pub struct HostSample {
    at: time::Instant,
    process_seconds: f64,
    machine_ticks: f64,
    idle_ticks: f64,
}

impl HostSample {
    /// Reads the counters.
    pub fn take() -> Self {
        let machine = machine_ticks();
        let idle = IDLE_FIELDS
            .iter()
            .filter_map(|field| machine.get(*field))
            .sum();
        Self {
            at: time::Instant::now(),
            process_seconds: process_seconds().unwrap_or_default(),
            machine_ticks: machine.iter().sum(),
            idle_ticks: idle,
        }
    }

    /// Cores that this process used since `earlier`.
    pub fn process_cores(&self, earlier: &Self) -> f64 {
        let span = self.at.duration_since(earlier.at).as_secs_f64();
        (self.process_seconds - earlier.process_seconds) / span.max(f64::EPSILON)
    }

    /// Share of the machine's processor time used since `earlier`.
    pub fn machine_busy_share(&self, earlier: &Self) -> f64 {
        let ticks = self.machine_ticks - earlier.machine_ticks;
        let idle = self.idle_ticks - earlier.idle_ticks;
        1.0 - idle / ticks.max(1.0)
    }
}

/// Cores of the machine.
pub fn machine_cores() -> usize {
    thread::available_parallelism().map_or(1, usize::from)
}

/// Resident memory of this process, in bytes.
pub fn resident_bytes() -> u64 {
    let pages = fs::read_to_string("/proc/self/statm").ok();
    pages
        .and_then(|text| text.split_whitespace().nth(1)?.parse::<u64>().ok())
        .map_or(0, |pages| pages * PAGE_BYTES)
}

fn process_seconds() -> Option<f64> {
    let text = fs::read_to_string("/proc/self/stat").ok()?;
    let (_command, fields) = text.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(USER_TICKS_FIELD);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}

fn machine_ticks() -> Vec<f64> {
    let text = fs::read_to_string("/proc/stat").unwrap_or_default();
    let line = text.lines().next().unwrap_or_default();
    line.split_whitespace()
        .skip(1)
        // The last two fields are contained in the first two.
        .take(8)
        .filter_map(|field| field.parse().ok())
        .collect()
}
