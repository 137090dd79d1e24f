//! State that the mesh's tasks share.

use std::{collections, net, sync, sync::atomic};

use cuminkeel_types::names;
use tokio::sync::mpsc;

use super::{clock, counters, outbound};
use crate::{border, frame, membership, sequence};

/// Membership and the numbers of frames, under one lock.
#[derive(Debug)]
pub(super) struct MeshState {
    pub(super) core: membership::decision::MembershipCore,
    pub(super) sequences: sequence::SequenceBook,
}

/// Services that receive messages and changes.
#[derive(Debug, Default)]
pub(super) struct MeshAudience {
    pub(super) listeners:
        collections::HashMap<border::MeshTopic, sync::Arc<dyn border::MeshListener>>,
    pub(super) watchers: Vec<sync::Arc<dyn border::MemberWatcher>>,
}

/// What all tasks of one mesh share.
#[derive(Debug)]
pub(super) struct MeshShared {
    pub(super) local: names::IncarnationId,
    pub(super) keys: frame::KeyRing,
    pub(super) clock: sync::Arc<dyn clock::MeshClock>,
    pub(super) settings: membership::settings::MembershipSettings,
    pub(super) state: sync::Mutex<MeshState>,
    pub(super) audience: sync::RwLock<MeshAudience>,
    pub(super) counters: counters::CounterCells,
    pub(super) outbound: outbound::OutboundPaths,
    pub(super) events: mpsc::UnboundedSender<border::MemberEvent>,
    pub(super) last_tick_micros: atomic::AtomicU64,
    pub(super) logger: slog::Logger,
    pub(super) cut: sync::RwLock<collections::HashSet<net::SocketAddr>>,
}

impl MeshShared {
    /// The state; a panic of another holder leaves it usable, since each
    /// decision completes before the lock is released.
    pub(super) fn lock(&self) -> sync::MutexGuard<'_, MeshState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// The service that listens to a topic.
    pub(super) fn listener(
        &self,
        topic: border::MeshTopic,
    ) -> Option<sync::Arc<dyn border::MeshListener>> {
        let audience = self.audience.read();
        let audience = audience.unwrap_or_else(sync::PoisonError::into_inner);
        audience.listeners.get(&topic).cloned()
    }

    /// The services that watch changes.
    pub(super) fn watchers(&self) -> Vec<sync::Arc<dyn border::MemberWatcher>> {
        let audience = self.audience.read();
        let audience = audience.unwrap_or_else(sync::PoisonError::into_inner);
        audience.watchers.clone()
    }

    /// The audience, to be changed.
    pub(super) fn audience_mut(&self) -> sync::RwLockWriteGuard<'_, MeshAudience> {
        let audience = self.audience.write();
        audience.unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Runs a decision and carries out its actions.
    pub(super) fn decide(
        self: &sync::Arc<Self>,
        decision: impl FnOnce(
            &mut membership::decision::MembershipCore,
        ) -> Vec<membership::decision::MembershipAction>,
    ) {
        let mut outgoing = Vec::new();
        {
            let mut state = self.lock();
            for action in decision(&mut state.core) {
                match action {
                    membership::decision::MembershipAction::Send { target, message } => {
                        let sequence = state.sequences.next(receiver(target));
                        outgoing.push((target, sequence, message));
                    }
                    membership::decision::MembershipAction::Tell(event) => self.tell(event),
                }
            }
        }
        for (target, sequence, message) in outgoing {
            self.send_message(target, sequence, &message);
        }
    }

    fn tell(&self, event: border::MemberEvent) {
        if let border::MemberEvent::Gone(incarnation) = &event {
            self.outbound.close(*incarnation);
        }
        // The receiver ends only with the mesh itself.
        let _ = self.events.send(event);
    }

    fn send_message(
        self: &sync::Arc<Self>,
        target: membership::decision::MessageTarget,
        sequence: u64,
        message: &membership::message::MembershipMessage,
    ) {
        let Ok(body) = message.encode() else {
            return self.counters.dropped(counters::DropCause::Malformed);
        };
        let (kind, to, address) = match target {
            membership::decision::MessageTarget::Process {
                incarnation,
                address,
            } => (frame::FrameKind::Membership, incarnation, address),
            membership::decision::MessageTarget::Address(address) => (
                frame::FrameKind::Introduction,
                names::IncarnationId::default(),
                address,
            ),
        };
        match frame::encode(&self.keys, kind, self.local, to, sequence, &body) {
            Ok(bytes) => {
                let topic = border::MeshTopic::Membership;
                // Lost membership messages are made good by later ones.
                let _ = self.transmit(to, address, topic, bytes);
            }
            Err(error) => self.counters.dropped(error.into()),
        }
    }

    /// Whether frames to an address are lost on purpose.
    fn is_cut(&self, address: &net::SocketAddr) -> bool {
        let cut = self.cut.read();
        let cut = cut.unwrap_or_else(sync::PoisonError::into_inner);
        cut.contains(address)
    }

    /// Sends a frame by UDP if it is small, else by TCP.
    pub(super) fn transmit(
        self: &sync::Arc<Self>,
        to: names::IncarnationId,
        address: net::SocketAddr,
        topic: border::MeshTopic,
        bytes: Vec<u8>,
    ) -> Result<(), border::MeshError> {
        let length = bytes.len();
        if self.is_cut(&address) {
            return Ok(());
        }
        let sent = match length {
            0..=frame::MAX_UDP_FRAME_BYTES => self.outbound.send_datagram(address, &bytes),
            _ => self.outbound.queue_stream(self, to, address, bytes),
        };
        match sent {
            Ok(()) => {
                self.counters.sent(topic, length);
                Ok(())
            }
            Err(cause) => {
                self.counters.dropped(cause);
                Err(border::MeshError::QueueFull)
            }
        }
    }

    /// Small first frame of a TCP connection, which proves the sender before
    /// large frames are taken.
    pub(super) fn greeting(&self, to: names::IncarnationId) -> Result<Vec<u8>, frame::FrameError> {
        let sequence = self.lock().sequences.next(Some(to));
        let heartbeat = membership::message::MembershipMessage::Heartbeat;
        let body = heartbeat
            .encode()
            .map_err(|_| frame::FrameError::Malformed)?;
        let kind = frame::FrameKind::Membership;
        frame::encode(&self.keys, kind, self.local, to, sequence, &body)
    }
}

const fn receiver(target: membership::decision::MessageTarget) -> Option<names::IncarnationId> {
    match target {
        membership::decision::MessageTarget::Process { incarnation, .. } => Some(incarnation),
        membership::decision::MessageTarget::Address(_) => None,
    }
}
