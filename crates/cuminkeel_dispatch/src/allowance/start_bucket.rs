//! Token bucket of task starts whose rate changes.

use cuminkeel_types::time::TimePoint;

const MICRO: u64 = 1_000_000;
/// Seconds of unused starts that are kept, as a divisor of the rate.
const DEPTH_DIVISOR: u64 = 4;

/// Token bucket; starts are counted in millionths.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StartBucket {
    micro_starts: u64,
    filled: TimePoint,
}

impl StartBucket {
    /// An empty bucket.
    pub(super) fn new(now: TimePoint) -> Self {
        Self {
            micro_starts: 0,
            filled: now,
        }
    }

    /// Adds what `rate` starts per second gave since the last call.
    pub(super) fn fill(&mut self, now: TimePoint, rate: u32) {
        let micros = u64::try_from(now.since(self.filled).as_micros()).unwrap_or(u64::MAX);
        let gained = micros.saturating_mul(u64::from(rate));
        self.micro_starts = self.micro_starts.saturating_add(gained).min(depth(rate));
        self.filled = self.filled.max(now);
    }

    /// Takes one start out; false if there is none.
    pub(super) fn take(&mut self) -> bool {
        let has_start = self.micro_starts >= MICRO;
        if has_start {
            self.micro_starts -= MICRO;
        }
        has_start
    }

    /// Whether one start can be taken out.
    pub(super) fn has_start(&self) -> bool {
        self.micro_starts >= MICRO
    }

    /// Takes the part out that goes with `given` of `rate` starts per second.
    pub(super) fn split(&mut self, given: u32, rate: u32) -> u64 {
        let share = self.micro_starts.saturating_mul(u64::from(given)) / u64::from(rate.max(1));
        let share = share.min(self.micro_starts);
        self.micro_starts -= share;
        share
    }

    /// Adds starts that came with a loan.
    pub(super) fn add(&mut self, micro_starts: u64) {
        self.micro_starts = self.micro_starts.saturating_add(micro_starts);
    }

    /// Time until one start can be taken out at this rate, in microseconds.
    pub(super) fn micros_to_start(&self, rate: u32) -> Option<u64> {
        let missing = MICRO.saturating_sub(self.micro_starts);
        match rate {
            0 => None,
            rate => Some(missing.div_ceil(u64::from(rate))),
        }
    }
}

/// Most millionths of starts that are kept at a rate.
fn depth(rate: u32) -> u64 {
    match u64::from(rate) {
        0 => 0,
        rate => (rate * MICRO / DEPTH_DIVISOR).max(MICRO),
    }
}
