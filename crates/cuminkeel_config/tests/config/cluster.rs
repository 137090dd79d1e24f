//! Some followers, a log and a network, driven one step at a time.

use std::{collections, time};

use cuminkeel_config::{fold, follower, page};
use cuminkeel_types::{names, time::TimePoint};
use follower::{FollowerAction, FollowerEvent, FollowerFault};

use crate::fake_log;

/// Small parts, so that snapshots are split.
pub const PART_BYTES: usize = 400;
/// Retention that the followers are told.
pub const RETENTION: time::Duration = time::Duration::from_secs(40);

/// How the log answers a read.
#[derive(Clone, Copy, Debug)]
pub enum LogAnswer {
    Fresh,
    /// As of this many records ago.
    Stale(u64),
    Down,
}

#[derive(Debug)]
pub struct ClusterNode {
    pub follower: follower::ConfigFollower,
    pub incarnation: names::IncarnationId,
    pub domain: usize,
    pub reaches_log: bool,
    pub faults: Vec<FollowerFault>,
    pub in_force: Option<u64>,
    pub sent_bytes: usize,
    log_read: Option<u64>,
    snapshot_read: Option<u64>,
    writes: collections::VecDeque<(u64, Vec<Vec<u8>>)>,
}

#[derive(Debug)]
pub struct PeerEnvelope {
    from: usize,
    to: names::IncarnationId,
    payload: Vec<u8>,
}

#[derive(Debug)]
pub struct FollowerCluster {
    pub now: TimePoint,
    pub log: fake_log::FakeLog,
    pub nodes: Vec<ClusterNode>,
    pub mail: Vec<PeerEnvelope>,
    /// The fold at each offset.
    pub reference: Vec<fold::ConfigFold>,
    /// Domains that can't be reached from others.
    pub cut_domains: Vec<usize>,
    starts: u64,
}

impl FollowerCluster {
    pub fn new(domains: &[usize]) -> Self {
        let mut cluster = Self {
            now: TimePoint::ZERO,
            log: fake_log::FakeLog::default(),
            nodes: Vec::new(),
            mail: Vec::new(),
            reference: vec![fold::ConfigFold::default()],
            cut_domains: Vec::new(),
            starts: 0,
        };
        for domain in domains {
            let node = cluster.make_node(*domain);
            cluster.nodes.push(node);
        }
        cluster.tell_peers();
        cluster
    }

    fn make_node(&mut self, domain: usize) -> ClusterNode {
        self.starts += 1;
        let settings = follower::FollowerSettings {
            max_record_bytes: PART_BYTES,
            retention: Some(RETENTION),
        };
        ClusterNode {
            follower: follower::ConfigFollower::new(self.now, settings, self.starts),
            incarnation: names::IncarnationId(self.starts),
            domain,
            reaches_log: true,
            faults: Vec::new(),
            in_force: None,
            sent_bytes: 0,
            log_read: None,
            snapshot_read: None,
            writes: collections::VecDeque::new(),
        }
    }

    pub fn restart(&mut self, index: usize) {
        let reaches_log = self.nodes[index].reaches_log;
        let domain = self.nodes[index].domain;
        self.nodes[index] = self.make_node(domain);
        self.nodes[index].reaches_log = reaches_log;
        self.tell_peers();
    }

    fn tell_peers(&mut self) {
        let all: Vec<_> = self
            .nodes
            .iter()
            .map(|node| (node.incarnation, node.domain))
            .collect();
        for index in 0..self.nodes.len() {
            let own = all[index];
            let others = all.iter().filter(|other| other.0 != own.0);
            let peers = others.map(|other| follower::PeerEntry {
                incarnation: other.0,
                same_domain: other.1 == own.1,
            });
            self.feed(index, FollowerEvent::PeersChanged(peers.collect()));
        }
    }

    pub fn append(&mut self, payload: &[u8]) {
        let offset = self.log.edits.append(payload);
        let mut next = self.reference.last().expect("never empty").clone();
        next.apply(offset, payload).expect("in order");
        self.reference.push(next);
    }

    pub fn feed(&mut self, index: usize, event: FollowerEvent) {
        let mut actions = Vec::new();
        self.nodes[index]
            .follower
            .handle(self.now, event, &mut actions);
        for action in actions {
            self.carry_out(index, action);
        }
        self.check(index);
    }

    fn carry_out(&mut self, index: usize, action: FollowerAction) {
        let node = &mut self.nodes[index];
        match action {
            FollowerAction::ReadLog { offset, .. } => {
                assert_eq!(node.log_read.replace(offset), None, "one read at a time");
            }
            FollowerAction::ReadSnapshots { offset } => {
                assert_eq!(
                    node.snapshot_read.replace(offset),
                    None,
                    "one read at a time"
                );
            }
            FollowerAction::AppendSnapshot { offset, parts } => {
                node.writes.push_back((offset, parts));
            }
            FollowerAction::SendPeer { to, payload } => {
                assert!(payload.len() <= cuminkeel_config::peer::MAX_PEER_BYTES);
                node.sent_bytes += payload.len();
                let from = index;
                self.mail.push(PeerEnvelope { from, to, payload });
            }
            FollowerAction::InForce(lists) => {
                assert!(node.in_force <= Some(lists.offset), "lists went back");
                node.in_force = Some(lists.offset);
            }
            FollowerAction::Report(fault) => node.faults.push(fault),
            FollowerAction::Folded(_) => {}
        }
    }

    /// What a follower holds at an offset is what the log says.
    fn check(&self, index: usize) {
        if let Some(fold) = self.nodes[index].follower.fold() {
            let offset = usize::try_from(fold.offset()).expect("small");
            assert_eq!(Some(fold), self.reference.get(offset));
        }
    }

    pub fn answer_log(&mut self, index: usize, answer: LogAnswer) {
        let Some(offset) = self.nodes[index].log_read.take() else {
            return;
        };
        let stream = &self.log.edits;
        let result = match answer {
            _ if !self.nodes[index].reaches_log => Err(page::ReadFault::Unavailable),
            LogAnswer::Down => Err(page::ReadFault::Unavailable),
            LogAnswer::Fresh => stream.read(offset),
            LogAnswer::Stale(age) => {
                stream.read_until(offset, stream.tail().saturating_sub(age).max(stream.head()))
            }
        };
        self.feed(
            index,
            match result {
                Ok(page) => FollowerEvent::LogRead(page),
                Err(fault) => FollowerEvent::LogFailed(fault),
            },
        );
    }

    pub fn answer_snapshots(&mut self, index: usize, up: bool) {
        let Some(offset) = self.nodes[index].snapshot_read.take() else {
            return;
        };
        let result = if up && self.nodes[index].reaches_log {
            self.log.snapshots.read(offset)
        } else {
            Err(page::ReadFault::Unavailable)
        };
        self.feed(
            index,
            match result {
                Ok(page) => FollowerEvent::SnapshotsRead(page),
                Err(fault) => FollowerEvent::SnapshotsFailed(fault),
            },
        );
    }

    /// Appends one part of a snapshot that the node is writing.
    pub fn write_part(&mut self, index: usize, up: bool) {
        let node = &mut self.nodes[index];
        let Some((offset, parts)) = node.writes.front_mut() else {
            return;
        };
        let offset = *offset;
        if !up || !node.reaches_log {
            node.writes.pop_front();
            return self.feed(index, FollowerEvent::SnapshotAppendFailed);
        }
        let position = self.log.snapshots.append(&parts.remove(0));
        if parts.is_empty() {
            node.writes.pop_front();
            self.feed(index, FollowerEvent::SnapshotAppended { offset, position });
        }
    }

    /// Delivers one message, if its receiver lives and can be reached.
    pub fn deliver(&mut self, index: usize, keep: bool) {
        if self.mail.is_empty() {
            return;
        }
        let index = index % self.mail.len();
        let mail = self.mail.remove(index);
        let receiver = self
            .nodes
            .iter()
            .position(|node| node.incarnation == mail.to);
        let Some(to) = receiver.filter(|to| self.connected(mail.from, *to)) else {
            return;
        };
        let from = self.nodes[mail.from].incarnation;
        let payload = mail.payload.clone();
        if keep {
            self.mail.push(mail);
        }
        self.feed(to, FollowerEvent::PeerMessage { from, payload });
    }

    fn connected(&self, from: usize, to: usize) -> bool {
        let (from, to) = (self.nodes[from].domain, self.nodes[to].domain);
        from == to || !self.cut_domains.iter().any(|cut| [from, to].contains(cut))
    }

    pub fn advance(&mut self, by: time::Duration) {
        self.now = self.now + by;
        for index in 0..self.nodes.len() {
            if self.nodes[index].follower.next_wakeup() <= self.now {
                self.feed(index, FollowerEvent::Tick);
            }
        }
    }

    /// Lets time pass while everything that can answer does so at once.
    pub fn run(&mut self, span: time::Duration) {
        let end = self.now + span;
        while self.now < end {
            self.advance(time::Duration::from_millis(50));
            for index in 0..self.nodes.len() {
                self.answer_log(index, LogAnswer::Fresh);
                self.answer_snapshots(index, true);
                self.write_part(index, true);
            }
            for _ in 0..self.mail.len() {
                self.deliver(0, false);
            }
        }
    }

    pub fn offset(&self, index: usize) -> Option<u64> {
        self.nodes[index].follower.status(self.now).offset
    }
}
