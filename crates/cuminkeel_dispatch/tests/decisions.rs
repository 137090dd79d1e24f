//! Tests of single decisions: overdue runs, placement, admission, queue order, server health,
//! leaders, links and the times after which refused callers submit again.

use std::{sync::Arc, time};

use cuminkeel_dispatch::{
    capacity_forecast, health, job_model, job_order, leadership, link_plan, overdue_run,
    retry_advice, run_time_model, task_placement,
};

fn ms(value: u64) -> time::Duration {
    time::Duration::from_millis(value)
}

#[test]
fn overdue_run_is_rescheduled_within_limits_if_it_saves_time() {
    use overdue_run::OverdueAction::{Reschedule, RescheduleAndEject, Wait};

    let cases = [
        ("nearly done", 400, 90, 250, 1_000, 0, Wait),
        ("stalled", 400, 0, 250, 1_000, 0, RescheduleAndEject),
        (
            "stalled after one reschedule",
            400,
            1,
            250,
            1_000,
            1,
            RescheduleAndEject,
        ),
        ("stalled after two reschedules", 400, 0, 250, 1_000, 2, Wait),
        ("slow", 400, 15, 250, 1_000, 0, Reschedule),
        ("slow after one reschedule", 400, 15, 250, 1_000, 1, Wait),
        (
            "rescheduled run would end after the expiry",
            400,
            0,
            250,
            200,
            0,
            Wait,
        ),
    ];
    for (name, elapsed, percent, reschedule_time, time_to_expiry, reschedules, expected) in cases {
        let run = overdue_run::OverdueRun {
            elapsed: ms(elapsed),
            percent,
            reschedule_time: ms(reschedule_time),
            time_to_expiry: ms(time_to_expiry),
            reschedules,
        };
        assert_eq!(run.action(), expected, "{name}");
    }
}

#[test]
fn task_waits_only_if_a_faster_server_meets_the_objective() {
    let cases = [
        (
            "by the objective on the cheapest server",
            900,
            400,
            1_000,
            false,
        ),
        (
            "by the objective on the fastest server only",
            1_500,
            700,
            1_000,
            true,
        ),
        (
            "after the objective on every server",
            1_500,
            1_200,
            1_000,
            false,
        ),
    ];
    for (name, cheapest, fastest, objective, expected) in cases {
        let comparison = task_placement::FasterServerComparison {
            end_on_cheapest: ms(cheapest),
            end_on_fastest: ms(fastest),
            objective_at: ms(objective),
        };
        assert_eq!(
            task_placement::should_wait_for_faster(&comparison),
            expected,
            "{name}"
        );
    }
}

#[test]
fn placement_prefers_fast_servers_little_waste_and_the_data_rack() {
    let option = |free_cpu_millis, slowdown_factor| task_placement::PlacementOption {
        free_cpu_millis,
        slowdown_factor,
        is_data_local: true,
    };
    let cost = |option| task_placement::placement_cost(&option, 7_000, 7_000);
    assert!(cost(option(16_000, 0.7)) < cost(option(16_000, 1.7)));
    assert!(cost(option(14_000, 0.7)) < cost(option(12_000, 0.7)));
    let other_rack = task_placement::PlacementOption {
        is_data_local: false,
        ..option(16_000, 0.7)
    };
    assert!(cost(option(16_000, 0.7)) < cost(other_rack));
}

#[test]
fn forecast_reserves_the_earliest_capacity() {
    let mut forecast = capacity_forecast::CapacityForecast::default();
    assert!(forecast.is_empty());
    forecast.add_capacity(ms(0));
    forecast.add_capacity(ms(100));
    let work = |task_count, run_time| capacity_forecast::QueuedWork {
        task_count,
        run_time: ms(run_time),
    };
    assert_eq!(forecast.reserve(work(1, 150)), Some(ms(0)));
    assert_eq!(forecast.reserve(work(2, 50)), Some(ms(150)));
    assert_eq!(forecast.reserve(work(1, 50)), Some(ms(150)));
    let mut empty = capacity_forecast::CapacityForecast::default();
    assert_eq!(empty.reserve(work(1, 50)), None);
}

#[test]
fn queue_orders_late_jobs_last_then_by_latest_start_and_priority() {
    let position = |late, latest_start, priority, arrival| job_order::QueuePosition {
        late,
        latest_start: ms(latest_start),
        priority,
        arrival,
        job: Arc::from("job"),
        min_cpu_millis: 1_000,
    };
    let mut queue = [
        position(true, 10, 0, 1),
        position(false, 200, 0, 2),
        position(false, 100, 1, 3),
        position(false, 100, 0, 4),
    ];
    queue.sort();
    let arrivals: Vec<u64> = queue.iter().map(|position| position.arrival).collect();
    assert_eq!(arrivals, [4, 3, 2, 1]);
    assert!(queue[0].demoted() > queue[2]);
}

#[test]
fn nominal_run_time_converges_to_actual_run_times() {
    let mut model = run_time_model::RunTimeModel::default();
    assert_eq!(
        model.nominal_run_time(ms(80)),
        ms(80),
        "without past runs, the estimate is used"
    );
    for _ in 0..100 {
        model.record(ms(50), ms(200));
        model.record(ms(100), ms(200));
    }
    let nominal = model.nominal_run_time(ms(70));
    assert!(nominal > ms(180) && nominal < ms(220), "{nominal:?}");
}

#[test]
fn exact_estimates_stay_uncorrected() {
    let mut model = run_time_model::RunTimeModel::default();
    for number in 1..200 {
        model.record(ms(number * 5), ms(number * 5));
    }
    let nominal = model.nominal_run_time(ms(300));
    assert!(nominal > ms(290) && nominal < ms(310), "{nominal:?}");
}

/// Guards against a server that is ejected for a job whose tasks fail everywhere.
#[test]
fn failures_of_one_job_count_once_for_a_server() {
    let mut server = health::ServerHealth::default();
    for time_ms in 0..10 {
        assert!(!server.record_failure(1, ms(time_ms)));
    }
    assert!(server.record_failure(2, ms(20)), "a second job fails");
    let mut recovered = health::ServerHealth::default();
    assert!(!recovered.record_failure(1, ms(0)));
    recovered.record_success(ms(1), ms(100), ms(100), &health::KindSlowdown::default());
    assert!(!recovered.record_failure(1, ms(2)));
}

/// Guards against a lottery that depends on anything but the id, or prefers no one.
#[test]
fn size_weights_are_spread_around_one() {
    let weights: Vec<f64> = (0..2_000)
        .map(|number| job_order::size_weight(&format!("{number:016x}")))
        .collect();
    let mean = weights.iter().sum::<f64>() / 2_000.0;
    assert!((mean - 1.0).abs() < 0.05, "{mean}");
    assert!(weights.iter().all(|weight| (0.25..=1.75).contains(weight)));
    assert!(weights.iter().any(|weight| *weight < 0.3));
    assert!(weights.iter().any(|weight| *weight > 1.7));
}

#[test]
fn consecutive_failures_eject_a_server_and_then_put_it_on_probation() {
    let mut server = health::ServerHealth::default();
    let kind = health::KindSlowdown::default();
    assert!(!server.record_failure(1, ms(0)));
    server.record_success(ms(10), ms(50), ms(50), &kind);
    assert!(
        !server.record_failure(2, ms(20)),
        "a success resets the consecutive failures"
    );
    assert!(server.record_failure(3, ms(30)));
    assert!(!server.accepts_run(ms(40), 0));
    assert!(server.accepts_run(ms(2_000), 0));
    assert!(
        !server.accepts_run(ms(2_000), 1),
        "one run at a time on probation"
    );
    assert!(
        server.record_failure(4, ms(2_100)),
        "one failure on probation ejects again"
    );
    assert!(
        !server.accepts_run(ms(3_500), 0),
        "the ejection time has doubled"
    );
    server.record_success(ms(5_000), ms(50), ms(50), &kind);
    assert!(server.accepts_run(ms(5_000), 3));
}

#[test]
fn slowdown_of_a_slow_server_decays() {
    let kind = health::KindSlowdown::default();
    let mut server = health::ServerHealth::default();
    for _ in 0..20 {
        server.record_success(ms(100), ms(600), ms(100), &kind);
    }
    assert!(server.slowdown_factor(ms(100), &kind) > 3.0);
    assert!(server.slowdown_factor(ms(60_000), &kind) < 1.1);
}

fn member(name: &str, cpu_millis: u32, held_servers: u32) -> leadership::DomainMember {
    leadership::DomainMember {
        name: Arc::from(name),
        cpu_millis,
        reachable: true,
        leaving: false,
        held_servers,
        shards: leadership::ShardSet::default(),
    }
}

#[test]
fn leader_is_the_highest_ranked_reachable_member() {
    let unreachable = |member| leadership::DomainMember {
        reachable: false,
        ..member
    };
    let leaving = |member| leadership::DomainMember {
        leaving: true,
        ..member
    };
    let cases = [
        (
            "largest processor share",
            vec![member("a", 200, 0), member("b", 600, 0)],
            Some("b"),
        ),
        (
            "first name among equals",
            vec![member("b", 200, 0), member("a", 200, 0)],
            Some("a"),
        ),
        (
            "acting leader",
            vec![member("a", 600, 0), member("b", 200, 16)],
            Some("b"),
        ),
        (
            "unreachable",
            vec![member("a", 200, 0), unreachable(member("b", 600, 16))],
            Some("a"),
        ),
        (
            "leaving",
            vec![member("a", 200, 0), leaving(member("b", 600, 16))],
            Some("a"),
        ),
        (
            "leaving, but the only reachable member",
            vec![
                leaving(member("a", 200, 16)),
                unreachable(member("b", 600, 0)),
            ],
            Some("a"),
        ),
        (
            "no reachable member",
            vec![unreachable(member("a", 200, 0))],
            None,
        ),
    ];
    for (name, members, expected) in cases {
        let leader = leadership::choose_leader(&members).map(|leader| &**leader);
        assert_eq!(leader, expected, "{name}");
    }
}

#[test]
fn rendezvous_hashing_is_even_and_stable() {
    let members: Vec<Arc<str>> = ["a", "b", "c"].map(Arc::from).to_vec();
    let entitled = |server: &str, members: &[Arc<str>]| {
        leadership::rendezvous_member(server, members).cloned()
    };
    let servers: Vec<String> = (0..300).map(|number| format!("s{number}")).collect();
    for member in &members {
        let count = servers
            .iter()
            .filter(|server| entitled(server, &members).as_ref() == Some(member))
            .count();
        assert!((70..130).contains(&count), "{member}: {count}");
    }
    for server in &servers {
        let before = entitled(server, &members).expect("an entitled member");
        if before != members[2] {
            let after = entitled(server, &members[..2]).expect("an entitled member");
            assert_eq!(
                before, after,
                "only the servers of the removed member should move"
            );
        }
    }
}

#[test]
fn reclaim_is_respected_for_a_limited_time() {
    let name: Arc<str> = Arc::from("a");
    let mut reclaiming = leadership::ReclaimingMembers::default();
    assert!(!reclaiming.has_reclaimed("a", ms(0)));
    reclaiming.record_reclaim(&name, ms(0));
    assert!(reclaiming.has_reclaimed("a", ms(3_000)));
    assert!(!reclaiming.has_reclaimed("a", ms(10_000)));
    reclaiming.record_reclaim(&name, ms(0));
    reclaiming.remove("a");
    assert!(!reclaiming.has_reclaimed("a", ms(0)));
}

/// Callers that were refused together must not return together as the next burst.
#[test]
fn retry_times_of_refused_callers_are_spread() {
    for (wait, latest) in [(0, 1_000), (400, 1_400), (3_000, 6_000)] {
        let retry_times: Vec<time::Duration> = (0..500)
            .map(|number| retry_advice::jittered_retry_after(&format!("{number:016x}"), ms(wait)))
            .collect();
        assert!(
            retry_times
                .iter()
                .all(|at| (ms(wait)..=ms(latest)).contains(at))
        );
        let middle = ms(u64::midpoint(wait, latest));
        let early = retry_times.iter().filter(|at| **at < middle).count();
        assert!(
            (200..300).contains(&early),
            "wait {wait} ms: {early} of 500 times are in the first half, expected 200 to 299"
        );
    }
    let advice = retry_advice::jittered_retry_after("5c0e7a21d94b36f8", ms(400));
    assert_eq!(
        advice,
        retry_advice::jittered_retry_after("5c0e7a21d94b36f8", ms(400))
    );
}

#[test]
fn task_name_parses_its_text_form() {
    let name = job_model::TaskName {
        job: Arc::from("5c0e7a21d94b36f8"),
        occurrence: 0,
        step: 1,
        index: 17,
    };
    assert_eq!(name.to_string(), "5c0e7a21d94b36f8.0.1.17");
    let parsed = job_model::TaskName::parse("5c0e7a21d94b36f8.0.1.17").expect("a valid task name");
    assert_eq!(parsed, name);
    for text in ["", "a", "a.0.1", "a.0.1.x", "a.0.-1.1", "a.0.70000.1"] {
        assert!(job_model::TaskName::parse(text).is_err(), "{text}");
    }
}

/// Returns a process on a VM with the name `b`, in a domain that needs one leader.
fn local_process(
    failure_domain: &str,
    cpu_millis: u32,
    holds_servers: bool,
) -> link_plan::LocalProcess<'_> {
    link_plan::LocalProcess {
        name: "b",
        failure_domain,
        cpu_millis,
        holds_servers,
        required_leader_count: 1,
    }
}

/// Returns peers of `domain` in the order in which they would lead, with processor shares of 900,
/// 899, and so on. Each letter of `states` gives one peer: `F` failed, `C` connected, `P` pending,
/// `c` connected and holding servers.
fn peers_of(domain: &str, states: &str) -> Vec<link_plan::KnownPeer> {
    states
        .chars()
        .zip(0_u32..)
        .map(|(state, number)| link_plan::KnownPeer {
            name: Arc::from(format!("{domain}{number:02}")),
            failure_domain: Arc::from(domain),
            cpu_millis: 900 - number,
            link_state: match state {
                'F' => link_plan::LinkState::Failed,
                'P' => link_plan::LinkState::Pending,
                _ => link_plan::LinkState::Connected,
            },
            holds_servers: state == 'c',
        })
        .collect()
}

#[test]
fn links_go_to_leaders_and_to_the_next_candidates() {
    let cases = [
        ("no peers", "", "", false, ""),
        (
            "all pending",
            "PPPPPP",
            "PPP",
            false,
            "a00 a01 a02 a03 a04 a05",
        ),
        (
            "one candidate connected",
            "PPPCPP",
            "PPP",
            false,
            "a00 a01 a02",
        ),
        (
            "leader behind the candidates",
            "CCCPc",
            "",
            false,
            "a00 a01 a02 a04",
        ),
        ("remote leader", "cCC", "PcP", false, "a00 a01 a02 b01"),
        (
            "local process leads",
            "CCCC",
            "PPPP",
            true,
            "a00 a01 a02 a03 b00 b01",
        ),
        ("one failed", "FCCPPP", "", false, "a00 a01 a02 a03 a04"),
        (
            "three failed, so six instead of three are dialled",
            "FFFPPPPPPPC",
            "",
            false,
            "a00 a01 a02 a03 a04 a05 a06 a07 a08",
        ),
        (
            "enough connected after a failed one",
            "FCCCP",
            "",
            false,
            "a00 a01 a02 a03",
        ),
    ];
    for (name, local, remote, holds_servers, expected) in cases {
        let mut peers = peers_of("a", local);
        peers.extend(peers_of("b", remote));
        let wanted = link_plan::wanted_links(&local_process("a", 500, holds_servers), &peers);
        let wanted: Vec<&str> = wanted.iter().map(|name| &**name).collect();
        assert_eq!(wanted.join(" "), expected, "{name}");
    }
}

/// Dials to lost VMs take long to fail. If a process dialled only a fixed number of peers at once,
/// it would need many rounds to find the three reachable ones of 100.
#[test]
fn loss_of_most_of_a_domain_takes_few_rounds_of_dials() {
    let first_reachable = 97;
    let mut peers = peers_of("a", &"P".repeat(100));
    let mut rounds = 0;
    while !peers
        .iter()
        .any(|peer| peer.link_state == link_plan::LinkState::Connected)
    {
        rounds += 1;
        let wanted = link_plan::wanted_links(&local_process("a", 500, false), &peers);
        for (number, peer) in peers.iter_mut().enumerate() {
            peer.link_state = match (wanted.contains(&peer.name), number >= first_reachable) {
                (true, true) => link_plan::LinkState::Connected,
                (true, false) => link_plan::LinkState::Failed,
                (false, _) => peer.link_state,
            };
        }
    }
    assert_eq!(rounds, 3, "16, then 48, then all peers");
}

#[test]
fn registry_is_read_by_members_that_may_lead_soon() {
    // At an equal processor share, the local process `b` ranks behind the peers `a00`, `a01`, ...
    let cases = [
        ("no peers", "", 500, true),
        ("eighth member", "CCCCCCCCC", 894, true),
        ("ninth member", "CCCCCCCCC", 893, false),
        (
            "ninth member, with a failed one ahead",
            "CFCCCCCCCC",
            893,
            true,
        ),
        ("all peers pending", "PPPPPPPPPP", 800, false),
    ];
    for (name, peers, cpu_millis, expected) in cases {
        let peers = peers_of("a", peers);
        let reads = link_plan::should_read_registry(&local_process("a", cpu_millis, false), &peers);
        assert_eq!(reads, expected, "{name}");
        assert!(
            link_plan::should_read_registry(&local_process("elsewhere", cpu_millis, false), &peers),
            "{name}: peers of other domains don't count"
        );
    }
}

#[test]
fn required_leader_count_follows_the_domain_size_with_hysteresis() {
    let cases = [
        ("no servers", 0, 0, 1),
        ("small", 16, 0, 1),
        ("small, two leaders after a partition", 16, 2, 1),
        ("target for one leader", 150, 0, 1),
        ("above the target for one leader", 151, 0, 2),
        ("one acting leader within its maximum", 190, 1, 1),
        ("one acting leader above its maximum", 201, 1, 2),
        ("two acting leaders, one would have 140 servers", 140, 2, 2),
        ("two acting leaders, one would have 130 servers", 130, 2, 1),
        ("large", 1_000, 0, 7),
        ("large, with servers lost", 860, 7, 7),
        ("large, twelve leaders after a partition", 1_000, 12, 8),
        ("more leaders needed than shards", 9_000, 0, 16),
    ];
    for (name, servers, acting_leaders, expected) in cases {
        let count = leadership::required_leader_count(servers, acting_leaders);
        assert_eq!(count, expected, "{name}");
    }
}

/// Returns the shards that each of `members` leads if all of them have the same view.
fn assigned_shards(
    members: &[leadership::DomainMember],
    count: usize,
) -> Vec<(Arc<str>, leadership::ShardSet)> {
    members
        .iter()
        .map(|member| {
            let shards = leadership::shards_to_lead(members, count, &member.name);
            (Arc::clone(&member.name), shards)
        })
        .collect()
}

fn shard_leaders(assigned: &[(Arc<str>, leadership::ShardSet)]) -> Vec<&str> {
    (0..16)
        .map(|shard| {
            let leaders: Vec<&str> = assigned
                .iter()
                .filter(|(_, shards)| shards.contains(shard))
                .map(|(name, _)| &**name)
                .collect();
            assert_eq!(
                leaders.len(),
                1,
                "shard {shard} is led by {leaders:?}, expected one leader"
            );
            leaders[0]
        })
        .collect()
}

#[test]
fn single_leader_leads_all_shards() {
    let members = [
        member("a", 200, 0),
        member("b", 600, 0),
        member("c", 600, 0),
    ];
    assert_eq!(
        leadership::shards_to_lead(&members, 1, "b"),
        leadership::ShardSet::ALL
    );
    for name in ["a", "c", "unknown"] {
        assert!(leadership::shards_to_lead(&members, 1, name).is_empty());
    }
    assert!(leadership::shards_to_lead(&[], 1, "a").is_empty());
}

#[test]
fn loss_of_a_leader_moves_only_its_shards() {
    let mut members: Vec<_> = ["a", "b", "c", "d", "e"]
        .into_iter()
        .map(|name| member(name, 500, 0))
        .collect();
    let assigned = assigned_shards(&members, 3);
    let before: Vec<String> = shard_leaders(&assigned)
        .into_iter()
        .map(String::from)
        .collect();
    for name in ["a", "b", "c"] {
        let count = before.iter().filter(|leader| *leader == name).count();
        assert!(
            (5..=6).contains(&count),
            "{name} leads {count} of 16 shards, expected 5 or 6"
        );
    }
    for (member, (_, shards)) in members.iter_mut().zip(&assigned) {
        member.shards = *shards;
        member.held_servers = if shards.is_empty() { 0 } else { 100 };
    }
    // No shard moves while all leaders are reachable. After the loss of `b`, its shards move to
    // `d`, the first member by name that leads none, and no others move.
    assert_eq!(assigned_shards(&members, 3), assigned);
    members[1].reachable = false;
    members[1].shards = leadership::ShardSet::default();
    let assigned = assigned_shards(&members, 3);
    for (shard, (leader, previous)) in shard_leaders(&assigned)
        .into_iter()
        .zip(&before)
        .enumerate()
    {
        let expected = if previous == "b" { "d" } else { previous };
        assert_eq!(leader, expected, "shard {shard}");
    }
}

#[test]
fn leader_of_all_shards_hands_half_of_them_to_a_second_leader() {
    let mut members = vec![
        member("a", 500, 100),
        member("b", 500, 0),
        member("c", 500, 0),
    ];
    members[0].shards = leadership::ShardSet::ALL;
    let assigned = assigned_shards(&members, 2);
    let kept_count = shard_leaders(&assigned)
        .into_iter()
        .filter(|leader| *leader == "a")
        .count();
    assert_eq!(kept_count, 8);
}

#[test]
fn shard_leader_is_the_member_that_leads_the_shard() {
    let mut members = vec![member("a", 500, 90), member("b", 500, 80)];
    let shards_of_a = leadership::shards_to_lead(&members, 2, "a");
    members[0].shards = shards_of_a;
    members[1].shards = leadership::shards_to_lead(&members, 2, "b");
    for shard in 0..16 {
        let expected = if shards_of_a.contains(shard) {
            "a"
        } else {
            "b"
        };
        let leader = leadership::shard_leader(&members, shard).map(|leader| &**leader);
        assert_eq!(leader, Some(expected), "shard {shard}");
    }
    // No member leads this shard yet. Its jobs go to the first-ranked member, which admits them
    // if it leads any shard.
    members[1].shards = leadership::ShardSet::default();
    let unassigned = (0..16)
        .find(|shard| !shards_of_a.contains(*shard))
        .expect("a shard that `a` does not lead");
    let leader = leadership::shard_leader(&members, unassigned).map(|leader| &**leader);
    assert_eq!(leader, Some("a"));
}

#[test]
fn processes_spread_over_the_leaders_of_a_remote_domain() {
    let peers = peers_of("far", "ccccccCC");
    let mut linked = std::collections::BTreeMap::new();
    for number in 0..300 {
        let name = format!("n{number}");
        let local = link_plan::LocalProcess {
            name: &name,
            ..local_process("a", 500, false)
        };
        let wanted = link_plan::wanted_links(&local, &peers);
        assert_eq!(wanted.len(), 2, "{name}");
        assert_eq!(wanted, link_plan::wanted_links(&local, &peers), "{name}");
        for leader in wanted {
            *linked.entry(leader).or_insert(0) += 1;
        }
    }
    assert_eq!(
        linked.len(),
        6,
        "all leaders and no other member are linked to"
    );
    assert!(
        linked.values().all(|count| (60..=140).contains(count)),
        "{linked:?}"
    );
}

/// Guards against a number of runs that overflows: the slowdown of a kind of server then is no number, and no task can
/// be placed at its servers.
#[test]
fn slowdown_of_a_kind_stays_known_after_many_runs() {
    let mut kind = health::KindSlowdown::default();
    for _ in 0..100_000 {
        kind.record(ms(120), ms(100));
    }
    let factor = kind.slowdown_factor();
    assert!((factor - 1.2).abs() < 1e-6, "{factor}");
}
