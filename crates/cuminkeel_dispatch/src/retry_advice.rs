//! When a refused caller should come back.
//!
//! Load pattern: a burst of which much is refused within the same second. Callers
//! that were all told the same time would come back as the next burst, so the
//! returns are spread over as long again as the room takes to come free.

use std::time;

/// Shortest time over which returns are spread: the header counts in whole seconds.
const MIN_SPREAD: time::Duration = time::Duration::from_secs(1);

/// Time after which the caller of `job` should return, when room for it is expected in
/// `wait`. The same job always gets the same part of the spread.
pub fn jittered_retry_after(job: &str, wait: time::Duration) -> time::Duration {
    let [part, ..] = *blake3::hash(job.as_bytes()).as_bytes();
    let spread = wait.max(MIN_SPREAD);
    wait + spread * u32::from(part) / u32::from(u8::MAX)
}
