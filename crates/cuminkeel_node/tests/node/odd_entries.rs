//! Tests of odd records of other writers among those of the servers and of the processes: no process
//! ends, all go on following the lists, and calls are served as without them.

use std::time;

use platform_emulator::emulated_server;

use crate::test_platform;

/// Start of a server that is later than those of the emulated ones, in Unix ms.
const BORN: &str = "1700000000000";

/// Returns the JSON text of a registry entry in failure domain `north` with `fields` in place of the good
/// ones.
fn entry_text(address: &str, fields: &[(&str, &str)]) -> String {
    let address = format!("\"{address}\"");
    let mut entry = std::collections::BTreeMap::from([
        ("service", "\"order-desk\""),
        ("address", &*address),
        ("zone", "\"north\""),
        ("version", "\"v1\""),
        ("slots", "8"),
        ("state", "\"ready\""),
        ("seq_no", "1"),
        ("born", BORN),
        ("capacity", r#"{"cpu":16000,"mem_mb":32768,"gpu":0}"#),
        ("labels", r#"["a"]"#),
        ("cold_remaining_ms", "0"),
    ]);
    entry.extend(fields.iter().copied());
    let fields: Vec<String> = entry
        .iter()
        .filter(|(_, value)| !value.is_empty())
        .map(|(name, value)| format!("\"{name}\":{value}"))
        .collect();
    format!("{{{}}}", fields.join(","))
}

/// Returns odd entries of the registry, each with its kind. Nothing listens at `closed_address`.
fn odd_entries(closed_address: &str) -> Vec<(&'static str, Vec<u8>)> {
    let deep_value = format!("{}{}", "[".repeat(60_000), "]".repeat(60_000));
    let long_label = format!("[\"{}\"]", "x".repeat(100_000));
    let fields: [(&str, &[(&str, &str)]); 27] = [
        ("deeply nested field", &[("news", &deep_value)]),
        ("deeply nested capacity", &[("capacity", &deep_value)]),
        (
            "deeply nested cold time",
            &[("cold_remaining_ms", &deep_value)],
        ),
        ("no service", &[("service", "")]),
        ("service of another type", &[("service", "[7]")]),
        ("unknown service", &[("service", "\"elsewhere\"")]),
        ("no address", &[("address", "")]),
        ("port out of range", &[("address", "\"127.0.0.1:70000\"")]),
        ("negative port", &[("address", "\"127.0.0.1:-1\"")]),
        ("port 0", &[("address", "\"127.0.0.1:0\"")]),
        (
            "address without sense",
            &[("address", "\"http://[::\\u0000/ \\r\\n\"")],
        ),
        ("empty address", &[("address", "\"\"")]),
        ("unknown state", &[("state", "\"asleep\"")]),
        ("negative sequence", &[("seq_no", "-1")]),
        ("sequence too large", &[("seq_no", "1e40")]),
        ("born too large", &[("born", "18446744073709551615")]),
        ("born negative", &[("born", "-5")]),
        ("negative capacity", &[("capacity", r#"{"cpu":-16000}"#)]),
        ("capacity too large", &[("capacity", r#"{"cpu":1e300}"#)]),
        ("capacity not a number", &[("capacity", r#"{"cpu":NaN}"#)]),
        (
            "extreme capacity",
            &[(
                "capacity",
                r#"{"cpu":4294967295,"mem_mb":4294967295,"gpu":4294967295}"#,
            )],
        ),
        ("no capacity", &[("capacity", "")]),
        ("no version", &[("version", "")]),
        ("slots of another type", &[("slots", "\"8\"")]),
        ("no cold time", &[("cold_remaining_ms", "")]),
        ("long label", &[("labels", &long_label)]),
        ("cold for ever", &[("cold_remaining_ms", "1e308")]),
    ];
    let mut entries: Vec<(&str, Vec<u8>)> = fields
        .iter()
        .map(|(kind, fields)| (*kind, entry_text(closed_address, fields).into_bytes()))
        .collect();
    entries.push(("bytes that are no text", vec![0xff, 0xfe, 0x00, 0x80]));
    entries.push(("JSON array", b"[]".to_vec()));
    entries.push(("nested array", deep_value.into_bytes()));
    entries.push((
        "half an entry",
        entry_text(closed_address, &[]).into_bytes()[..40].to_vec(),
    ));
    entries
}

/// Returns the sum of the tasks that `servers` have started.
fn started_count(servers: &[&emulated_server::EmulatedServer]) -> usize {
    servers
        .iter()
        .map(|server| server.started_runs().len())
        .sum()
}

/// Guards against callers that are refused as `queue_too_long` while servers idle, because the sum of the
/// capacities of all servers overflows.
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_not_refused_beside_a_server_of_extreme_capacity() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let node = platform.start_ready_node("n1", "north").await;
    let mut huge_servers = Vec::new();
    // The first and the last in the order of the ids.
    for name in ["a-huge", "z-huge"] {
        let server = emulated_server::EmulatedServer::start(name, "north", u32::MAX)
            .await
            .expect("server should start");
        server.register(&platform.store);
        huge_servers.push(server);
    }
    test_platform::wait_until("servers of extreme capacity to be held", async || {
        node.gauge_value("held_servers").await == Some(4)
    })
    .await;
    let ids: Vec<String> = (0..60).map(|number| format!("{number:016x}")).collect();
    let statuses = test_platform::submit_concurrently(&node, &ids, "300", 1).await;
    assert_eq!(statuses, [200; 60]);
}

/// Guards against a server that gets the work of all others, as it declares more than any machine has.
#[tokio::test(flavor = "multi_thread")]
async fn server_of_extreme_capacity_gets_a_bounded_share() {
    const TASK_COUNT: usize = 40;
    // A multiple of the tasks' processor: no share of it seems wasted.
    const CPU_MILLIS: u32 = 4_294_967_000;
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let huge = emulated_server::EmulatedServer::start("a-huge", "north", CPU_MILLIS)
        .await
        .expect("server should start");
    huge.register(&platform.store);
    let node = platform.start_ready_node("n1", "north").await;
    test_platform::wait_until("all servers to be held", async || {
        node.gauge_value("held_servers").await == Some(3)
    })
    .await;
    let ids: Vec<String> = (0..TASK_COUNT)
        .map(|number| format!("{number:016x}"))
        .collect();
    let statuses = test_platform::submit_concurrently(&node, &ids, "300", 1).await;
    assert_eq!(statuses, [200; TASK_COUNT]);
    let (_, peak_cpu_millis) = huge.runs_and_peak_cpu();
    assert!(peak_cpu_millis <= 16_000, "{peak_cpu_millis}");
    assert_eq!(node.gauge_value("implausible_servers").await, Some(1));
    huge.register(&platform.store);
    platform.store.put("keyed.servers", "a-huge", "");
    test_platform::wait_until("server to leave the list", async || {
        node.gauge_value("implausible_servers").await == Some(0)
    })
    .await;
    let log = String::from_utf8(node.take_log()).expect("log should be UTF-8");
    let lines: Vec<&str> = log
        .lines()
        .filter(|line| line.contains("server_figures_implausible"))
        .collect();
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].contains("4294967000"), "{lines:?}");
}

/// Guards against processes that end, or stop following the registry, because of one odd entry among
/// those of the servers.
#[tokio::test(flavor = "multi_thread")]
async fn registry_is_followed_past_each_odd_entry() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let node = platform.start_ready_node("n1", "north").await;
    let closed_address = platform_emulator::loopback::unique_ip().to_string() + ":9";
    let mut held_servers = 2;
    let mut later_servers = Vec::new();
    for (number, (kind, value)) in odd_entries(&closed_address).into_iter().enumerate() {
        platform
            .store
            .put("keyed.servers", &format!("odd-{number}"), value);
        if number % 7 != 0 {
            continue;
        }
        let id = format!("{number:016x}");
        assert_eq!(
            node.submit(&id, "20", 2).await.0,
            200,
            "after an entry: {kind}"
        );
        let server =
            emulated_server::EmulatedServer::start(&format!("later-{number}"), "north", 16_000)
                .await
                .expect("server should start");
        server.register(&platform.store);
        later_servers.push(server);
        held_servers += 1;
        test_platform::wait_until(kind, async || {
            node.gauge_value("held_servers").await == Some(held_servers)
        })
        .await;
    }
    let [left, rest @ ..] = &later_servers[..] else {
        panic!("servers should have registered");
    };
    left.drain(&platform.store);
    platform.store.put("keyed.servers", "later-0", "");
    test_platform::wait_until("server that left to be released", async || {
        node.gauge_value("held_servers").await == Some(held_servers - 1)
    })
    .await;
    let before = left.started_runs().len();
    let ids: Vec<String> = (100..140).map(|number| format!("{number:016x}")).collect();
    let statuses = test_platform::submit_concurrently(&node, &ids, "300", 2).await;
    assert_eq!(statuses, [200; 40]);
    assert_eq!(left.started_runs().len(), before);
    assert!(started_count(&rest.iter().collect::<Vec<_>>()) > 0);
    // A process that starts now reads all of these entries at once.
    let second = platform.start_ready_node("n2", "north").await;
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    assert_eq!(second.submit("00000000000000ff", "20", 2).await.0, 200);
}

/// Returns odd records of the peer list, each with its key. Nothing listens at `closed_address`.
fn odd_peer_records(closed_address: &str) -> Vec<(String, Vec<u8>)> {
    let deep_value = format!("{}{}", "[".repeat(60_000), "]".repeat(60_000));
    let record = |name: &str, address: &str, cpu_millis: &str, boot: &str| {
        format!(
            r#"{{"name":"{name}","failure_domain":"north","link_address":"{address}","cpu_millis":{cpu_millis},"boot":{boot}}}"#
        )
    };
    let mut records: Vec<(String, Vec<u8>)> = [
        record("odd-0", "127.0.0.1:70000", "250", "1"),
        record("odd-1", "127.0.0.1:-1", "250", "1"),
        record("odd-2", "", "250", "1"),
        record("odd-3", "http://[::/", "4294967295", "18446744073709551615"),
        record("odd-4", closed_address, "4294967295", "0"),
        record("odd-5", closed_address, "4294967296", "1"),
        record("odd-6", closed_address, "-1", "1"),
        record("odd-7", closed_address, "NaN", "1e300"),
        record("odd-8", closed_address, &deep_value, "1"),
        record(&"x".repeat(60_000), closed_address, "250", "1"),
        record("", closed_address, "250", "1"),
        // In the place of other processes.
        record("n1", closed_address, "250", "7"),
        record("n2", closed_address, "250", "7"),
        deep_value,
        String::from("[]"),
        String::from("{}"),
    ]
    .into_iter()
    .enumerate()
    .map(|(number, value)| (format!("odd-{number}"), value.into_bytes()))
    .collect();
    records.push((String::from("odd-raw"), vec![0xff, 0xfe, 0x00]));
    records
}

/// Guards against processes that end, stop following the peer list, or lose each other, because of odd records in it:
/// a process that does not find the leader takes its servers, and calls fail.
#[tokio::test(flavor = "multi_thread")]
async fn peer_list_is_followed_past_odd_records() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let closed_address = platform_emulator::loopback::unique_ip().to_string() + ":9";
    let put_odd_records = || {
        for (key, value) in odd_peer_records(&closed_address) {
            platform.store.put("keyed.peers", &key, value);
        }
    };
    let first = platform.start_ready_node("n1", "north").await;
    put_odd_records();
    let second = platform.start_ready_node("n2", "north").await;
    for number in 0..10 {
        let node = [&first, &second][number % 2];
        let id = format!("{number:016x}");
        assert_eq!(node.submit(&id, "100", 2).await.0, 200);
        assert_eq!(first.gauge_value("held_servers").await, Some(2));
        assert_eq!(second.gauge_value("held_servers").await, Some(0));
    }
    put_odd_records();
    let third = platform.start_ready_node("n3", "north").await;
    assert_eq!(third.submit("00000000000000ff", "20", 2).await.0, 200);
    assert_eq!(first.gauge_value("held_servers").await, Some(2));
}

/// Returns the body of a job of one step with these fields.
fn step_body(fields: &str) -> String {
    format!(r#"{{"spec":"20","best_effort":true,"job_steps":[{{{fields}}}]}}"#)
}

/// Guards against callers without an answer, and against others that are refused, because of odd figures in a job, a
/// deadline or the configuration.
#[tokio::test(flavor = "multi_thread")]
async fn callers_with_odd_figures_get_answers_beside_others() {
    let platform = test_platform::TestPlatform::start(&["north"]).await;
    let config = format!(
        r#"{{"version":9007199254740993,"routes":[{{"name":"orders","host":"{}","path_prefix":"{}","type":"idempotent",
        "timeout_ms":1.7e308,"target_latency_ms":1e300,"priority":4294967295,"service":"order-desk",
        "max_attempts":4294967295,"stretch_factor":-1.7e308}}],"services":[],"limits":{{"max_body_bytes":300000}}}}"#,
        test_platform::HOST,
        test_platform::PREFIX
    );
    platform.store.put("keyed.op", "config", config);
    let node = platform.start_ready_node("n1", "north").await;
    let chain_of = |length: u32| {
        let steps: Vec<String> = (0..length)
            .map(|position| {
                let earlier = position.checked_sub(1);
                let earlier = earlier.map_or(String::new(), |earlier| earlier.to_string());
                format!(r#"{{"cpu":1,"estimate_ms":4294967295,"depends_on":[{earlier}]}}"#)
            })
            .collect();
        let steps = steps.join(",");
        format!(r#"{{"spec":"20","best_effort":true,"job_steps":[{steps}]}}"#)
    };
    let small_job = step_body(r#""count":1,"cpu":1000,"mem_mb":1,"estimate_ms":20"#);
    let cases = [
        (
            step_body(r#""cpu":4294967295,"mem_mb":4294967295,"gpu":4294967295"#),
            "8000",
            503,
        ),
        (step_body(r#""count":65535,"cpu":4294967295"#), "8000", 503),
        (
            step_body(r#""count":18446744073709551615,"cpu":1"#),
            "8000",
            503,
        ),
        (
            step_body(r#""count":18446744073709551616,"cpu":1"#),
            "8000",
            400,
        ),
        (step_body(r#""count":-1"#), "8000", 400),
        (step_body(r#""cpu":1e300"#), "8000", 400),
        (step_body(r#""cpu":4294967296"#), "8000", 400),
        (step_body(r#""depends_on":[65535]"#), "8000", 503),
        (step_body(r#""cpu":0,"estimate_ms":0"#), "8000", 200),
        (
            step_body(r#""cpu":1000,"estimate_ms":4294967295"#),
            "8000",
            200,
        ),
        // Its first task starts before the pool ends the job, so it is no refusal.
        (chain_of(1_700), "8000", 504),
        (chain_of(5_000), "8000", 503),
        (small_job.clone(), "18446744073709551615", 200),
        (small_job.clone(), "18446744073709551616", 200),
        (small_job.clone(), "-1", 200),
        (small_job.clone(), "NaN", 200),
    ];
    for (number, (body, deadline_ms, expected)) in cases.into_iter().enumerate() {
        let id = format!("{number:016x}");
        let other_id = format!("{:016x}", 1_000 + number);
        let ((status, _), (other_status, _)) = tokio::join!(
            node.submit_with_deadline(&id, &body, deadline_ms),
            node.submit_with_deadline(&other_id, &small_job, "8000")
        );
        let shown: String = body.chars().take(120).collect();
        assert_eq!(
            (status, other_status),
            (expected, 200),
            "{shown} {deadline_ms}"
        );
    }
}

/// Guards against work for a server that drains, as an entry of another writer, which lacks a field, replaced its own.
#[tokio::test(flavor = "multi_thread")]
async fn draining_server_gets_no_work_after_an_entry_of_another_writer() {
    for missing_field in ["version", "slots", "cold_remaining_ms"] {
        let platform = test_platform::TestPlatform::start(&["north"]).await;
        let node = platform.start_ready_node("n1", "north").await;
        let draining = &platform.servers[0];
        draining.drain(&platform.store);
        test_platform::wait_until("the drain to be read", async || {
            node.gauge_value("free_cpu_millis").await == Some(16_000)
        })
        .await;
        let sound_runs = started_count(&[draining]);
        let fields = [("seq_no", "1000"), (missing_field, "")];
        let entry = entry_text(&draining.address(), &fields);
        platform.store.put("keyed.servers", &draining.id(), entry);
        test_platform::wait_until("the entry to be ignored", async || {
            let text = node.metrics_text().await;
            text.contains("registry_entries_ignored_total 1")
        })
        .await;
        let ids: Vec<String> = (0..20).map(|number| format!("{number:016x}")).collect();
        let statuses = test_platform::submit_concurrently(&node, &ids, "20", 1).await;
        assert_eq!(statuses, [200; 20], "without {missing_field}");
        assert_eq!(
            started_count(&[draining]),
            sound_runs,
            "without {missing_field}"
        );
    }
}
