//! Times after which refused callers should submit their jobs again (`Retry-After`).
//!
//! A large part of a burst can be refused within the same second. Callers that all got the
//! same time would return as the next burst. The times are therefore spread: jitter of
//! up to the expected wait for capacity is added to that wait.

use std::time;

/// Shortest range of the jitter: the `Retry-After` header counts in whole seconds.
const MIN_JITTER_RANGE: time::Duration = time::Duration::from_secs(1);

/// Returns the time after which the caller of `job` should submit it again if capacity for it
/// is expected in `wait`. The jitter is a function of the job's id.
pub fn jittered_retry_after(job: &str, wait: time::Duration) -> time::Duration {
    let [jitter, ..] = *blake3::hash(job.as_bytes()).as_bytes();
    let jitter_range = wait.max(MIN_JITTER_RANGE);
    let jitter = jitter_range.saturating_mul(u32::from(jitter)) / u32::from(u8::MAX);
    wait.saturating_add(jitter)
}

/// Returns the wait from which [`jittered_retry_after`] got `retry_after` for `job`.
pub fn wait_before_jitter(job: &str, retry_after: time::Duration) -> time::Duration {
    let [jitter, ..] = *blake3::hash(job.as_bytes()).as_bytes();
    let whole = u32::from(u8::MAX);
    let min_jitter = MIN_JITTER_RANGE * u32::from(jitter) / whole;
    let short_wait = retry_after.saturating_sub(min_jitter);
    if short_wait <= MIN_JITTER_RANGE {
        short_wait
    } else {
        retry_after.saturating_mul(whole) / (whole + u32::from(jitter))
    }
}
