//! After any run of faults, the processes that remain agree on who they are.

use std::time;

use cuminkeel_mesh::{border::MemberStanding, capacity::network, membership::settings};
use proptest::{prelude::*, test_runner};

const DOMAINS: usize = 3;
const PER_DOMAIN: usize = 3;
const SETTLE: time::Duration = time::Duration::from_secs(8);
const FINAL_SETTLE: time::Duration = time::Duration::from_secs(40);

#[derive(Clone, Copy, Debug)]
enum Fault {
    Crash(usize),
    Stop(usize),
    Leave(usize),
    Replace(usize, bool),
    Pause(usize, u64),
    Suspend(usize, u64),
    CutDomain(usize),
    CutOneWay(usize, usize),
    Heal,
    Loss(u8),
}

fn fault() -> impl Strategy<Value = Fault> {
    let place = 0..DOMAINS * PER_DOMAIN;
    let length = 300_u64..9_000;
    prop_oneof![
        place.clone().prop_map(Fault::Crash),
        place.clone().prop_map(Fault::Stop),
        place.clone().prop_map(Fault::Leave),
        (place.clone(), any::<bool>()).prop_map(|(at, crash)| Fault::Replace(at, crash)),
        (place.clone(), length.clone()).prop_map(|(at, millis)| Fault::Pause(at, millis)),
        (place.clone(), length).prop_map(|(at, millis)| Fault::Suspend(at, millis)),
        (0..DOMAINS).prop_map(Fault::CutDomain),
        (place.clone(), place).prop_map(|(from, to)| Fault::CutOneWay(from, to)),
        Just(Fault::Heal),
        (0_u8..40).prop_map(Fault::Loss),
    ]
}

struct Run {
    cluster: network::ModelNetwork<'static>,
    /// The process that runs at each place; none after a crash or stop.
    places: Vec<Option<network::NodeId>>,
    started: Vec<network::NodeId>,
}

impl Run {
    fn new(seed: u64) -> Self {
        let settings = settings::MembershipSettings::default();
        let faults = network::NetworkFaults::default();
        let mut run = Self {
            cluster: network::ModelNetwork::new(settings, faults, seed),
            places: vec![None; DOMAINS * PER_DOMAIN],
            started: Vec::new(),
        };
        for at in 0..run.places.len() {
            run.start(at);
        }
        run.cluster.run_for(SETTLE);
        run
    }

    fn start(&mut self, at: usize) {
        let domain = format!("domain-{}", at % DOMAINS);
        let node = self.cluster.start(&format!("vm-{at}"), &domain, "rack");
        self.places[at] = Some(node);
        self.started.push(node);
    }

    fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::Crash(at) => self.end(at, network::ModelNetwork::crash),
            Fault::Stop(at) => self.end(at, network::ModelNetwork::stop),
            Fault::Leave(at) => {
                if let Some(node) = self.places[at] {
                    self.cluster.leave(node);
                }
            }
            Fault::Replace(at, crash) => {
                if crash {
                    self.end(at, network::ModelNetwork::crash);
                }
                self.start(at);
            }
            Fault::Pause(at, millis) => {
                let length = time::Duration::from_millis(millis);
                if let Some(node) = self.places[at] {
                    self.cluster.pause(node, length);
                }
            }
            Fault::Suspend(at, millis) => {
                let length = time::Duration::from_millis(millis);
                if let Some(node) = self.places[at] {
                    self.cluster.suspend(node, length);
                }
            }
            Fault::CutDomain(domain) => self.cut_domain(domain),
            Fault::CutOneWay(from, to) => {
                if let (Some(from), Some(to)) = (self.places[from], self.places[to]) {
                    self.cluster.cut(from, to);
                }
            }
            Fault::Heal => self.cluster.heal(),
            Fault::Loss(percent) => self.cluster.set_faults(network::NetworkFaults {
                loss: f64::from(percent) / 100.0,
                duplication: 0.05,
            }),
        }
    }

    fn end(
        &mut self,
        at: usize,
        end: impl Fn(&mut network::ModelNetwork<'static>, network::NodeId),
    ) {
        if let Some(node) = self.places[at].take() {
            end(&mut self.cluster, node);
        }
    }

    fn cut_domain(&mut self, domain: usize) {
        let name = format!("domain-{domain}");
        let inside = |node: &network::NodeId| self.cluster.record(*node).domain.as_str() == name;
        let (inside, outside): (Vec<_>, Vec<_>) = self.started.iter().copied().partition(inside);
        self.cluster.partition(&inside, &outside);
    }

    /// Processes that run and were not rejected.
    fn remaining(&self) -> Vec<network::NodeId> {
        let running = self.places.iter().flatten().copied();
        let is_member = |node: &network::NodeId| {
            self.cluster.core(*node).standing() == MemberStanding::Confirmed
        };
        running.filter(is_member).collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        failure_persistence: None,
        max_shrink_iters: 200,
        rng_seed: test_runner::RngSeed::Fixed(23),
        ..ProptestConfig::default()
    })]

    #[test]
    fn views_agree_once_faults_end(
        seed in any::<u64>(),
        faults in proptest::collection::vec((fault(), 0_u64..5_000), 1..14),
    ) {
        let mut run = Run::new(seed);
        for (fault, wait_millis) in faults {
            run.apply(fault);
            run.cluster.run_for(time::Duration::from_millis(wait_millis));
        }
        run.cluster.heal();
        run.cluster.set_faults(network::NetworkFaults::default());
        run.cluster.run_for(FINAL_SETTLE);
        let remaining = run.remaining();
        for node in &remaining {
            let core = run.cluster.core(*node);
            let seen: Vec<_> = core.members().map(|record| record.vm.clone()).collect();
            prop_assert_eq!(seen.len(), remaining.len() - 1, "{:?} sees {:?}", node, seen);
            for other in remaining.iter().filter(|other| *other != node) {
                prop_assert!(run.cluster.sees(*node, *other), "{:?} misses {:?}", node, other);
            }
        }
        for node in run.places.iter().flatten() {
            let standing = run.cluster.core(*node).standing();
            let settled = [MemberStanding::Confirmed, MemberStanding::Rejected];
            prop_assert!(settled.contains(&standing), "{:?} is {:?}", node, standing);
        }
    }
}
