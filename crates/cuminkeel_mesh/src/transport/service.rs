//! The service that carries messages between entries.

use std::{io, net, sync, sync::atomic};

use cuminkeel_types::{names, time};
use derive_more::{Display, Error};
use tokio::{net as sockets, runtime, sync::mpsc, task};

use super::{clock, counters, inbound, outbound, state};
use crate::{border, frame, membership, sequence};

const BIND_ATTEMPTS: u32 = 16;
const FRAME_OVERHEAD_BYTES: usize = 64;
const FORGET_TICKS: u32 = 1_200;

/// What a mesh needs to start.
#[derive(Clone, Debug)]
pub struct MeshSettings {
    /// This process. Port 0 in the address takes any free port.
    pub record: border::MemberRecord,
    /// Address to bind, if it is not that of the record.
    pub bind: Option<net::IpAddr>,
    /// Keys that prove frames.
    pub keys: frame::KeyRing,
    /// Intervals of membership.
    pub membership: membership::settings::MembershipSettings,
    /// Seed of the random choices of peers.
    pub seed: u64,
    /// Clocks to read.
    pub clock: sync::Arc<dyn clock::MeshClock>,
    /// Where to log.
    pub logger: slog::Logger,
}

/// Why a mesh could not start.
#[derive(Debug, Display, Error)]
#[display("mesh cannot listen on {address}: {source}")]
pub struct MeshStartError {
    /// The address that was tried.
    pub address: net::SocketAddr,
    /// What the system answered.
    pub source: io::Error,
}

/// A running mesh. Its tasks end with [`MeshService::stop`] or when it is dropped.
#[derive(Debug)]
pub struct MeshService {
    shared: sync::Arc<state::MeshShared>,
    tasks: Vec<task::AbortHandle>,
}

impl MeshService {
    /// Binds the port for UDP and TCP and starts the tasks. Must be called
    /// within a `tokio` runtime.
    ///
    /// # Errors
    /// The port is taken or the address is not this machine's.
    pub async fn start(settings: MeshSettings) -> Result<Self, MeshStartError> {
        let mut record = settings.record;
        let mut address = record.address;
        address.set_ip(settings.bind.unwrap_or(address.ip()));
        let (datagrams, connections) = bind(address)
            .await
            .map_err(|source| MeshStartError { address, source })?;
        let bound = datagrams.local_addr();
        let bound = bound.map_err(|source| MeshStartError { address, source })?;
        record.address.set_port(bound.port());
        let now = settings.clock.now();
        let core = membership::decision::MembershipCore::new(
            settings.membership,
            record,
            settings.clock.wall(),
            settings.seed,
            now,
        );
        let datagrams = sync::Arc::new(datagrams);
        let (events, changes) = mpsc::unbounded_channel();
        let shared = sync::Arc::new(state::MeshShared {
            local: core.local().incarnation,
            keys: settings.keys,
            clock: settings.clock,
            settings: settings.membership,
            state: sync::Mutex::new(state::MeshState {
                core,
                sequences: sequence::SequenceBook::default(),
            }),
            audience: sync::RwLock::default(),
            counters: counters::CounterCells::default(),
            outbound: outbound::OutboundPaths::new(datagrams.clone(), runtime::Handle::current()),
            events,
            last_tick_micros: atomic::AtomicU64::new(now.as_micros()),
            logger: settings.logger,
            cut: sync::RwLock::default(),
        });
        let tasks = [
            task::spawn(inbound::receive_datagrams(shared.clone(), datagrams)),
            task::spawn(inbound::accept_connections(shared.clone(), connections)),
            task::spawn(tick(shared.clone())),
            task::spawn(tell_watchers(shared.clone(), changes)),
        ];
        let tasks = tasks.iter().map(task::JoinHandle::abort_handle).collect();
        Ok(Self { shared, tasks })
    }

    /// Sets the addresses of entries in the VM list. They are only where to ask;
    /// a listed address that does not answer is not a member.
    pub fn set_seeds(&self, seeds: impl IntoIterator<Item = net::SocketAddr>) {
        self.shared.lock().core.set_seeds(seeds);
    }

    /// Loses all frames to these addresses, as a network partition does, and
    /// those to no other. For fault drills.
    pub fn cut_links(&self, addresses: impl IntoIterator<Item = net::SocketAddr>) {
        let cut = self.shared.cut.write();
        let mut cut = cut.unwrap_or_else(sync::PoisonError::into_inner);
        *cut = addresses.into_iter().collect();
    }

    /// Announces that this process leaves. It stays a member until it stops.
    pub fn leave(&self) {
        let now = self.shared.clock.now();
        self.shared.decide(|core| core.leave(now));
    }

    /// Tells the others that this process has stopped, and ends the tasks.
    pub fn stop(&self) {
        let now = self.shared.clock.now();
        self.shared.decide(|core| core.stop(now));
        self.shared.outbound.close_all();
        for task in &self.tasks {
            task.abort();
        }
    }

    /// Counts since the start.
    pub fn counters(&self) -> counters::MeshCounters {
        let mut counters = self.shared.counters.snapshot();
        counters.membership = self.shared.lock().core.counters();
        counters
    }
}

impl Drop for MeshService {
    fn drop(&mut self) {
        self.stop();
    }
}

impl border::MeshPort for MeshService {
    fn local(&self) -> border::MemberRecord {
        self.shared.lock().core.local().clone()
    }

    fn members(&self) -> Vec<border::MemberRecord> {
        self.shared.lock().core.members().cloned().collect()
    }

    fn standing(&self) -> border::MemberStanding {
        let now = self.shared.clock.now();
        let ticked = self.shared.last_tick_micros.load(atomic::Ordering::Acquire);
        let gap = now.since(time::TimePoint::from_micros(ticked));
        match self.shared.lock().core.standing() {
            border::MemberStanding::Confirmed if gap >= self.shared.settings.pause_gap => {
                border::MemberStanding::Unsure
            }
            standing => standing,
        }
    }

    fn send(
        &self,
        to: names::IncarnationId,
        topic: border::MeshTopic,
        payload: Vec<u8>,
    ) -> Result<(), border::MeshError> {
        if payload.len() + FRAME_OVERHEAD_BYTES > frame::MAX_TCP_FRAME_BYTES {
            return Err(border::MeshError::TooLarge);
        }
        let (address, sequence) = {
            let mut state = self.shared.lock();
            match state.core.standing() {
                border::MemberStanding::Rejected | border::MemberStanding::Stopped => {
                    return Err(border::MeshError::Stopped);
                }
                _ => {}
            }
            let record = state.core.member(to);
            let address = record.ok_or(border::MeshError::UnknownMember)?.address;
            (address, state.sequences.next(Some(to)))
        };
        let kind = frame::FrameKind::Topic(topic);
        let shared = &self.shared;
        let bytes = frame::encode(&shared.keys, kind, shared.local, to, sequence, &payload)
            .map_err(|_| border::MeshError::TooLarge)?;
        shared.transmit(to, address, topic, bytes)
    }

    fn listen(&self, topic: border::MeshTopic, listener: sync::Arc<dyn border::MeshListener>) {
        self.shared.audience_mut().listeners.insert(topic, listener);
    }

    fn watch(&self, watcher: sync::Arc<dyn border::MemberWatcher>) {
        self.shared.audience_mut().watchers.push(watcher);
    }
}

async fn bind(address: net::SocketAddr) -> io::Result<(sockets::UdpSocket, sockets::TcpListener)> {
    let mut attempt = 1;
    loop {
        let connections = sockets::TcpListener::bind(address).await?;
        match sockets::UdpSocket::bind(connections.local_addr()?).await {
            Ok(datagrams) => return Ok((datagrams, connections)),
            Err(error) if address.port() != 0 || attempt >= BIND_ATTEMPTS => return Err(error),
            Err(_) => attempt += 1,
        }
    }
}

async fn tick(shared: sync::Arc<state::MeshShared>) {
    let mut interval = tokio::time::interval(shared.settings.tick);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut ticks: u32 = 0;
    loop {
        interval.tick().await;
        let now = shared.clock.now();
        let wall = shared.clock.wall();
        shared.decide(|core| core.on_tick(now, wall));
        shared
            .last_tick_micros
            .store(now.as_micros(), atomic::Ordering::Release);
        ticks = ticks.wrapping_add(1);
        if ticks.is_multiple_of(FORGET_TICKS) {
            let mut state = shared.lock();
            let state::MeshState { core, sequences } = &mut *state;
            sequences.retain(|peer| core.remembers(peer));
        }
    }
}

/// Passes changes on in order, so that a slow watcher delays no frame.
async fn tell_watchers(
    shared: sync::Arc<state::MeshShared>,
    mut changes: mpsc::UnboundedReceiver<border::MemberEvent>,
) {
    while let Some(event) = changes.recv().await {
        slog::info!(shared.logger, "membership changed"; "event" => ?event);
        for watcher in shared.watchers() {
            watcher.on_change(&event);
        }
    }
}
