//! Stand-ins and three entries as processes of their own: one entry is killed,
//! one is frozen past every lease, one is told to stop, under load.

use std::{
    io::{BufRead, Write},
    net, process, sync, time,
};

use cuminkeel_entry::api;
use cuminkeel_standin::{control, fleet};

const PROGRAM: &str = env!("CARGO_BIN_EXE_cuminkeel");
const API_KEY: &str = "key of mill";
const JOBS: usize = 60;
const TASKS_PER_JOB: usize = 3;
const PATIENCE: time::Duration = time::Duration::from_mins(1);
const CALL_LIMIT: time::Duration = time::Duration::from_secs(5);

/// A child that is ended with the test, however that ends.
#[derive(Debug)]
struct ChildProcess(process::Child);

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl ChildProcess {
    fn signal(&self, signal: rustix::process::Signal) {
        let id = rustix::process::Pid::from_child(&self.0);
        rustix::process::kill_process(id, signal).expect("the process lives");
    }
}

/// Starts the program and returns the first line of `pick`'s stream that is JSON
/// with the wanted field.
fn start(
    arguments: &[&str],
    wanted: &str,
    pick: fn(&mut process::Child) -> Box<dyn std::io::Read + Send>,
) -> (ChildProcess, serde_json::Value) {
    let mut child = process::Command::new(PROGRAM)
        .args(arguments)
        .stdin(process::Stdio::null())
        .stdout(process::Stdio::piped())
        .stderr(process::Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut lines = std::io::BufReader::new(pick(&mut child)).lines();
    let child = ChildProcess(child);
    let found = loop {
        let line = lines
            .next()
            .expect("the program tells its addresses")
            .expect("the stream is text");
        match serde_json::from_str::<serde_json::Value>(&line) {
            Ok(value) if value.get(wanted).is_some() => break value,
            _ => {}
        }
    };
    // Read on, so that the program never waits for its log to be read.
    std::thread::spawn(move || for _ in lines {});
    (child, found)
}

fn standard_output(child: &mut process::Child) -> Box<dyn std::io::Read + Send> {
    Box::new(child.stdout.take().expect("piped"))
}

fn standard_error(child: &mut process::Child) -> Box<dyn std::io::Read + Send> {
    Box::new(child.stderr.take().expect("piped"))
}

fn address(value: &serde_json::Value, field: &str) -> net::SocketAddr {
    value[field]
        .as_str()
        .and_then(|text| text.parse().ok())
        .expect("an address")
}

/// Sends one request to the control interface and returns the body.
fn control_call(control: net::SocketAddr, method: &str, path: &str, body: &str) -> String {
    let mut stream = net::TcpStream::connect(control).expect("the control interface listens");
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: control\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream
        .write_all(request.as_bytes())
        .expect("the request is sent");
    let mut answer = String::new();
    std::io::Read::read_to_string(&mut stream, &mut answer).expect("the answer is text");
    let (_, body) = answer.split_once("\r\n\r\n").expect("an answer");
    body.to_owned()
}

fn ledger(control: net::SocketAddr) -> control::LedgerSummary {
    let body = control_call(control, "GET", "/ledger", "");
    serde_json::from_str(&body).expect("a summary")
}

/// A directory for the settings files of one test, removed with it.
#[derive(Debug)]
struct ScratchFolder(std::path::PathBuf);

impl ScratchFolder {
    fn make(test: &str) -> Self {
        let name = format!("cuminkeel-{test}-{}", process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("the folder can be made");
        Self(path)
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("the file can be written");
        path.to_str().expect("the path is text").to_owned()
    }
}

impl Drop for ScratchFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[derive(Debug)]
struct EntryProcess {
    child: ChildProcess,
    api: net::SocketAddr,
}

fn start_entry(
    folder: &ScratchFolder,
    number: usize,
    platform: net::SocketAddr,
    control: net::SocketAddr,
) -> EntryProcess {
    let vm = format!("gebze-entry-{number}");
    let settings = format!(
        "vm: {vm}\nfailure_domain: gebze\nrack: rack-{number}\n\
         api: {{address: '127.0.0.1:0'}}\n\
         mesh: {{address: '127.0.0.1:0', secrets: [test]}}\n\
         platform: {{address: '{platform}', vm_list_interval_ms: 100}}\n\
         dispatch: {{failure_domains: [gebze]}}\n\
         log: {{format: json}}\n"
    );
    let file = folder.write(&format!("{vm}.yaml"), &settings);
    let (child, started) = start(&["entry", "--settings", &file], "mesh", standard_error);
    let (api, mesh) = (address(&started, "api"), address(&started, "mesh"));
    let record = serde_json::json!({
        "name": vm, "domain": "gebze", "rack": format!("rack-{number}"),
        "partner": "own", "state": "live",
        "role": {"kind": "entry", "mesh": mesh, "api": api},
    });
    control_call(control, "POST", "/vms", &record.to_string());
    EntryProcess { child, api }
}

fn edit(platform: net::SocketAddr, arguments: &[&str]) {
    let platform = platform.to_string();
    let status = process::Command::new(PROGRAM)
        .args(["--platform", &platform])
        .args(arguments)
        .stdout(process::Stdio::null())
        .stderr(process::Stdio::null())
        .status()
        .expect("the program starts");
    assert!(status.success(), "{arguments:?}: {status}");
}

fn write_lists(platform: net::SocketAddr) {
    let digest = blake3::hash(API_KEY.as_bytes()).to_hex().to_string();
    edit(
        platform,
        &[
            "plan",
            "set",
            "desk",
            "--weight",
            "1",
            "--max-concurrent",
            "100",
            "--max-starts-per-second",
            "1000",
        ],
    );
    edit(
        platform,
        &[
            "customer",
            "set",
            "mill",
            "--plan",
            "desk",
            "--key-digest",
            &digest,
        ],
    );
}

fn submission(number: usize) -> api::JobSubmission {
    let tasks = (0..TASKS_PER_JOB).map(|task| api::TaskSubmission {
        class: "top-up".into(),
        size_millicores: 100,
        declared_ms: 300,
        payload: format!(r#"{{"work_ms": 300, "order": "{number}/{task}"}}"#),
    });
    api::JobSubmission {
        idempotent: false,
        submission_key: None,
        deadline_ms: 10_000,
        wait: true,
        tasks: tasks.collect(),
    }
}

/// Waits until a condition holds.
async fn until(holds: impl Fn() -> bool) {
    let waiting = async {
        while !holds() {
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(PATIENCE, waiting)
        .await
        .expect("the condition never came to hold");
}

async fn wait_ready(entries: &[net::SocketAddr]) {
    let caller = fleet::JobCaller::new("");
    let waiting = async {
        for entry in entries {
            loop {
                let status = caller.status(*entry, CALL_LIMIT).await;
                let ready = status.is_ok_and(|status| {
                    status.config_offset >= 2 && status.members.len() + 1 == entries.len()
                });
                if ready {
                    break;
                }
                tokio::time::sleep(time::Duration::from_millis(50)).await;
            }
        }
    };
    tokio::time::timeout(PATIENCE, waiting)
        .await
        .expect("the entries find each other and the lists");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn killed_frozen_and_stopped_entries_double_nothing() {
    let folder = ScratchFolder::make("signals");
    let standin = ["standin", "--domain", "gebze", "--servers", "3"];
    let (_standin, addresses) = start(&standin, "platform", standard_output);
    let platform = address(&addresses, "platform");
    let control = address(&addresses, "control");
    write_lists(platform);
    let mut entries: Vec<_> = (0..3)
        .map(|number| start_entry(&folder, number, platform, control))
        .collect();
    let offered: Vec<_> = entries.iter().map(|entry| entry.api).collect();
    wait_ready(&offered).await;

    let caller = fleet::JobCaller::new(API_KEY);
    let offered = sync::Arc::new(offered);
    let mut jobs = Vec::new();
    for number in 0..JOBS {
        let (caller, offered) = (caller.clone(), sync::Arc::clone(&offered));
        jobs.push(tokio::spawn(async move {
            let entries = || offered.to_vec();
            fleet::run_job(&caller, &entries, number, &submission(number), PATIENCE).await
        }));
        match number {
            20 => entries[0].child.signal(rustix::process::Signal::KILL),
            30 => entries[1].child.signal(rustix::process::Signal::STOP),
            45 => entries[1].child.signal(rustix::process::Signal::CONT),
            50 => entries[1].child.signal(rustix::process::Signal::TERM),
            _ => {}
        }
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    let (mut complete, mut not_run, mut unknown) = (0, 0, 0);
    for job in jobs {
        match job.await.expect("no panic").end {
            fleet::ProtocolEnd::Complete(body) => {
                let outputs = body.outputs.expect("a complete job has outputs");
                assert_eq!(outputs.len(), TASKS_PER_JOB, "a partial answer");
                complete += 1;
            }
            fleet::ProtocolEnd::Refused(body) if body.ran == "not_run" => not_run += 1,
            fleet::ProtocolEnd::Refused(_) | fleet::ProtocolEnd::NoAnswer => unknown += 1,
        }
    }
    let stopped = entries.remove(1).child.0.wait().expect("the entry ends");
    let summary = ledger(control);
    println!(
        "complete {complete}, not run {not_run}, unknown {unknown}; {summary:?}; drained: {stopped}"
    );
    assert_eq!(summary.doubled, 0, "{summary:?}");
    assert_eq!(complete + not_run + unknown, JOBS);
    assert!(complete > JOBS / 2, "only {complete} of {JOBS} complete");
    assert!(summary.starts >= complete * TASKS_PER_JOB, "{summary:?}");
    assert!(stopped.success(), "the drained entry left work: {stopped}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_second_signal_ends_the_entry_with_a_report() {
    let folder = ScratchFolder::make("second-signal");
    let standin = ["standin", "--domain", "gebze", "--servers", "1"];
    let (_standin, addresses) = start(&standin, "platform", standard_output);
    let platform = address(&addresses, "platform");
    let control = address(&addresses, "control");
    write_lists(platform);
    let mut entry = start_entry(&folder, 0, platform, control);
    wait_ready(&[entry.api]).await;
    let mut submission = submission(0);
    submission.idempotent = true;
    for task in &mut submission.tasks {
        task.payload = task.payload.replace("300", "9000");
    }
    let api = entry.api;
    let job = tokio::spawn(async move {
        let caller = fleet::JobCaller::new(API_KEY);
        caller.submit(api, &submission, PATIENCE).await
    });
    until(|| ledger(control).running == TASKS_PER_JOB).await;
    entry.child.signal(rustix::process::Signal::TERM);
    // The first signal is taken in once the entry refuses its health check.
    until(|| !control_call(api, "GET", "/v1/health", "").contains("accepting")).await;
    entry.child.signal(rustix::process::Signal::TERM);
    let ended = entry.child.0.wait().expect("the entry ends");
    assert_eq!(ended.code(), Some(3), "work was left: {ended}");
    assert_eq!(ledger(control).running, TASKS_PER_JOB, "it did not wait");
    job.abort();
}
