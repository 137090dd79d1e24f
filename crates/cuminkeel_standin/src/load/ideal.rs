//! The ideal response of a job: its tasks alone on free servers.

use std::time;

/// Finish of the last task when the job has all slots to itself.
///
/// Tasks are placed longest first, each on the slot that finishes it earliest.
/// This greedy schedule can be longer than the best one for jobs with more
/// tasks than slots, so a ratio to it can be slightly below 1. `slowness` holds
/// one number for each slot.
pub fn job_finish(work: &[time::Duration], slowness: &[f64]) -> time::Duration {
    let mut longest_first = work.to_vec();
    longest_first.sort_unstable_by(|left, right| right.cmp(left));
    let mut free_at = vec![0.0_f64; slowness.len()];
    let mut last = 0.0_f64;
    for task in longest_first {
        let seconds = task.as_secs_f64();
        let finishes = slowness
            .iter()
            .zip(&free_at)
            .map(|(slowness, free)| free + seconds * slowness)
            .enumerate();
        let earliest = finishes.min_by(|left, right| left.1.total_cmp(&right.1));
        if let Some((slot, finish)) = earliest {
            free_at[slot] = finish;
            last = last.max(finish);
        }
    }
    time::Duration::from_secs_f64(last)
}
