//! Measures what replacements and a cut between regions cost membership.
//!
//! Usage: `mesh_events [SEED] [NODES]`.

use std::{env, time};

use cuminkeel_mesh::{capacity::network, membership::settings};

const DOMAINS: usize = 6;
const WARM_UP: time::Duration = time::Duration::from_secs(20);
const BASELINE: time::Duration = time::Duration::from_mins(1);
const REPLACEMENTS: usize = 20;
const REPLACEMENT_INTERVAL: time::Duration = time::Duration::from_secs(10);
const CUT: time::Duration = time::Duration::from_mins(5);
const STEP: time::Duration = time::Duration::from_millis(50);
const STEP_LIMIT: u32 = 1_200;

struct Cluster {
    network: network::ModelNetwork<'static>,
    live: Vec<network::NodeId>,
}

impl Cluster {
    fn start(nodes: usize, seed: u64) -> Self {
        let faults = network::NetworkFaults::default();
        let settings = settings::MembershipSettings::default();
        let mut network = network::ModelNetwork::new(settings, faults, seed);
        let live = (0..nodes).map(|node| {
            let domain = node % DOMAINS;
            let region = 2 * domain / DOMAINS;
            let domain = format!("region-{region}/domain-{domain}");
            network.start(&format!("vm-{node}"), &domain, "rack")
        });
        let live = live.collect();
        network.run_for(WARM_UP);
        Self { network, live }
    }

    /// Crashes one process and starts another on its VM.
    fn replace(&mut self, at: usize) {
        let old = self.live[at];
        let record = self.network.record(old).clone();
        self.network.crash(old);
        let (vm, domain) = (record.vm.as_str(), record.domain.as_str());
        self.live[at] = self.network.start(vm, domain, "rack");
    }

    fn views_agree(&self) -> bool {
        self.live.iter().all(|&node| {
            let members = self.network.core(node).members().count();
            let sees = |&other: &network::NodeId| other == node || self.network.sees(node, other);
            members == self.live.len() - 1 && self.live.iter().all(sees)
        })
    }

    fn settle(&mut self) -> Option<time::Duration> {
        let begin = self.network.now();
        for _ in 0..STEP_LIMIT {
            if self.views_agree() {
                return Some(self.network.now().since(begin));
            }
            self.network.run_for(STEP);
        }
        None
    }

    /// Cuts the regions off from each other, with all processes that run now.
    fn cut_regions(&mut self) {
        let (left, right) = (self.region("region-0"), self.region("region-1"));
        self.network.partition(&left, &right);
    }

    fn region(&self, region: &str) -> Vec<network::NodeId> {
        let live = self.live.iter().copied();
        let domain = |node| self.network.record(node).domain.as_str();
        live.filter(|&node| domain(node).starts_with(region))
            .collect()
    }
}

fn main() {
    let mut arguments = env::args().skip(1);
    let seed = arguments.next().and_then(|it| it.parse().ok()).unwrap_or(1);
    let nodes = arguments
        .next()
        .and_then(|it| it.parse().ok())
        .unwrap_or(117);
    let mut cluster = Cluster::start(nodes, seed);
    let bytes = |cluster: &Cluster| cluster.network.totals().bytes as f64;

    let before = bytes(&cluster);
    cluster.network.run_for(BASELINE);
    let base_rate = (bytes(&cluster) - before) / BASELINE.as_secs_f64();

    let (before, begin) = (bytes(&cluster), cluster.network.now());
    for count in 0..REPLACEMENTS {
        cluster.replace(count * 5 % nodes);
        cluster.network.run_for(REPLACEMENT_INTERVAL);
    }
    let elapsed = cluster.network.now().since(begin).as_secs_f64();
    let extra = bytes(&cluster) - before - base_rate * elapsed;
    println!(
        "{{\"seed\":{seed},\"nodes\":{nodes},\"base_bytes_per_second\":{base_rate:.0},\
         \"bytes_per_replacement\":{:.0}}}",
        extra / REPLACEMENTS as f64
    );

    cluster.cut_regions();
    cluster.network.run_for(CUT);
    for count in 0..REPLACEMENTS / 2 {
        cluster.replace(count * 5 % nodes);
    }
    cluster.cut_regions();
    cluster.network.run_for(REPLACEMENT_INTERVAL);
    cluster.network.heal();
    let before = bytes(&cluster);
    let settled = cluster.settle();
    let millis = settled.map_or(-1.0, |settled| settled.as_secs_f64() * 1e3);
    let extra = bytes(&cluster) - before - base_rate * millis / 1e3;
    println!(
        "{{\"seed\":{seed},\"nodes\":{nodes},\"region_cut_seconds\":{},\"replaced\":{},\
         \"heal_ms\":{millis:.0},\"heal_bytes\":{extra:.0}}}",
        CUT.as_secs(),
        REPLACEMENTS / 2,
    );
}
