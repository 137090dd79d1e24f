//! Tests of the epochs of fencing tokens over many restarts of all processes, while a server keeps the highest token.

use std::{collections::BTreeSet, sync::Arc, time};

use cuminkeel_dispatch::{leadership, pool, pool_action, server_model, settings};
use smallvec::SmallVec;

fn ms(value: u64) -> time::Duration {
    time::Duration::from_millis(value)
}

/// Bits of a token below its epoch.
const PROCESS_BITS: u32 = 20;

/// Returns a pool of a process that has just started, with a registered server.
fn new_pool(process_id: u64) -> pool::ServerPool {
    let pool_settings = settings::PoolSettings::new(ms(1_000), ms(50), ms(1_300));
    let mut pool = pool::ServerPool::new(pool_settings, process_id);
    let entry = server_model::ServerEntry {
        id: Arc::from("s1"),
        service: Arc::from("desk"),
        address: Arc::from("s1:1"),
        failure_domain: Arc::from("here"),
        draining: false,
        cpu_millis: 16_000,
        memory_mb: 1_024,
        gpus: 0,
        labels: SmallVec::new(),
        incarnation: 1,
        sequence: 1,
        cold_remaining: time::Duration::ZERO,
    };
    pool.apply_registry_entry(entry, ms(1));
    pool
}

/// Lets `pool` claim the server, which has seen `highest_token`. Returns whether it gets it.
fn claims_server(pool: &mut pool::ServerPool, highest_token: &mut u64) -> bool {
    let wanted = BTreeSet::from([Arc::from("s1")]);
    pool.reconcile_claims(&wanted, leadership::ShardSet::ALL, ms(1));
    for now in (1..100).map(ms) {
        for action in pool.take_actions(now) {
            let pool_action::PoolAction::Hold(order) = action else {
                continue;
            };
            if order.token < *highest_token {
                pool.apply_hold_outcome(&order, server_model::HoldOutcome::Fenced, now);
                continue;
            }
            *highest_token = order.token;
            let report = server_model::HoldReport {
                clock_ms: 1_000,
                incarnation: Some(1),
                running: Vec::new(),
                finished: Vec::new(),
                unreadable_count: 0,
            };
            let outcome = server_model::HoldOutcome::Reported(report);
            pool.apply_hold_outcome(&order, outcome, now);
            return true;
        }
    }
    false
}

/// Guards against servers that no process can claim any more, because of one status of a peer: at the last epoch, only
/// processes with a higher number than the last claimant's are obeyed.
#[test]
fn epoch_of_no_process_leaves_servers_claimable() {
    const LAST_EPOCH: u64 = (1 << (53 - PROCESS_BITS)) - 1;
    let mut highest_token = 0;
    let mut pool = new_pool(7);
    for epoch in [LAST_EPOCH + 1, u64::MAX] {
        pool.observe_epoch(epoch);
        assert_eq!(pool.epoch(), 0);
    }
    assert!(claims_server(&mut pool, &mut highest_token));
    let mut successor = new_pool(3);
    successor.observe_epoch(pool.epoch());
    assert!(claims_server(&mut successor, &mut highest_token));
}

/// Guards against servers that no process can claim any more after all processes were started anew, again and again.
/// Each time the epoch about doubles, as the new processes learn it only from what the server rejects.
#[test]
fn server_is_claimed_after_any_number_of_restarts_of_all_processes() {
    let mut highest_token = 0;
    for restart in 0_u64..200 {
        // Spread over the range of process ids, as random ones are.
        let process_id = (restart + 1) * 616_318_177 % (1 << PROCESS_BITS);
        let mut pool = new_pool(process_id);
        assert!(
            claims_server(&mut pool, &mut highest_token),
            "restart {restart}, epoch {}",
            highest_token >> PROCESS_BITS
        );
    }
}
