//! Tests of the epochs of fencing tokens over many restarts of all processes, while a server keeps the highest token.

use std::{collections::BTreeSet, sync::Arc, time};

use cuminkeel_dispatch::{claim_token, leadership, pool, pool_action, server_model, settings};
use smallvec::SmallVec;

fn ms(value: u64) -> time::Duration {
    time::Duration::from_millis(value)
}

/// Bits of a token below its epoch.
const PROCESS_BITS: u32 = claim_token::PROCESS_BITS;
/// Start of the server, in Unix ms: December 2026.
const INCARNATION: u64 = 1_796_500_000_000;

/// Returns a pool of a process that has just started, with a registered server.
fn new_pool(process_id: u64) -> pool::ServerPool {
    let pool_settings = settings::PoolSettings::new(ms(1_000), ms(50), ms(1_300));
    let mut pool = pool::ServerPool::new(pool_settings, process_id);
    pool.apply_registry_entry(entry("s1"), ms(1));
    pool
}

fn entry(server: &str) -> server_model::ServerEntry {
    server_model::ServerEntry {
        id: Arc::from(server),
        service: Arc::from("desk"),
        address: Arc::from(format!("{server}:1")),
        failure_domain: Arc::from("here"),
        draining: false,
        cpu_millis: 16_000,
        memory_mb: 1_024,
        gpus: 0,
        labels: SmallVec::new(),
        incarnation: INCARNATION,
        sequence: 1,
        cold_remaining: time::Duration::ZERO,
    }
}

/// A server that keeps the highest token that it has seen, as the protocol has it.
struct TokenServer {
    highest_token: u64,
    clock_ms: u64,
}

impl TokenServer {
    fn new() -> Self {
        Self {
            highest_token: 0,
            clock_ms: 1_000,
        }
    }

    /// Lets `pool` claim the server. Returns the number of orders that it took, or `None` if it was not granted.
    fn claim(&mut self, pool: &mut pool::ServerPool) -> Option<usize> {
        let wanted = BTreeSet::from([Arc::from("s1")]);
        pool.reconcile_claims(&wanted, leadership::ShardSet::ALL, ms(1));
        let mut order_count = 0;
        for now in (1..5_000).map(ms) {
            pool.tick(now);
            for action in pool.take_actions(now) {
                let pool_action::PoolAction::Hold(order) = action else {
                    continue;
                };
                order_count += 1;
                if self.grants(&order) {
                    pool.apply_hold_outcome(&order, self.report(), now);
                    return Some(order_count);
                }
                let clock_ms = Some(self.clock_ms + order_count as u64);
                let outcome = server_model::HoldOutcome::Fenced { clock_ms };
                pool.apply_hold_outcome(&order, outcome, now);
            }
        }
        None
    }

    fn grants(&mut self, order: &server_model::HoldOrder) -> bool {
        let is_granted = order.token >= self.highest_token;
        self.highest_token = self.highest_token.max(order.token);
        is_granted
    }

    fn report(&self) -> server_model::HoldOutcome {
        server_model::HoldOutcome::Reported(server_model::HoldReport {
            clock_ms: self.clock_ms,
            incarnation: Some(INCARNATION),
            running: Vec::new(),
            finished: Vec::new(),
            unreadable_count: 0,
        })
    }
}

/// Returns a random number of a process, spread over their range.
fn process_id(number: u64) -> u64 {
    (number + 1) * 616_318_177 % (1 << PROCESS_BITS)
}

/// Returns the share of all tokens that are exact as JSON numbers which is above `token`.
fn share_left(token: u64) -> f64 {
    1.0 - claim_token::epoch(token) as f64 / claim_token::MAX_EPOCH as f64
}

/// Guards against servers that no process can claim any more, because of one status of a peer: at the last epoch, only
/// processes with a higher number than the last claimant's are obeyed.
#[test]
fn epoch_of_no_process_leaves_servers_claimable() {
    let mut server = TokenServer::new();
    let mut pool = new_pool(7);
    for epoch in [claim_token::MAX_EPOCH + 1, u64::MAX] {
        pool.observe_epoch(epoch);
        assert_eq!(pool.epoch(), 0);
    }
    assert!(server.claim(&mut pool).is_some());
    let mut successor = new_pool(3);
    successor.observe_epoch(pool.epoch());
    assert!(server.claim(&mut successor).is_some());
}

/// Guards against epochs that spread: one that a peer tells, however high, is neither told on nor used for servers that
/// grant the tokens of their own time.
#[test]
fn epoch_that_a_peer_tells_is_not_passed_on() {
    let mut server = TokenServer::new();
    let mut pool = new_pool(7);
    pool.observe_epoch(claim_token::MAX_EPOCH);
    assert!(server.claim(&mut pool).is_some());
    assert!(share_left(server.highest_token) > 0.5);
    assert!(pool.epoch() < claim_token::MAX_EPOCH / 2);
}

/// Guards against tokens of one server that use up those of all others: a process that holds a server with high tokens
/// claims another one, also again and again, with tokens of that server's own time.
#[test]
fn high_token_of_a_server_raises_those_of_no_other_server() {
    let mut high_server = TokenServer::new();
    high_server.highest_token = 1 << 51;
    let mut pool = new_pool(7);
    assert!(high_server.claim(&mut pool).is_some());
    pool.observe_epoch(claim_token::epoch(high_server.highest_token));
    pool.apply_registry_entry(entry("s2"), ms(5_000));
    let wanted = BTreeSet::from([Arc::from("s1"), Arc::from("s2")]);
    let mut sound_server = TokenServer::new();
    for round in 0..100 {
        let now = ms(5_000 + round * 50);
        pool.reconcile_claims(&wanted, leadership::ShardSet::ALL, now);
        pool.tick(now);
        for action in pool.take_actions(now) {
            let pool_action::PoolAction::Hold(order) = action else {
                continue;
            };
            // Each second answer of the sound server is lost, so that it is claimed again.
            let outcome = match &*order.server {
                "s2" if sound_server.grants(&order) && round % 2 == 0 => sound_server.report(),
                "s2" => server_model::HoldOutcome::Unanswered,
                _ => high_server.report(),
            };
            pool.apply_hold_outcome(&order, outcome, now);
        }
    }
    assert!(sound_server.highest_token > 0);
    assert!(share_left(sound_server.highest_token) > 0.9);
}

/// Guards against servers that no process can claim any more after all processes were started anew, again and again.
/// Each time the epoch about doubled, as the new processes learn it only from what the server rejects.
#[test]
fn server_is_claimed_after_any_number_of_restarts_of_all_processes() {
    // The first claims only, and restarts that follow each other faster than processes start.
    for restart_ms in [1_000, 200] {
        let mut server = TokenServer::new();
        for restart in 0_u64..20_000 {
            let mut pool = new_pool(process_id(restart));
            let orders = server.claim(&mut pool);
            let epoch = server.highest_token >> PROCESS_BITS;
            assert!(
                orders.is_some_and(|count| count <= 3),
                "restart {restart}, epoch {epoch}, {orders:?}"
            );
            server.clock_ms += restart_ms;
        }
    }
}

/// Guards against tokens that run out within the life of a deployment: a million restarts of all processes use up no more
/// than the time that they take.
#[test]
fn a_million_restarts_of_all_processes_leave_more_than_half_of_the_tokens() {
    let mut highest_token = 0;
    for restart in 0_u64..1_000_000 {
        let source = claim_token::TokenSource::new(process_id(restart));
        let server_time_ms = claim_token::server_time_ms(INCARNATION, restart * 1_000);
        let mut token = source.at(claim_token::server_time_ms(INCARNATION, 0));
        let mut count = 0;
        while token < highest_token {
            count += 1;
            let rejection = claim_token::ClaimRejection {
                token,
                count,
                server_time_ms,
                told_epoch: 0,
            };
            token = source.after_rejection(&rejection).expect("a higher token");
        }
        assert!(count <= 2, "{count} rejections at restart {restart}");
        highest_token = token;
    }
    assert!(share_left(highest_token) > 0.5, "{highest_token}");
}

/// Guards against epochs that run out within seconds, as attempts without a response raise them: a server that refuses
/// connections, or is silent, for an hour while it is claimed.
#[test]
fn attempts_without_a_response_use_up_no_tokens() {
    let outcomes = [
        server_model::HoldOutcome::Refused,
        server_model::HoldOutcome::Unanswered,
        server_model::HoldOutcome::OtherServer,
    ];
    for outcome in outcomes {
        let mut pool = new_pool(7);
        let wanted = BTreeSet::from([Arc::from("s1")]);
        let mut tokens = BTreeSet::new();
        let mut attempts = 0_u32;
        for now in (1_u64..3_600_000).step_by(20).map(ms) {
            pool.reconcile_claims(&wanted, leadership::ShardSet::ALL, now);
            pool.tick(now);
            for action in pool.take_actions(now) {
                if let pool_action::PoolAction::Hold(order) = action {
                    attempts += 1;
                    tokens.insert(order.token);
                    pool.apply_hold_outcome(&order, outcome.clone(), now);
                }
            }
        }
        assert!(attempts > 1_000, "{outcome:?}: {attempts} attempts");
        assert_eq!(tokens.len(), 1, "{outcome:?}");
    }
}

/// Guards against an upgrade that serves nothing: processes of the last landing have used up the epochs of a server, and
/// go on telling the last one.
#[test]
fn server_at_the_last_epoch_of_the_last_landing_is_claimed() {
    const LAST_TOKEN: u64 = (1 << 53) - 1;
    for is_told in [true, false] {
        let mut server = TokenServer::new();
        server.highest_token = LAST_TOKEN;
        for restart in 0_u64..1_000 {
            let mut pool = new_pool(process_id(restart));
            if is_told {
                pool.observe_epoch(claim_token::MAX_EPOCH);
            }
            let orders = server.claim(&mut pool);
            assert!(orders.is_some(), "restart {restart}");
            // An order of the last landing has no higher token, so it is rejected.
            assert!(server.highest_token > LAST_TOKEN);
            assert_eq!(pool.epoch(), claim_token::MAX_EPOCH);
            server.clock_ms += 1_000;
        }
        // The server restarts and forgets all tokens.
        server.highest_token = 0;
        let mut pool = new_pool(9);
        pool.observe_epoch(claim_token::MAX_EPOCH);
        assert!(server.claim(&mut pool).is_some());
        assert!(share_left(server.highest_token) > 0.5);
    }
}

proptest::proptest! {
    /// Guards against tokens that are not exact in readers which take JSON numbers as doubles, against tokens that don't
    /// grow, and against sums that wrap, whatever a server and peers tell.
    #[test]
    fn tokens_grow_and_are_exact_whatever_servers_and_peers_tell(
        number: u64,
        incarnation: u64,
        clock_ms: u64,
        earlier_token in 0_u64..1 << 53,
        told_epoch: u64,
        rejections in 1_u32..60,
    ) {
        let source = claim_token::TokenSource::new(number);
        let server_time_ms = claim_token::server_time_ms(incarnation, clock_ms);
        let mut token = earlier_token;
        for count in 1..=rejections {
            let rejection = claim_token::ClaimRejection { token, count, server_time_ms, told_epoch };
            let Some(next) = source.after_rejection(&rejection) else {
                proptest::prop_assert!(claim_token::is_wide(token));
                break;
            };
            proptest::prop_assert!(next > token);
            proptest::prop_assert!(next < 1 << 63);
            let significant_bits = 64 - next.leading_zeros() - next.trailing_zeros();
            proptest::prop_assert!(significant_bits <= 53);
            token = next;
        }
        proptest::prop_assert!(source.successor(token) >= token);
        proptest::prop_assert!(source.at(server_time_ms) < 1 << 53);
    }
}
