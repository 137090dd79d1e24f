//! Tests of the log records from which the cause of overlapping runs of a task is told.

use std::{collections::BTreeSet, sync::Arc, time};

use cuminkeel_dispatch::{job_model, leadership, pool, pool_action, server_model, settings};
use pool_action::DecisionKind;
use smallvec::SmallVec;

const TICK_INTERVAL: time::Duration = time::Duration::from_millis(50);

fn ms(value: u64) -> time::Duration {
    time::Duration::from_millis(value)
}

/// Pool with its servers, which answer only when a test says so.
struct TestPool {
    pool: pool::ServerPool,
    now: time::Duration,
    holds: Vec<server_model::HoldOrder>,
    stops: Vec<server_model::StopOrder>,
    records: Vec<pool_action::DecisionRecord>,
}

impl TestPool {
    /// Creates a pool that has begun to claim `servers`.
    fn claiming(servers: &[&str]) -> Self {
        let pool_settings = settings::PoolSettings::new(ms(1_000), ms(50), ms(1_300));
        let mut pool = pool::ServerPool::new(pool_settings, 1);
        for server in servers {
            pool.apply_registry_entry(entry(server), ms(1));
        }
        let wanted: BTreeSet<Arc<str>> = servers.iter().map(|server| Arc::from(*server)).collect();
        pool.reconcile_claims(&wanted, leadership::ShardSet::ALL, ms(1));
        let mut test = Self {
            pool,
            now: ms(1),
            holds: Vec::new(),
            stops: Vec::new(),
            records: Vec::new(),
        };
        test.collect();
        test
    }

    fn collect(&mut self) {
        for action in self.pool.take_actions(self.now) {
            match action {
                pool_action::PoolAction::Hold(order) => self.holds.push(order),
                pool_action::PoolAction::Stop(order) => self.stops.push(order),
                pool_action::PoolAction::LogDecision(record) => self.records.push(record),
                _ => {}
            }
        }
    }

    fn read_registry(&mut self) {
        self.pool.record_registry_read(self.now);
    }

    /// Lets `server` answer its latest hold with the tasks of `running`, and renews the answer at each tick until
    /// `until`.
    fn report_until(&mut self, server: &str, running: &[&str], until: time::Duration) {
        self.report(server, running);
        while self.now < until {
            self.now += TICK_INTERVAL;
            self.pool.tick(self.now);
            self.collect();
            self.report(server, running);
        }
    }

    fn report(&mut self, server: &str, running: &[&str]) {
        let latest = self.holds.iter().rfind(|order| *order.server == *server);
        let order = latest.expect("the server should have a hold").clone();
        self.holds.retain(|order| *order.server != *server);
        let running = running.iter().map(|job| server_model::ReportedRun {
            task: task(job),
            run_id: 1,
            percent: 10,
        });
        let report = server_model::HoldReport {
            clock_ms: 1_000 + u64::try_from(self.now.as_millis()).expect("a short test"),
            incarnation: Some(1),
            running: running.collect(),
            finished: Vec::new(),
            unreadable_count: 0,
        };
        let outcome = server_model::HoldOutcome::Reported(report);
        self.pool.apply_hold_outcome(&order, outcome, self.now);
        self.collect();
    }

    fn submit(&mut self, job: &str) {
        let waiter = pool_action::WaiterId(1);
        self.pool.submit(&offer(job, self.now), waiter, self.now);
        self.collect();
    }

    fn withdraw(&mut self, job: &str) {
        let waiter = pool_action::WaiterId(1);
        self.pool.withdraw(&Arc::from(job), waiter, self.now);
        self.collect();
    }

    fn found(&self, kind: DecisionKind) -> Vec<&pool_action::DecisionRecord> {
        let records = self.records.iter();
        records.filter(|record| record.kind == kind).collect()
    }

    /// Returns the only record of `kind`.
    fn only(&self, kind: DecisionKind) -> &pool_action::DecisionRecord {
        let found = self.found(kind);
        assert_eq!(found.len(), 1, "{kind}: {found:?}");
        found[0]
    }
}

fn entry(server: &str) -> server_model::ServerEntry {
    server_model::ServerEntry {
        id: Arc::from(server),
        service: Arc::from("desk"),
        address: Arc::from(format!("{server}:1")),
        failure_domain: Arc::from("here"),
        draining: false,
        cpu_millis: 8_000,
        memory_mb: 1_024,
        gpus: 0,
        labels: SmallVec::new(),
        incarnation: 1,
        sequence: 1,
        cold_remaining: time::Duration::ZERO,
    }
}

fn task(job: &str) -> job_model::TaskName {
    job_model::TaskName {
        job: Arc::from(job),
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

fn offer(job: &str, now: time::Duration) -> job_model::JobOffer {
    let step = job_model::StepSpec {
        task_count: 1,
        cpu_millis: 1_000,
        memory_mb: 64,
        gpus: 0,
        estimate_ms: 4_000,
        depends_on: SmallVec::new(),
        required_label: None,
        data_rack: None,
        max_per_server: None,
    };
    job_model::JobOffer {
        spec: Arc::new(job_model::JobSpec {
            id: Arc::from(job),
            route: Arc::from("route"),
            service: Arc::from("desk"),
            payload: Arc::from(""),
            steps: vec![step],
            priority: 0,
            max_attempts: 2,
            stretch_factor: 1.6,
            target_latency_ms: 5_000,
        }),
        age: time::Duration::ZERO,
        time_to_deadline: ms(9_000),
        may_have_started: false,
        terms: job_model::OfferTerms::Useful,
        sent_at: now,
        source: Arc::from("vm"),
        session: job_model::OfferSession::default(),
        is_resumed: false,
    }
}

fn input(record: &pool_action::DecisionRecord, name: &str) -> i64 {
    let found = record.inputs.iter().find(|(known, _)| *known == name);
    found
        .unwrap_or_else(|| panic!("no input {name}: {record:?}"))
        .1
}

/// A start that rests on reports, one that rests on expired leases, and one by a pool that may not know all servers
/// must not look alike.
#[test]
fn record_of_a_start_says_what_allowed_it() {
    let cases = [
        ("all reported", true, &["s1"][..], "servers_reported", 0),
        ("one silent", true, &["s1", "s2"][..], "leases_expired", 1),
        (
            "registry not read",
            false,
            &["s1"][..],
            "registry_incomplete",
            0,
        ),
    ];
    for (name, is_registry_read, servers, expected, unreported) in cases {
        let mut test = TestPool::claiming(servers);
        if is_registry_read {
            test.read_registry();
        }
        test.report("s1", &[]);
        test.submit("job");
        test.report_until("s1", &[], ms(1_500));
        let placed = test.found(DecisionKind::Placed)[0];
        assert_eq!(placed.outcome, expected, "{name}");
        assert_eq!(input(placed, "unreported"), unreported, "{name}");
        let waits = expected != "servers_reported";
        assert_eq!(
            input(placed, "led_ms") >= 1_400,
            waits,
            "{name}: {placed:?}"
        );
    }
}

/// A server that registers after the takeover has no unknown runs, although it has not reported yet.
#[test]
fn record_of_a_start_tells_added_servers_from_silent_ones() {
    let mut test = TestPool::claiming(&["s1"]);
    test.read_registry();
    test.report("s1", &[]);
    test.pool.apply_registry_entry(entry("s2"), test.now);
    test.submit("job");
    let placed = test.only(DecisionKind::Placed);
    assert_eq!(placed.outcome, "servers_added");
    assert_eq!(input(placed, "unreported"), 1);
}

/// Review, case 1: a stop stays unanswered, and holds go on renewing the lease of the run with those of others.
#[test]
fn records_of_an_unanswered_stop_name_the_run_that_is_kept() {
    let mut test = TestPool::claiming(&["s1"]);
    test.read_registry();
    test.report("s1", &[]);
    test.submit("kept");
    test.submit("stopped");
    test.report("s1", &["kept", "stopped"]);
    test.withdraw("stopped");
    let stopping = test.only(DecisionKind::Stopping);
    assert_eq!(input(stopping, "run"), 1);
    let order = test.stops.pop().expect("the run should be stopped");
    test.now += ms(200);
    let unconfirmed = server_model::StopOutcome::Unconfirmed;
    test.pool.apply_stop_outcome(&order, unconfirmed, test.now);
    test.collect();
    test.report_until("s1", &["kept", "stopped"], ms(2_000));
    let found = test.found(DecisionKind::StopUnconfirmed);
    let lines: Vec<(&str, Option<&str>)> = found
        .iter()
        .map(|record| (record.outcome, record.request.as_deref()))
        .collect();
    let run = Some("stopped.0.0.0");
    let still_running = ("still_running", run);
    assert_eq!(lines, [("unanswered", run), still_running, still_running]);
    assert_eq!(input(found[0], "since_stop_ms"), 200);
    // At most one line a second.
    assert!(input(found[2], "since_stop_ms") >= input(found[1], "since_stop_ms") + 1_000);
    let extended = test.only(DecisionKind::LeaseExtended);
    assert_eq!(extended.outcome, "stopping");
    assert_eq!(extended.request.as_deref(), run);
    assert_eq!(input(extended, "used_runs"), 1);
}

/// A run that ends within its stop time must not look like one that goes on after its stop.
#[test]
fn confirmed_stop_leaves_no_record_of_a_run_that_goes_on() {
    let mut test = TestPool::claiming(&["s1"]);
    test.read_registry();
    test.report("s1", &[]);
    test.submit("stopped");
    test.report("s1", &["stopped"]);
    test.withdraw("stopped");
    let order = test.stops.pop().expect("the run should be stopped");
    let accepted = server_model::StopOutcome::Accepted;
    test.pool.apply_stop_outcome(&order, accepted, test.now);
    test.now += ms(40);
    test.report("s1", &["stopped"]);
    test.now += ms(40);
    test.report_until("s1", &[], ms(1_000));
    assert_eq!(test.found(DecisionKind::StopUnconfirmed), [] as [&_; 0]);
    assert_eq!(test.found(DecisionKind::LeaseExtended), [] as [&_; 0]);
}

/// A run of a lost leader that nobody adopts is not kept by the leases of an adopted one beside it.
#[test]
fn record_of_a_withheld_lease_names_the_inherited_run_that_has_to_end() {
    let mut test = TestPool::claiming(&["s1"]);
    test.read_registry();
    test.report("s1", &["adopted", "unadopted"]);
    assert_eq!(test.found(DecisionKind::LeaseExtended), [] as [&_; 0]);
    test.submit("adopted");
    test.report_until("s1", &["adopted", "unadopted"], ms(300));
    assert_eq!(test.found(DecisionKind::LeaseExtended), [] as [&_; 0]);
    let withheld = test.only(DecisionKind::LeaseWithheld);
    assert_eq!(withheld.outcome, "run_without_job");
    assert_eq!(withheld.request.as_deref(), Some("unadopted.0.0.0"));
    assert_eq!(withheld.server.as_deref(), Some("s1"));
    assert_eq!(input(withheld, "left_ms"), 0);
}

/// Review, case 2: a server loses its entry while its runs go on, and a later takeover doesn't know it.
#[test]
fn records_show_runs_on_servers_without_an_entry_and_recent_removals_at_a_takeover() {
    let mut test = TestPool::claiming(&["s1", "s2"]);
    test.read_registry();
    test.report("s1", &[]);
    test.report("s2", &[]);
    test.submit("job");
    let placed = test.only(DecisionKind::Placed).server.clone();
    let server = placed.expect("a server should have the run");
    test.pool.remove_registry_entry(&server);
    test.collect();
    let unlisted = test.only(DecisionKind::RunUnlisted);
    assert_eq!(unlisted.request.as_deref(), Some("job.0.0.0"));
    assert_eq!(unlisted.server.as_ref(), Some(&server));
    assert_eq!(input(unlisted, "has_job"), 1);
    test.pool.step_down(test.now, "not_leader");
    let wanted = BTreeSet::from([Arc::from("s1"), Arc::from("s2")]);
    test.pool
        .reconcile_claims(&wanted, leadership::ShardSet::ALL, test.now);
    test.collect();
    let takeovers = test.found(DecisionKind::Takeover);
    let counts = |name| -> Vec<i64> {
        let records = takeovers.iter();
        records.map(|record| input(record, name)).collect()
    };
    assert_eq!(counts("recent_removals"), [0, 1]);
    assert_eq!(counts("servers"), [2, 1]);
    assert_eq!(counts("unlisted"), [0, 1]);
}
