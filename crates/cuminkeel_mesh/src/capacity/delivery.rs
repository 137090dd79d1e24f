//! Runs the nodes of the model and carries their frames.

use std::time;

use rand::RngExt;

use super::network;
use crate::{frame, membership};

const DOMAIN_DELAY_MICROS: u64 = 250;
const FOREIGN_DELAY_MICROS: u64 = 1_000;
const REGION_DELAY_MICROS: u64 = 10_000;
const JITTER_MICROS: u64 = 250;
const STREAM_ROUND_TRIPS: u64 = 3;
const UDP_HEADER_BYTES: u64 = 28;
const TCP_HEADER_BYTES: u64 = 40;
const SEGMENT_BYTES: u64 = 1_460;

impl network::ModelNetwork<'_> {
    pub(super) fn handle(&mut self, event: network::NetworkEvent) {
        let id = match event {
            network::NetworkEvent::Tick(id) | network::NetworkEvent::Arrive { to: id, .. } => id,
        };
        let node = &self.nodes[id.0];
        match event {
            _ if node.crashed => {}
            network::NetworkEvent::Arrive { .. }
                if node.suspended && node.paused_until > self.now => {}
            _ if node.paused_until > self.now => self.queue.push(node.paused_until, event),
            network::NetworkEvent::Tick(_) => self.tick(id),
            network::NetworkEvent::Arrive { from, bytes, .. } => self.arrive(id, from, &bytes),
        }
    }

    fn tick(&mut self, id: network::NodeId) {
        let now = self.local_now(id);
        let wall = self.wall(self.nodes[id.0].wall_lag);
        let before = self.read_meter();
        let actions = self.nodes[id.0].core.on_tick(now, wall);
        self.perform(id, actions);
        self.add_work(before);
        self.queue.push(
            self.now + self.settings.tick,
            network::NetworkEvent::Tick(id),
        );
    }

    fn arrive(&mut self, id: network::NodeId, from: network::NodeId, bytes: &[u8]) {
        let now = self.local_now(id);
        let address = self.nodes[from.0].address;
        let before = self.read_meter();
        let node = &mut self.nodes[id.0];
        let local = node.core.local().incarnation;
        let proved = frame::decode(&self.keys, local, bytes).ok();
        let proved = proved.filter(|proved| node.sequences.accept(proved));
        let Some(proved) = proved else {
            self.totals.rejected_frames += 1;
            return;
        };
        let (sender, actions) = node.core.on_contact(now, proved.from, address);
        self.perform(id, actions);
        let message = membership::message::MembershipMessage::decode(proved.body).ok();
        let gone = sender == membership::decision::SenderStanding::Gone;
        if let Some(message) = message.filter(|_| !gone) {
            let node = &mut self.nodes[id.0];
            let actions = node.core.on_message(now, proved.from, message);
            self.perform(id, actions);
        }
        self.add_work(before);
    }

    pub(super) fn perform(
        &mut self,
        id: network::NodeId,
        actions: Vec<membership::decision::MembershipAction>,
    ) {
        for action in actions {
            match action {
                membership::decision::MembershipAction::Tell(event) => {
                    self.nodes[id.0].events.push((self.now, event));
                }
                membership::decision::MembershipAction::Send { target, message } => {
                    self.transmit(id, target, &message);
                }
            }
        }
    }

    fn transmit(
        &mut self,
        id: network::NodeId,
        target: membership::decision::MessageTarget,
        message: &membership::message::MembershipMessage,
    ) {
        let (kind, to, address) = match target {
            membership::decision::MessageTarget::Process {
                incarnation,
                address,
            } => (frame::FrameKind::Membership, Some(incarnation), address),
            membership::decision::MessageTarget::Address(address) => {
                (frame::FrameKind::Introduction, None, address)
            }
        };
        let node = &mut self.nodes[id.0];
        let sequence = node.sequences.next(to);
        let local = node.core.local().incarnation;
        let body = message.encode().unwrap_or_default();
        let to = to.unwrap_or_default();
        let encoded = frame::encode(&self.keys, kind, local, to, sequence, &body);
        let receiver = self.addresses.get(&address).copied();
        if let (Ok(bytes), Some(receiver)) = (encoded, receiver) {
            self.carry(id, receiver, &bytes.into());
        }
    }

    fn carry(&mut self, from: network::NodeId, to: network::NodeId, bytes: &std::sync::Arc<[u8]>) {
        let length = bytes.len() as u64;
        let by_datagram = bytes.len() <= frame::MAX_UDP_FRAME_BYTES;
        let headers = if by_datagram {
            UDP_HEADER_BYTES
        } else {
            length.div_ceil(SEGMENT_BYTES) * TCP_HEADER_BYTES
        };
        let on_wire = length + headers;
        self.totals.bytes += on_wire;
        self.totals.messages += 1;
        if by_datagram {
            self.totals.largest_datagram = self.totals.largest_datagram.max(bytes.len());
        }
        if self.nodes[from.0].region != self.nodes[to.0].region {
            self.totals.region_bytes += on_wire;
        }
        let lost = by_datagram && self.rng.random_bool(self.faults.loss);
        if lost || self.cuts.contains(&(from, to)) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.faults.duplication));
        for _ in 0..copies {
            let delay = self.delay(from, to, by_datagram);
            let bytes = bytes.clone();
            let event = network::NetworkEvent::Arrive { to, from, bytes };
            self.queue.push(self.now + delay, event);
        }
    }

    fn delay(
        &mut self,
        from: network::NodeId,
        to: network::NodeId,
        by_datagram: bool,
    ) -> time::Duration {
        let near = self.record(from).domain == self.record(to).domain;
        let same_region = self.nodes[from.0].region == self.nodes[to.0].region;
        let base = match same_region {
            _ if near => DOMAIN_DELAY_MICROS,
            true => FOREIGN_DELAY_MICROS,
            false => REGION_DELAY_MICROS,
        };
        let trips = if by_datagram { 1 } else { STREAM_ROUND_TRIPS };
        let jitter = self.rng.random_range(0..JITTER_MICROS);
        time::Duration::from_micros(base * trips + jitter)
    }

    fn read_meter(&mut self) -> time::Duration {
        self.meter
            .as_mut()
            .map_or(time::Duration::ZERO, |meter| meter())
    }

    fn add_work(&mut self, before: time::Duration) {
        let after = self.read_meter();
        self.totals.work += after.saturating_sub(before);
    }
}
