//! A network in model time that joins many membership cores.
//!
//! The name of a failure domain is `region/domain`; without a slash, all domains
//! are in one region.
//!
//! Datagrams are lost, doubled, delayed and cut; frames that go by TCP are only
//! delayed and cut. Nodes crash, pause and are replaced. The same seed gives the
//! same run.

use std::{collections, net, time};

use cuminkeel_types::{names, time as clock};
use rand::{RngExt, SeedableRng, rngs};

use super::queue;
use crate::{border, frame, membership, sequence};

const CLOCK_SPREAD_MICROS: u64 = 3_600_000_000;
const WALL_ORIGIN_MILLIS: u64 = 1_700_000_000_000;
const PORT: u16 = 7_000;
const SECRET: &str = "model";

/// A node of the model, in the order of the starts.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct NodeId(pub usize);

/// Faults of every datagram.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NetworkFaults {
    /// Share that is lost.
    pub loss: f64,
    /// Share that arrives twice.
    pub duplication: f64,
}

/// Sums over all nodes since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct NetworkTotals {
    /// Bytes sent, with headers.
    pub bytes: u64,
    /// Frames sent.
    pub messages: u64,
    /// Bytes sent between regions.
    pub region_bytes: u64,
    /// Largest datagram sent, in bytes without headers.
    pub largest_datagram: usize,
    /// Time that the meter showed for the work of the nodes.
    pub work: time::Duration,
    /// Suspicions begun.
    pub suspicions: u64,
    /// Processes declared gone.
    pub declarations: u64,
    /// Frames that were dropped as not authenticated or received before.
    pub rejected_frames: u64,
}

#[derive(Clone, Debug)]
pub(super) enum NetworkEvent {
    Tick(NodeId),
    Arrive {
        to: NodeId,
        from: NodeId,
        bytes: std::sync::Arc<[u8]>,
    },
}

#[derive(Debug)]
pub(super) struct ModelNode {
    pub(super) core: membership::decision::MembershipCore,
    pub(super) sequences: sequence::SequenceBook,
    pub(super) clock_offset: time::Duration,
    pub(super) wall_lag: time::Duration,
    pub(super) address: net::SocketAddr,
    pub(super) region: String,
    pub(super) crashed: bool,
    pub(super) paused_until: clock::TimePoint,
    pub(super) suspended: bool,
    pub(super) events: Vec<(clock::TimePoint, border::MemberEvent)>,
}

/// A cluster in model time.
pub struct ModelNetwork<'meter> {
    pub(super) settings: membership::settings::MembershipSettings,
    pub(super) faults: NetworkFaults,
    pub(super) keys: frame::KeyRing,
    pub(super) rng: rngs::StdRng,
    pub(super) now: clock::TimePoint,
    pub(super) queue: queue::EventQueue<NetworkEvent>,
    pub(super) nodes: Vec<ModelNode>,
    pub(super) listed: collections::BTreeMap<names::VmName, NodeId>,
    pub(super) addresses: collections::HashMap<net::SocketAddr, NodeId>,
    pub(super) cuts: collections::BTreeSet<(NodeId, NodeId)>,
    pub(super) wall_lag: time::Duration,
    pub(super) totals: NetworkTotals,
    pub(super) meter: Option<&'meter mut dyn FnMut() -> time::Duration>,
}

impl std::fmt::Debug for ModelNetwork<'_> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("ModelNetwork")
            .field("now", &self.now)
            .field("nodes", &self.nodes.len())
            .finish_non_exhaustive()
    }
}

impl<'meter> ModelNetwork<'meter> {
    /// An empty cluster.
    ///
    /// # Panics
    /// Never: the model's one key is a valid key ring.
    pub fn new(
        settings: membership::settings::MembershipSettings,
        faults: NetworkFaults,
        seed: u64,
    ) -> Self {
        let key = frame::MeshKey::from_secret(SECRET);
        Self {
            settings,
            faults,
            keys: frame::KeyRing::single(key),
            rng: rngs::StdRng::seed_from_u64(seed),
            now: clock::TimePoint::ZERO,
            queue: queue::EventQueue::new(),
            nodes: Vec::new(),
            listed: collections::BTreeMap::new(),
            addresses: collections::HashMap::new(),
            cuts: collections::BTreeSet::new(),
            wall_lag: time::Duration::ZERO,
            totals: NetworkTotals::default(),
            meter: None,
        }
    }

    /// Counts the work of the nodes by a clock of the caller.
    pub fn meter(&mut self, meter: &'meter mut dyn FnMut() -> time::Duration) {
        self.meter = Some(meter);
    }

    /// Changes the faults of datagrams.
    pub const fn set_faults(&mut self, faults: NetworkFaults) {
        self.faults = faults;
    }

    /// Sets back the wall clocks of the processes that start from now on.
    pub const fn set_back_wall_clocks(&mut self, by: time::Duration) {
        self.wall_lag = by;
    }

    /// Model time since the start.
    pub const fn now(&self) -> clock::TimePoint {
        self.now
    }

    /// Sums over all nodes.
    pub fn totals(&self) -> NetworkTotals {
        let mut totals = self.totals;
        for node in &self.nodes {
            let counters = node.core.counters();
            totals.suspicions += counters.suspicions;
            totals.declarations += counters.declarations;
        }
        totals
    }

    /// Starts a process on a VM, and lists it. A process that runs there already
    /// goes on: crash it first for a plain restart.
    pub fn start(&mut self, vm: &str, domain: &str, rack: &str) -> NodeId {
        let id = NodeId(self.nodes.len());
        let [high, low] = u16::try_from(id.0).unwrap_or(u16::MAX).to_be_bytes();
        let address = net::SocketAddr::from(([10, 0, high, low], PORT));
        let record = border::MemberRecord {
            vm: vm.into(),
            incarnation: names::IncarnationId(self.rng.random()),
            domain: domain.into(),
            rack: rack.into(),
            address,
            leaving: false,
        };
        let clock_offset = self.rng.random_range(0..CLOCK_SPREAD_MICROS);
        let clock_offset = time::Duration::from_micros(clock_offset);
        let seed = self.rng.random();
        let wall = self.wall(self.wall_lag);
        let local_now = self.now + clock_offset;
        let settings = self.settings;
        let core =
            membership::decision::MembershipCore::new(settings, record, wall, seed, local_now);
        self.nodes.push(ModelNode {
            core,
            sequences: sequence::SequenceBook::default(),
            clock_offset,
            wall_lag: self.wall_lag,
            address,
            region: region_of(domain),
            crashed: false,
            paused_until: clock::TimePoint::ZERO,
            suspended: false,
            events: Vec::new(),
        });
        self.listed.insert(vm.into(), id);
        self.addresses.insert(address, id);
        self.publish_list();
        let phase = self.rng.random_range(0..=self.settings.tick.as_micros());
        let phase = time::Duration::from_micros(u64::try_from(phase).unwrap_or_default());
        self.queue.push(self.now + phase, NetworkEvent::Tick(id));
        id
    }

    /// Takes a VM off the list, which is told to all nodes.
    pub fn unlist(&mut self, vm: &str) {
        self.listed.remove(&names::VmName::from(vm));
        self.publish_list();
    }

    /// Ends a process without a word.
    pub fn crash(&mut self, node: NodeId) {
        self.nodes[node.0].crashed = true;
    }

    /// Halts a process; what arrives meanwhile waits.
    pub fn pause(&mut self, node: NodeId, length: time::Duration) {
        self.nodes[node.0].suspended = false;
        self.nodes[node.0].paused_until = self.now + length;
    }

    /// Halts a VM; what arrives meanwhile is lost.
    pub fn suspend(&mut self, node: NodeId, length: time::Duration) {
        self.pause(node, length);
        self.nodes[node.0].suspended = true;
    }

    /// Lets a process announce that it leaves.
    pub fn leave(&mut self, node: NodeId) {
        let now = self.local_now(node);
        let actions = self.nodes[node.0].core.leave(now);
        self.perform(node, actions);
    }

    /// Stops a process in order.
    pub fn stop(&mut self, node: NodeId) {
        let now = self.local_now(node);
        let actions = self.nodes[node.0].core.stop(now);
        self.perform(node, actions);
        self.crash(node);
    }

    /// Cuts what `from` sends to `to`, in that direction only.
    pub fn cut(&mut self, from: NodeId, to: NodeId) {
        self.cuts.insert((from, to));
    }

    /// Cuts two groups off from each other.
    pub fn partition(&mut self, left: &[NodeId], right: &[NodeId]) {
        for &left in left {
            for &right in right {
                self.cut(left, right);
                self.cut(right, left);
            }
        }
    }

    /// Removes all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Record of a process.
    pub fn record(&self, node: NodeId) -> &border::MemberRecord {
        self.nodes[node.0].core.local()
    }

    /// Membership as a process sees it.
    pub fn core(&self, node: NodeId) -> &membership::decision::MembershipCore {
        &self.nodes[node.0].core
    }

    /// What the watchers of a process were told, and when.
    pub fn events(&self, node: NodeId) -> &[(clock::TimePoint, border::MemberEvent)] {
        &self.nodes[node.0].events
    }

    /// When a process was last told that another one is gone.
    pub fn gone_at(&self, node: NodeId, other: NodeId) -> Option<clock::TimePoint> {
        let gone = border::MemberEvent::Gone(self.record(other).incarnation);
        let mut events = self.events(node).iter().rev();
        events.find(|(_, event)| *event == gone).map(|(at, _)| *at)
    }

    /// Whether a process thinks another one alive.
    pub fn sees(&self, node: NodeId, other: NodeId) -> bool {
        let incarnation = self.record(other).incarnation;
        self.core(node).member(incarnation).is_some()
    }

    /// Runs for a length of model time.
    pub fn run_for(&mut self, length: time::Duration) {
        let end = self.now + length;
        while let Some((at, event)) = self.queue.pop_until(end) {
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.now = end;
    }

    fn publish_list(&mut self) {
        let addresses = self.listed.values().map(|id| self.nodes[id.0].address);
        let addresses: Vec<net::SocketAddr> = addresses.collect();
        for node in self.nodes.iter_mut().filter(|node| !node.crashed) {
            node.core.set_seeds(addresses.iter().copied());
        }
    }

    pub(super) fn local_now(&self, id: NodeId) -> clock::TimePoint {
        self.now + self.nodes[id.0].clock_offset
    }

    pub(super) fn wall(&self, lag: time::Duration) -> clock::WallTime {
        let elapsed = self.now.as_micros() / 1_000;
        let lag = u64::try_from(lag.as_millis()).unwrap_or(u64::MAX);
        clock::WallTime((WALL_ORIGIN_MILLIS + elapsed).saturating_sub(lag))
    }
}

fn region_of(domain: &str) -> String {
    let region = domain.split_once('/').map(|(region, _)| region);
    region.unwrap_or_default().to_owned()
}
