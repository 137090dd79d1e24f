//! Measures running meshes over loopback: round trips of messages, and the
//! processor time, bytes and memory of each mesh at rest.
//!
//! Usage: `mesh_loopback round-trips [COUNT]` or `mesh_loopback rest [MESHES] [SECONDS]`.

use std::{env, fs, net, sync, thread, time};

use cuminkeel_mesh::{
    border::{self, MeshPort},
    frame, membership,
    transport::{clock, service},
};
use cuminkeel_types::names;
use tokio::sync::mpsc;

const DOMAINS: usize = 6;
const WARM_UP: time::Duration = time::Duration::from_secs(10);
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;
const PAGE_BYTES: u64 = 4_096;
const PAYLOADS: [usize; 3] = [64, 1_000, 16_000];

#[derive(Debug)]
struct Echo {
    mesh: sync::Weak<service::MeshService>,
}

impl border::MeshListener for Echo {
    fn on_message(&self, from: &border::MemberRecord, payload: &[u8]) {
        let sent = self.mesh.upgrade().map(|mesh| {
            mesh.send(
                from.incarnation,
                border::MeshTopic::Outcome,
                payload.to_vec(),
            )
        });
        assert!(matches!(sent, Some(Ok(()))), "echo not sent: {sent:?}");
    }
}

#[derive(Debug)]
struct Arrivals(mpsc::UnboundedSender<()>);

impl border::MeshListener for Arrivals {
    fn on_message(&self, _: &border::MemberRecord, _: &[u8]) {
        let _ = self.0.send(());
    }
}

async fn start(index: usize, origin: time::Instant) -> sync::Arc<service::MeshService> {
    let settings = service::MeshSettings {
        record: border::MemberRecord {
            vm: format!("vm-{index}").as_str().into(),
            incarnation: names::IncarnationId(index as u64 + 1),
            domain: format!("domain-{}", index % DOMAINS).as_str().into(),
            rack: "rack".into(),
            address: net::SocketAddr::from(([127, 0, 0, 1], 0)),
            leaving: false,
        },
        bind: None,
        keys: frame::KeyRing::single(frame::MeshKey::from_secret("loopback")),
        membership: membership::settings::MembershipSettings::default(),
        seed: index as u64,
        clock: sync::Arc::new(clock::SystemClock::new(origin)),
        logger: slog::Logger::root(slog::Discard, slog::o!()),
    };
    let mesh = service::MeshService::start(settings).await;
    sync::Arc::new(mesh.expect("a free port on loopback"))
}

async fn start_all(count: usize) -> Vec<sync::Arc<service::MeshService>> {
    let origin = time::Instant::now();
    let mut meshes = Vec::new();
    for index in 0..count {
        meshes.push(start(index, origin).await);
    }
    let seeds: Vec<net::SocketAddr> = meshes.iter().map(|mesh| mesh.local().address).collect();
    for mesh in &meshes {
        mesh.set_seeds(seeds.iter().copied());
    }
    while meshes.iter().any(|mesh| mesh.members().len() < count - 1) {
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
    meshes
}

async fn measure_round_trips(count: usize) {
    // Two meshes of one failure domain.
    let meshes = start_all(DOMAINS + 1).await;
    let (left, right) = (&meshes[0], &meshes[DOMAINS]);
    let (sender, mut arrivals) = mpsc::unbounded_channel();
    left.listen(border::MeshTopic::Outcome, sync::Arc::new(Arrivals(sender)));
    let mesh = sync::Arc::downgrade(right);
    right.listen(border::MeshTopic::Dispatch, sync::Arc::new(Echo { mesh }));
    let to = right.local().incarnation;
    for size in PAYLOADS {
        let mut micros = Vec::with_capacity(count);
        let mut lost = 0;
        for _ in 0..count {
            let begin = time::Instant::now();
            let sent = left.send(to, border::MeshTopic::Dispatch, vec![7; size]);
            sent.expect("a member with an empty queue");
            let arrival = tokio::time::timeout(time::Duration::from_secs(1), arrivals.recv());
            match arrival.await {
                Ok(_) => micros.push(begin.elapsed().as_secs_f64() * 1e6),
                Err(_) => lost += 1,
            }
        }
        micros.sort_by(f64::total_cmp);
        let at = |share: usize| micros[(micros.len() - 1) * share / 1_000];
        println!(
            "{{\"payload_bytes\":{size},\"round_trips\":{},\"lost\":{lost},\"p50_micros\":{:.0},\
             \"p99_micros\":{:.0},\"p999_micros\":{:.0}}}",
            micros.len(),
            at(500),
            at(990),
            at(999),
        );
    }
}

async fn measure_rest(count: usize, seconds: u64) {
    let memory_before = resident_bytes();
    let meshes = start_all(count).await;
    tokio::time::sleep(WARM_UP).await;
    let bytes = |meshes: &[sync::Arc<service::MeshService>]| -> u64 {
        let traffic = meshes.iter().map(|mesh| mesh.counters());
        let topic = border::MeshTopic::Membership;
        traffic
            .map(|counters| counters.topic(topic).bytes_out)
            .sum()
    };
    let (bytes_before, processor_before) = (bytes(&meshes), processor_seconds());
    tokio::time::sleep(time::Duration::from_secs(seconds)).await;
    let node_seconds = count as f64 * seconds as f64;
    let processor = (processor_seconds() - processor_before) / node_seconds;
    let sent = (bytes(&meshes) - bytes_before) as f64 / node_seconds;
    let memory = resident_bytes().saturating_sub(memory_before) as f64 / count as f64;
    let events = meshes.iter().map(|mesh| mesh.counters().membership);
    let suspicions: u64 = events.map(|counters| counters.suspicions).sum();
    println!(
        "{{\"meshes\":{count},\"seconds\":{seconds},\"core_share\":{processor:.6},\
         \"frame_bytes_per_second\":{sent:.1},\"memory_bytes\":{memory:.0},\
         \"suspicions\":{suspicions}}}"
    );
}

/// Processor time of this process, fields 14 and 15 of `/proc/self/stat`.
fn processor_seconds() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2);
    ticks.filter_map(|it| it.parse::<f64>().ok()).sum::<f64>() / CLOCK_TICKS_PER_SECOND
}

fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * PAGE_BYTES
}

#[tokio::main]
async fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let number = |at: usize, default: usize| {
        let text = arguments.get(at);
        text.and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    match arguments.first().map(String::as_str) {
        Some("rest") => measure_rest(number(1, 9), number(2, 30) as u64).await,
        _ => measure_round_trips(number(1, 20_000)).await,
    }
    let cores = thread::available_parallelism().map_or(0, usize::from);
    eprintln!("on {cores} cores");
}
