//! Which idle slots a lender can spare.

use cuminkeel_types::time as clock;

use crate::server_pool;

/// Share of its own slots that a lender keeps idle for itself.
const RESERVE_SHARE: f64 = 0.05;

/// Idle slots to lend: half of each server's, then more, so that lender and
/// borrower get the same mix of speeds. Returns them and the number left idle.
pub(super) fn choose_slots(
    now: clock::TimePoint,
    wanted: u32,
    own_queue: usize,
    pool: &server_pool::ServerPool,
) -> (Vec<(server_pool::ServerIndex, u32)>, u32) {
    let idle: Vec<(server_pool::ServerIndex, u32)> = pool
        .free_servers()
        .map(|index| (index, pool.server(index).lendable()))
        .collect();
    let total: u32 = idle.iter().map(|(_, count)| count).sum();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share of a small count"
    )]
    let reserve =
        (f64::from(pool.buckets().usable()) * RESERVE_SHARE + pool.recent_need(now)).ceil() as u32;
    let kept = reserve.saturating_add(u32::try_from(own_queue).unwrap_or(u32::MAX));
    let mut wanted = wanted.min(total.saturating_sub(kept));
    let mut chosen: Vec<(server_pool::ServerIndex, u32)> = Vec::new();
    for (server, count) in &idle {
        let half = count.div_ceil(2).min(wanted);
        wanted -= half;
        chosen.push((*server, half));
    }
    for ((_, count), (_, taken)) in idle.iter().zip(&mut chosen) {
        let more = (count - *taken).min(wanted);
        wanted -= more;
        *taken += more;
    }
    chosen.retain(|(_, count)| *count > 0);
    let lent: u32 = chosen.iter().map(|(_, count)| count).sum();
    (chosen, total - lent)
}
