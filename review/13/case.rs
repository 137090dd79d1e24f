//! The store turns the leader of a zone away, and serves the other process of the zone. Meanwhile the runners report a
//! smaller capacity.

use stand_ins::*;
use std::{
    path::Path,
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering::Relaxed},
    },
    thread,
    time::Duration,
};

const TASK_CPU: u64 = 7_000;
const CAPACITY: u64 = 16_000;
const SHRUNK: u64 = 8_800;
const WORK_MS: u64 = 300;
/// Time after the report of the smaller capacity from which starts count: the time in which a machine is in touch again,
/// and the time in which a draining runner gets no more work.
const GRACE: Duration = Duration::from_millis(5_000);
const CUT: Duration = Duration::from_millis(7_000);

fn main() -> ExitCode {
    let record = Record::new();
    let folder = Folder::new("review-13");
    let runs = Arc::default();
    let store = Store::default();
    let is_away = Arc::new(AtomicBool::new(false));
    let views =
        [store.serve_unless("127.0.0.1:0", &is_away), store.serve("127.0.0.1:0"), store.serve("127.0.0.1:0")];
    put_config(&store, 1);
    // Of equal machines, the first by name leads.
    let machines = ["127.0.0.11", "127.0.0.12", "127.0.0.13"]
        .iter()
        .zip(1..)
        .map(|(ip, number)| Machine::new(&format!("edge-gebze-{number}"), "gebze", ip))
        .collect::<Vec<_>>();
    let runners: Vec<Runner> =
        (1..=8).map(|number| Runner::start(&format!("i-g{number}"), "gebze", CAPACITY, &store, &record, &runs)).collect();
    // A quarter of the runners.
    let shrinking = &runners[..2];
    let nodes: Vec<Node> =
        machines.iter().zip(&views).map(|(machine, view)| machine.start(&machines, view, &folder.0)).collect();
    wait_until_ready(&nodes);
    thread::sleep(Duration::from_millis(1_500));

    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..28_u64)
        .map(|caller| {
            let (address, is_over) = (nodes[1 + caller as usize % 2].frontend.clone(), Arc::clone(&is_over));
            thread::spawn(move || {
                let step = format!("{{\"count\":1,\"cpu\":{TASK_CPU},\"mem_mb\":64,\"estimate_ms\":{WORK_MS}}}");
                let mut number = caller << 32;
                while !is_over.load(Relaxed) {
                    number += 1;
                    let job = submission(&format!("{number:016x}"), WORK_MS, &step, 1_500);
                    let _answer = call(&address, &job, Duration::from_secs(4));
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1_500));
    if !is_calm() {
        record.note("the store turns edge-gebze-1 away");
        is_away.store(true, Relaxed);
    }
    thread::sleep(Duration::from_millis(500));
    let mut shrunk_at = Duration::ZERO;
    for runner in shrinking {
        runner.set_cpu(SHRUNK, &store);
        shrunk_at = record.now();
    }
    thread::sleep(CUT - Duration::from_millis(500));
    record.note("the store serves edge-gebze-1 again");
    let served_at = record.now();
    is_away.store(false, Relaxed);
    thread::sleep(Duration::from_millis(1_000));
    is_over.store(true, Relaxed);
    for caller in callers {
        let _ended = caller.join();
    }

    let runs = lock(&runs).clone();
    let mut found = 0;
    for run in runs
        .iter()
        .filter(|run| shrinking.iter().any(|runner| runner.id == run.server))
        .filter(|run| run.from > shrunk_at + GRACE && run.from < served_at) {
        let beside = runs
            .iter()
            .filter(|other| other.server == run.server && (other.from, &other.task) < (run.from, &run.task))
            .filter(|other| other.to.is_none_or(|to| to > run.from))
            .count() as u64;
        let used = beside * TASK_CPU;
        if used + TASK_CPU > SHRUNK {
            found += 1;
            record.note(format!(
                "LIMIT: {} needs {TASK_CPU}; {} has {SHRUNK}, of which {used} is taken, {:?} after its report",
                run.task,
                run.server,
                run.from - shrunk_at
            ));
        }
    }
    record.note(format!("{found} starts beyond the capacity"));
    record.write(Path::new("review/13/record.txt"));
    drop(nodes);
    drop(folder);
    ExitCode::from(u8::from(found > 0))
}
