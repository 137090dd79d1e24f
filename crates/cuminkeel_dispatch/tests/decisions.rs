//! Tables of single decisions.

use std::{sync::Arc, time};

use cuminkeel_dispatch::{
    admission, health, job_model, job_order, leadership, link_plan, overdue_run, retry_advice,
    run_time_model, task_placement,
};

fn ms(value: u64) -> time::Duration {
    time::Duration::from_millis(value)
}

#[test]
fn overdue_runs_are_moved_by_table() {
    use overdue_run::OverdueAction::{Reschedule, RescheduleAndEject, Wait};

    let cases = [
        ("it is nearly done", 400, 90, 250, 1_000, 0, Wait),
        ("it stands still", 400, 0, 250, 1_000, 0, RescheduleAndEject),
        (
            "it stands still a second time",
            400,
            1,
            250,
            1_000,
            1,
            RescheduleAndEject,
        ),
        (
            "it stands still wherever it goes",
            400,
            0,
            250,
            1_000,
            2,
            Wait,
        ),
        ("it is slow", 400, 15, 250, 1_000, 0, Reschedule),
        ("it was slow elsewhere, too", 400, 15, 250, 1_000, 1, Wait),
        ("a new start would be too late", 400, 0, 250, 200, 0, Wait),
    ];
    for (name, elapsed, percent, restart, time_left, moves, expected) in cases {
        let run = overdue_run::OverdueRun {
            elapsed: ms(elapsed),
            percent,
            restart_time: ms(restart),
            time_left: ms(time_left),
            reschedules: moves,
        };
        assert_eq!(run.action(), expected, "{name}");
    }
}

#[test]
fn waiting_for_a_faster_server_by_table() {
    let cases = [
        ("in time here", 900, 400, 1_000, false),
        ("in time on the fastest only", 1_500, 700, 1_000, true),
        ("late everywhere", 1_500, 1_200, 1_000, false),
    ];
    for (name, here, fastest, objective, expected) in cases {
        let choice = task_placement::WaitEstimate {
            end_here: ms(here),
            end_on_fastest: ms(fastest),
            objective_at: ms(objective),
        };
        assert_eq!(
            task_placement::should_wait_for_faster(&choice),
            expected,
            "{name}"
        );
    }
}

#[test]
fn placement_prefers_speed_and_then_little_waste() {
    let option = |free_cpu, pace| task_placement::PlacementOption {
        free_cpu_millis: free_cpu,
        slowdown_factor: pace,
        is_data_local: true,
    };
    let cost = |option| task_placement::placement_cost(&option, 7_000, 7_000);
    assert!(cost(option(16_000, 0.7)) < cost(option(16_000, 1.7)));
    assert!(cost(option(14_000, 0.7)) < cost(option(12_000, 0.7)));
    let far = task_placement::PlacementOption {
        is_data_local: false,
        ..option(16_000, 0.7)
    };
    assert!(cost(option(16_000, 0.7)) < cost(far));
}

#[test]
fn a_forecast_plans_work_on_the_earliest_room() {
    let mut forecast = admission::CapacityForecast::default();
    assert!(forecast.is_empty());
    forecast.add_task_slot(ms(0));
    forecast.add_task_slot(ms(100));
    let work = |tasks, run_time| admission::QueuedWork {
        tasks,
        run_time: ms(run_time),
    };
    assert_eq!(forecast.schedule(work(1, 150)), Some(ms(0)));
    assert_eq!(forecast.schedule(work(2, 50)), Some(ms(150)));
    assert_eq!(forecast.schedule(work(1, 50)), Some(ms(150)));
    let mut empty = admission::CapacityForecast::default();
    assert_eq!(empty.schedule(work(1, 50)), None);
}

#[test]
fn queue_positions_are_ordered_by_need() {
    let position = |late, latest_start, priority, arrival| job_order::QueuePosition {
        late,
        latest_start: ms(latest_start),
        priority,
        arrival,
        job: Arc::from("job"),
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
fn estimates_are_corrected_towards_what_runs_took() {
    let mut route = run_time_model::RunTimeModel::default();
    assert_eq!(
        route.expected_run_time(ms(80)),
        ms(80),
        "nothing is known yet"
    );
    for _ in 0..100 {
        route.record(ms(50), ms(200));
        route.record(ms(100), ms(200));
    }
    let expected = route.expected_run_time(ms(70));
    assert!(expected > ms(180) && expected < ms(220), "{expected:?}");
}

#[test]
fn exact_estimates_are_kept() {
    let mut route = run_time_model::RunTimeModel::default();
    for number in 1..200 {
        route.record(ms(number * 5), ms(number * 5));
    }
    let expected = route.expected_run_time(ms(300));
    assert!(expected > ms(290) && expected < ms(310), "{expected:?}");
}

#[test]
fn a_server_is_taken_out_for_failures_in_a_row_and_tried_again() {
    let mut server = health::ServerHealth::default();
    let kind = health::KindSlowdown::default();
    assert!(!server.record_failure(ms(0)));
    server.record_success(ms(10), ms(50), ms(50), &kind);
    assert!(!server.record_failure(ms(20)), "the row was broken");
    assert!(server.record_failure(ms(30)));
    assert!(!server.accepts_run(ms(40), 0));
    assert!(server.accepts_run(ms(2_000), 0));
    assert!(
        !server.accepts_run(ms(2_000), 1),
        "one run at a time on trial"
    );
    assert!(server.record_failure(ms(2_100)), "one failure ends a trial");
    assert!(!server.accepts_run(ms(3_500), 0), "the pause has doubled");
    server.record_success(ms(5_000), ms(50), ms(50), &kind);
    assert!(server.accepts_run(ms(5_000), 3));
}

#[test]
fn a_slow_server_shows_in_its_pace_and_is_forgiven() {
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
fn the_leader_is_chosen_by_table() {
    let lost = |member| leadership::DomainMember {
        reachable: false,
        ..member
    };
    let leaving = |member| leadership::DomainMember {
        leaving: true,
        ..member
    };
    let cases = [
        (
            "most processor",
            vec![member("a", 200, 0), member("b", 600, 0)],
            Some("b"),
        ),
        (
            "first name",
            vec![member("b", 200, 0), member("a", 200, 0)],
            Some("a"),
        ),
        (
            "in office",
            vec![member("a", 600, 0), member("b", 200, 16)],
            Some("b"),
        ),
        (
            "out of reach",
            vec![member("a", 200, 0), lost(member("b", 600, 16))],
            Some("a"),
        ),
        (
            "leaving",
            vec![member("a", 200, 0), leaving(member("b", 600, 16))],
            Some("a"),
        ),
        (
            "alone and leaving",
            vec![leaving(member("a", 200, 16)), lost(member("b", 600, 0))],
            Some("a"),
        ),
        ("nobody", vec![lost(member("a", 200, 0))], None),
    ];
    for (name, members, expected) in cases {
        let leader = leadership::choose_leader(&members).map(|leader| &**leader);
        assert_eq!(leader, expected, "{name}");
    }
}

#[test]
fn each_member_is_entitled_to_a_fair_share_that_stays() {
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
        let before = entitled(server, &members).expect("a member");
        if before != members[2] {
            let after = entitled(server, &members[..2]).expect("a member");
            assert_eq!(before, after, "only the lost member's servers move");
        }
    }
}

#[test]
fn shares_are_yielded_for_a_while() {
    let name: Arc<str> = Arc::from("a");
    let mut yields = leadership::ReclaimingMembers::default();
    assert!(!yields.has_reclaimed("a", ms(0)));
    yields.record_reclaim(&name, ms(0));
    assert!(yields.has_reclaimed("a", ms(3_000)));
    assert!(!yields.has_reclaimed("a", ms(10_000)));
    yields.record_reclaim(&name, ms(0));
    yields.remove("a");
    assert!(!yields.has_reclaimed("a", ms(0)));
}

#[test]
fn returns_of_refused_callers_are_spread() {
    for (wait, latest) in [(0, 1_000), (400, 1_400), (3_000, 6_000)] {
        let returns: Vec<time::Duration> = (0..500)
            .map(|number| retry_advice::jittered_retry_after(&format!("{number:016x}"), ms(wait)))
            .collect();
        assert!(
            returns
                .iter()
                .all(|at| (ms(wait)..=ms(latest)).contains(at))
        );
        let middle = ms(u64::midpoint(wait, latest));
        let early = returns.iter().filter(|at| **at < middle).count();
        assert!(
            (200..300).contains(&early),
            "{early} of 500 in the first half"
        );
    }
    let advice = retry_advice::jittered_retry_after("5c0e7a21d94b36f8", ms(400));
    assert_eq!(
        advice,
        retry_advice::jittered_retry_after("5c0e7a21d94b36f8", ms(400))
    );
}

#[test]
fn task_names_are_read_back() {
    let name = job_model::TaskName {
        job: Arc::from("5c0e7a21d94b36f8"),
        occurrence: 0,
        step: 1,
        index: 17,
    };
    assert_eq!(name.to_string(), "5c0e7a21d94b36f8.0.1.17");
    let read = job_model::TaskName::parse("5c0e7a21d94b36f8.0.1.17").expect("a name");
    assert_eq!(read, name);
    for text in ["", "a", "a.0.1", "a.0.1.x", "a.0.-1.1", "a.0.70000.1"] {
        assert!(job_model::TaskName::parse(text).is_err(), "{text}");
    }
}

/// The process on VM `b`, in a domain with one leader.
fn own_place(failure_domain: &str, cpu_millis: u32, leads: bool) -> link_plan::LocalProcess<'_> {
    link_plan::LocalProcess {
        name: "b",
        failure_domain,
        cpu_millis,
        is_leader: leads,
        required_leader_count: 1,
    }
}

/// Peers of `domain` in the order in which they would lead; `F` for failed, `L` for linked,
/// `U` for untried, `l` for linked and leading.
fn peer_places(domain: &str, states: &str) -> Vec<link_plan::LinkCandidate> {
    states
        .chars()
        .zip(0_u32..)
        .map(|(state, number)| link_plan::LinkCandidate {
            name: Arc::from(format!("{domain}{number:02}")),
            failure_domain: Arc::from(domain),
            cpu_millis: 900 - number,
            link_state: match state {
                'F' => link_plan::LinkState::Failed,
                'U' => link_plan::LinkState::Untried,
                _ => link_plan::LinkState::Linked,
            },
            is_leader: state == 'l',
        })
        .collect()
}

#[test]
fn links_lead_to_leaders_and_to_those_who_would_follow_them() {
    let cases = [
        ("nobody is known", "", "", false, ""),
        (
            "all at first",
            "UUUUUU",
            "UUU",
            false,
            "a00 a01 a02 a03 a04 a05",
        ),
        ("candidates", "UUULUU", "UUU", false, "a00 a01 a02"),
        ("a late leader", "LLLUl", "", false, "a00 a01 a02 a04"),
        ("leaders elsewhere", "lLL", "UlU", false, "a00 a01 a02 b01"),
        ("a leader", "LLLL", "UUUU", true, "a00 a01 a02 a03 b00 b01"),
        ("one failed", "FLLUUU", "", false, "a00 a01 a02 a03 a04"),
        (
            "three failed: twice as many are tried",
            "FFFUUUUUUUL",
            "",
            false,
            "a00 a01 a02 a03 a04 a05 a06 a07 a08",
        ),
        (
            "enough behind the failed",
            "FLLLU",
            "",
            false,
            "a00 a01 a02 a03",
        ),
    ];
    for (name, near, far, leads, expected) in cases {
        let mut peers = peer_places("a", near);
        peers.extend(peer_places("b", far));
        let wanted = link_plan::wanted_links(&own_place("a", 500, leads), &peers);
        let wanted: Vec<&str> = wanted.iter().map(|name| &**name).collect();
        assert_eq!(wanted.join(" "), expected, "{name}");
    }
}

#[test]
fn the_loss_of_most_of_a_domain_takes_few_rounds_of_dials() {
    let alive = 97;
    let mut peers = peer_places("a", &"U".repeat(100));
    let mut rounds = 0;
    while !peers
        .iter()
        .any(|peer| peer.link_state == link_plan::LinkState::Linked)
    {
        rounds += 1;
        let wanted = link_plan::wanted_links(&own_place("a", 500, false), &peers);
        for (number, peer) in peers.iter_mut().enumerate() {
            peer.link_state = match (wanted.contains(&peer.name), number >= alive) {
                (true, true) => link_plan::LinkState::Linked,
                (true, false) => link_plan::LinkState::Failed,
                (false, _) => peer.link_state,
            };
        }
    }
    assert_eq!(rounds, 3, "16, 48 and all");
}

#[test]
fn the_registry_is_read_by_those_who_may_soon_lead() {
    let cases = [
        ("alone", "", 500, true),
        ("the eighth", "LLLLLLLLL", 894, true),
        ("the ninth", "LLLLLLLLL", 893, false),
        (
            "the ninth, with one lost before it",
            "LFLLLLLLLL",
            893,
            true,
        ),
        ("nobody was tried yet", "UUUUUUUUUU", 800, false),
    ];
    for (name, peers, cpu_millis, expected) in cases {
        let peers = peer_places("a", peers);
        let reads = link_plan::should_read_registry(&own_place("a", cpu_millis, false), &peers);
        assert_eq!(reads, expected, "{name}");
        assert!(
            link_plan::should_read_registry(&own_place("elsewhere", cpu_millis, false), &peers),
            "{name}: other domains don't count"
        );
    }
}

#[test]
fn large_domains_have_more_leaders() {
    let cases = [
        ("empty", 0, 0, 1),
        ("small", 16, 0, 1),
        ("small, cut in two before", 16, 2, 1),
        ("as large as one leader serves", 150, 0, 1),
        ("larger", 151, 0, 2),
        ("grown under one leader", 190, 1, 1),
        ("too large for it", 201, 1, 2),
        ("shrunk under two", 140, 2, 2),
        ("too small for two", 130, 2, 1),
        ("large", 1_000, 0, 7),
        ("large, with servers lost", 860, 7, 7),
        ("large, cut in pieces before", 1_000, 12, 8),
        ("huge", 9_000, 0, 16),
    ];
    for (name, servers, in_office, expected) in cases {
        let count = leadership::required_leader_count(servers, in_office);
        assert_eq!(count, expected, "{name}");
    }
}

/// Shards that each of `members` leads by its own view, which is the same for all.
fn led_shards(
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

fn shard_owners(led: &[(Arc<str>, leadership::ShardSet)]) -> Vec<&str> {
    (0..16)
        .map(|shard| {
            let owners: Vec<&str> = led
                .iter()
                .filter(|(_, shards)| shards.contains(shard))
                .map(|(name, _)| &**name)
                .collect();
            assert_eq!(owners.len(), 1, "shard {shard} has {owners:?}");
            owners[0]
        })
        .collect()
}

#[test]
fn one_leader_has_all_shards() {
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
fn several_leaders_divide_the_shards_and_a_loss_moves_no_others() {
    let mut members: Vec<_> = ["a", "b", "c", "d", "e"]
        .into_iter()
        .map(|name| member(name, 500, 0))
        .collect();
    let led = led_shards(&members, 3);
    let before: Vec<String> = shard_owners(&led).into_iter().map(String::from).collect();
    for name in ["a", "b", "c"] {
        let count = before.iter().filter(|owner| *owner == name).count();
        assert!((5..=6).contains(&count), "{name} has {count}");
    }
    for (member, (_, shards)) in members.iter_mut().zip(&led) {
        member.shards = *shards;
        member.held_servers = if shards.is_empty() { 0 } else { 100 };
    }
    // Nothing moves while all live, and only the shards of the lost one afterwards.
    assert_eq!(led_shards(&members, 3), led);
    members[1].reachable = false;
    members[1].shards = leadership::ShardSet::default();
    let led = led_shards(&members, 3);
    for (shard, (owner, former)) in shard_owners(&led).into_iter().zip(&before).enumerate() {
        let expected = if former == "b" { "d" } else { former };
        assert_eq!(owner, expected, "shard {shard}");
    }
}

#[test]
fn a_leader_gives_shards_away_when_its_domain_grows() {
    let mut members = vec![
        member("a", 500, 100),
        member("b", 500, 0),
        member("c", 500, 0),
    ];
    members[0].shards = leadership::ShardSet::ALL;
    let led = led_shards(&members, 2);
    let kept = shard_owners(&led)
        .into_iter()
        .filter(|owner| *owner == "a")
        .count();
    assert_eq!(kept, 8);
}

#[test]
fn jobs_go_to_the_leader_of_their_shard() {
    let mut members = vec![member("a", 500, 90), member("b", 500, 80)];
    let all = leadership::shards_to_lead(&members, 2, "a");
    members[0].shards = all;
    members[1].shards = leadership::shards_to_lead(&members, 2, "b");
    for shard in 0..16 {
        let expected = if all.contains(shard) { "a" } else { "b" };
        let leader = leadership::shard_leader(&members, shard).map(|leader| &**leader);
        assert_eq!(leader, Some(expected), "shard {shard}");
    }
    // A shard that nobody has yet: the next leader will say so, or take the job.
    members[1].shards = leadership::ShardSet::default();
    let vacant = (0..16).find(|shard| !all.contains(*shard)).expect("one");
    let leader = leadership::shard_leader(&members, vacant).map(|leader| &**leader);
    assert_eq!(leader, Some("a"));
}

#[test]
fn processes_share_the_leaders_of_another_domain() {
    let peers = peer_places("far", "llllllLL");
    let mut linked = std::collections::BTreeMap::new();
    for number in 0..300 {
        let name = format!("n{number}");
        let own = link_plan::LocalProcess {
            name: &name,
            ..own_place("a", 500, false)
        };
        let wanted = link_plan::wanted_links(&own, &peers);
        assert_eq!(wanted.len(), 2, "{name}");
        assert_eq!(wanted, link_plan::wanted_links(&own, &peers), "{name}");
        for leader in wanted {
            *linked.entry(leader).or_insert(0) += 1;
        }
    }
    assert_eq!(linked.len(), 6, "the leaders and nobody else");
    assert!(
        linked.values().all(|count| (60..=140).contains(count)),
        "{linked:?}"
    );
}
