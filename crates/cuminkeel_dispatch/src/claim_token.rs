//! Fencing tokens of claims on servers.
//!
//! A server obeys no order whose token is lower than one that it has seen, and forgets all tokens when it
//! restarts. The token of a claim is derived from the server's own time, which each of its responses tells, so
//! a process needs no memory to outbid the claims before its own, and no process, peer or other server can use up
//! the tokens of a server.
//!
//! The upper 40 bits of a token are the server's time in ms since the beginning of 2026, which lasts for 34 years. The
//! random number of the process is added to the lower 20 bits, so that two processes which claim a server at about the
//! same time have different tokens. Releases before this one took a token for an epoch ([`epoch`]) and that number.
//!
//! If such a release has used up the epochs of a server, tokens are shifted beyond 53 bits. Those have at most 53
//! significant bits, so they are exact as IEEE 754 doubles, which is what RFC 8259 lets a sender of JSON expect.

/// Low bits of a token that have the number of the process.
pub const PROCESS_BITS: u32 = 20;
/// Number of a token's bits below the server's time in ms. Fewer than [`PROCESS_BITS`], so that claims which are some
/// ms apart are in order and tokens of two processes seldom meet.
const TICK_BITS: u32 = 13;
/// Number of bits of a token that are exact as a JSON number of any size.
const EXACT_BITS: u32 = 53;
/// Number of bits by which a wide token is shifted; the result stays below 2^63.
const WIDE_SHIFT: u32 = 10;
/// Origin of the times in tokens, in Unix ms: 1 January 2026.
const ORIGIN_UNIX_MS: u64 = 1_767_225_600_000;
/// Lowest time in a wide token, in ms: with it the token is above all that are not wide.
const MIN_WIDE_TIME_MS: u64 = 1 << (EXACT_BITS - WIDE_SHIFT - TICK_BITS);
/// Latest time that is taken from a server, in ms since the origin: leaves two years of tokens for claims on a server
/// that tells this time.
const MAX_SERVER_TIME_MS: u64 = (1 << (EXACT_BITS - TICK_BITS)) - (1 << 36);
/// Largest step after a rejection, in bits: all tokens that are not wide.
const MAX_STEP_BITS: u32 = EXACT_BITS;
/// Growth of the step with each rejection in a row, in bits.
const STEP_GROWTH_BITS: u32 = 4;
/// Number of rejections in a row after which the tokens grow beyond the server's time: the first one tells the time, and
/// the second one that another claim was made at about the same time.
pub const EXPECTED_REJECTIONS: u32 = 2;

/// Highest epoch: the last one whose tokens are exact as JSON numbers of any size.
pub const MAX_EPOCH: u64 = (1 << (EXACT_BITS - PROCESS_BITS)) - 1;

/// Returns the epoch of `token`, or the highest one for a wide token.
pub fn epoch(token: u64) -> u64 {
    (token >> PROCESS_BITS).min(MAX_EPOCH)
}

/// Whether `token` is above all tokens that have epochs.
pub fn is_wide(token: u64) -> bool {
    token >> EXACT_BITS > 0
}

/// Returns the time of a server in ms since the origin of tokens. `incarnation` is its start in Unix ms, 0 if unknown,
/// and `clock_ms` the time since then. A time that can't be true counts as that of the start, or as zero.
pub fn server_time_ms(incarnation: u64, clock_ms: u64) -> u64 {
    let since_origin = |unix_ms: u64| {
        unix_ms
            .checked_sub(ORIGIN_UNIX_MS)
            .filter(|time_ms| *time_ms <= MAX_SERVER_TIME_MS)
    };
    since_origin(incarnation.saturating_add(clock_ms))
        .or_else(|| since_origin(incarnation))
        .or_else(|| Some(clock_ms).filter(|clock_ms| *clock_ms <= MAX_SERVER_TIME_MS))
        .unwrap_or(0)
}

/// What is known when a server has rejected a claim.
#[derive(Clone, Copy, Debug)]
pub struct ClaimRejection {
    /// Rejected token.
    pub token: u64,
    /// Number of rejections in a row, this one included.
    pub count: u32,
    /// Time of the server in ms since the origin of tokens, as [`server_time_ms`].
    pub server_time_ms: u64,
    /// Highest epoch that peers have told.
    pub told_epoch: u64,
}

/// Source of the tokens of one process.
#[derive(Clone, Copy, Debug)]
pub struct TokenSource {
    process_id: u64,
}

impl TokenSource {
    /// Creates the source for the process with this random number, of which the low 20 bits count.
    pub fn new(process_id: u64) -> Self {
        Self {
            process_id: process_id & ((1 << PROCESS_BITS) - 1),
        }
    }

    /// Returns the token of a claim on a server whose time is `server_time_ms`.
    pub fn at(self, server_time_ms: u64) -> u64 {
        (server_time_ms.min(MAX_SERVER_TIME_MS) << TICK_BITS) + self.process_id
    }

    /// Returns the token of the next claim on a server that has granted `token` to this process: the next higher one,
    /// so that a process which was cut off is outbid by the claims that others made meanwhile.
    pub fn successor(self, token: u64) -> u64 {
        raise(token, 1 << TICK_BITS).unwrap_or(token)
    }

    /// Returns the token of the next claim after a rejection: that of the server's time, which outbids all claims
    /// unless they were made at the same moment. If it was rejected, the tokens grow by steps that grow, and by what peers
    /// have told. `None` if no higher token is left.
    pub fn after_rejection(self, rejection: &ClaimRejection) -> Option<u64> {
        let growth = rejection.count.saturating_sub(EXPECTED_REJECTIONS);
        let step_bits = PROCESS_BITS.saturating_add(growth.saturating_mul(STEP_GROWTH_BITS));
        let raised = raise(rejection.token, 1 << step_bits.min(MAX_STEP_BITS));
        if is_wide(rejection.token) {
            return raised.map(|token| token.max(self.wide_at(rejection.server_time_ms)));
        }
        let told = match rejection.told_epoch {
            // They hold for all servers of these peers, so they say little of one server.
            _ if rejection.count <= EXPECTED_REJECTIONS => Some(0),
            MAX_EPOCH.. => None,
            epoch => Some(((epoch + 1) << PROCESS_BITS) + self.process_id),
        };
        let at_server_time = self.at(rejection.server_time_ms);
        match (raised, told) {
            (Some(raised), Some(told)) => Some(raised.max(told).max(at_server_time)),
            _ => Some(self.wide_at(rejection.server_time_ms)),
        }
    }

    fn wide_at(self, server_time_ms: u64) -> u64 {
        self.at(server_time_ms.max(MIN_WIDE_TIME_MS)) << WIDE_SHIFT
    }
}

/// Returns `token` raised by `step`, which applies before the shift of a wide one, or `None` beyond the end of the
/// tokens of its width.
fn raise(token: u64, step: u64) -> Option<u64> {
    let shift = if is_wide(token) { WIDE_SHIFT } else { 0 };
    let raised = (token >> shift).checked_add(step)?;
    (raised >> EXACT_BITS == 0).then_some(raised << shift)
}
