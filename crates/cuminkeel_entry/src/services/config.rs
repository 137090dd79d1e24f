//! Follows the configuration on the platform's log and through other entries.

use std::{sync, time};

use cuminkeel_config::{follower, lists, page};
use cuminkeel_kernel::{error, registry, service};
use cuminkeel_mesh::border;
use cuminkeel_platform::border as platform;
use cuminkeel_types::names as types;
use tokio::{
    sync::{self as tokio_sync, mpsc, watch},
    task,
};

use super::{mesh_feed, names};
use crate::{clock, config_feed, config_view, settings};

/// Records read at once.
const READ_LIMIT: usize = 256;
/// Longest wait of one read for the next record.
const READ_WAIT: time::Duration = time::Duration::from_secs(1);
/// Events that may wait for the follower.
const MAILBOX_SIZE: usize = 1_024;

/// The lists in force, shared with the rest of the entry.
#[derive(Debug)]
struct ConfigFeed {
    view: watch::Sender<sync::Arc<config_view::ConfigView>>,
    age: sync::Mutex<Option<AgeReading>>,
}

#[derive(Clone, Copy, Debug)]
struct AgeReading {
    age: time::Duration,
    read_at: time::Instant,
}

impl Default for ConfigFeed {
    fn default() -> Self {
        Self {
            view: watch::Sender::new(sync::Arc::default()),
            age: sync::Mutex::default(),
        }
    }
}

impl ConfigFeed {
    fn put(&self, lists: sync::Arc<lists::ConfigLists>) {
        let view = config_view::ConfigView::new(lists);
        self.view.send_replace(sync::Arc::new(view));
    }

    fn set_age(&self, age: Option<time::Duration>) {
        let read_at = time::Instant::now();
        let mut current = self
            .age
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        *current = age.map(|age| AgeReading { age, read_at });
    }
}

impl config_feed::ConfigSource for ConfigFeed {
    fn view(&self) -> sync::Arc<config_view::ConfigView> {
        sync::Arc::clone(&self.view.borrow())
    }

    fn age(&self) -> Option<time::Duration> {
        let reading = *self
            .age
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        reading.map(|reading| reading.age + reading.read_at.elapsed())
    }

    fn subscribe(&self) -> watch::Receiver<sync::Arc<config_view::ConfigView>> {
        self.view.subscribe()
    }
}

/// The service.
#[derive(Debug)]
pub struct ConfigService {
    clock: clock::MonotonicClock,
    retention: Option<time::Duration>,
    seed: u64,
    log: slog::Logger,
    task: tokio_sync::Mutex<Option<task::JoinHandle<()>>>,
}

impl ConfigService {
    /// A service that is not started.
    pub fn new(
        clock: clock::MonotonicClock,
        settings: &settings::PlatformSettings,
        seed: u64,
        log: slog::Logger,
    ) -> Self {
        Self {
            clock,
            retention: settings.log_retention,
            seed,
            log,
            task: tokio_sync::Mutex::default(),
        }
    }

    fn follower(&self) -> follower::ConfigFollower {
        let settings = follower::FollowerSettings {
            max_record_bytes: platform::MAX_RECORD_BYTES,
            retention: self.retention,
        };
        follower::ConfigFollower::new(self.clock.now(), settings, self.seed)
    }
}

#[async_trait::async_trait]
impl service::KernelService for ConfigService {
    fn name(&self) -> service::ServiceName {
        names::CONFIG.into()
    }

    async fn start(&self, registry: &registry::ServiceRegistry) -> Result<(), error::ServiceError> {
        let failed = |failure: error::KernelError| error::ServiceError::new(failure);
        let store = registry
            .find::<dyn platform::LogStore>(names::LOG_STORE)
            .map_err(failed)?;
        let mesh = registry
            .find::<dyn border::MeshPort>(names::MESH)
            .map_err(failed)?;
        let feed = sync::Arc::new(ConfigFeed::default());
        let source: sync::Arc<dyn config_feed::ConfigSource> = sync::Arc::clone(&feed) as _;
        registry.publish(names::CONFIG, source).map_err(failed)?;
        let (events, mailbox) = mpsc::channel(MAILBOX_SIZE);
        link_mesh(&mesh, &events);
        let shell = FollowerShell {
            follower: self.follower(),
            clock: self.clock,
            store,
            mesh,
            feed,
            events,
            mailbox,
            log: self.log.clone(),
        };
        *self.task.lock().await = Some(tokio::spawn(shell.run()));
        Ok(())
    }

    async fn drain(&self, _limit: time::Duration) -> service::DrainReport {
        service::DrainReport::default()
    }

    async fn stop(&self) {
        if let Some(task) = self.task.lock().await.take() {
            task.abort();
        }
    }
}

fn link_mesh(
    mesh: &sync::Arc<dyn border::MeshPort>,
    events: &mpsc::Sender<follower::FollowerEvent>,
) {
    let feed = mesh_feed::FeedEvents {
        message: |from, payload| follower::FollowerEvent::PeerMessage { from, payload },
        members: |local, members| {
            let peers = members.iter().map(|member| follower::PeerEntry {
                incarnation: member.incarnation,
                same_domain: member.domain == local.domain,
            });
            follower::FollowerEvent::PeersChanged(peers.collect())
        },
    };
    mesh_feed::link(mesh, border::MeshTopic::Config, events.clone(), feed);
}

/// Feeds the follower and carries out its actions.
#[derive(Debug)]
struct FollowerShell {
    follower: follower::ConfigFollower,
    clock: clock::MonotonicClock,
    store: sync::Arc<dyn platform::LogStore>,
    mesh: sync::Arc<dyn border::MeshPort>,
    feed: sync::Arc<ConfigFeed>,
    events: mpsc::Sender<follower::FollowerEvent>,
    mailbox: mpsc::Receiver<follower::FollowerEvent>,
    log: slog::Logger,
}

impl FollowerShell {
    async fn run(mut self) {
        self.tell(follower::FollowerEvent::Tick);
        loop {
            let wakeup = self.clock.instant_of(self.follower.next_wakeup());
            let event = tokio::select! {
                event = self.mailbox.recv() => match event {
                    Some(event) => event,
                    None => return,
                },
                () = tokio::time::sleep_until(wakeup) => follower::FollowerEvent::Tick,
            };
            self.tell(event);
        }
    }

    fn tell(&mut self, event: follower::FollowerEvent) {
        let mut actions = Vec::new();
        let now = self.clock.now();
        self.follower.handle(now, event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
        self.feed.set_age(self.follower.status(now).age);
    }

    fn carry_out(&self, action: follower::FollowerAction) {
        use follower::FollowerAction as Action;
        match action {
            Action::ReadLog { offset, wait } => {
                let wait = if wait {
                    READ_WAIT
                } else {
                    time::Duration::ZERO
                };
                self.spawn_read(cuminkeel_config::EDIT_STREAM, offset, wait);
            }
            Action::ReadSnapshots { offset } => {
                let wait = time::Duration::ZERO;
                self.spawn_read(cuminkeel_config::SNAPSHOT_STREAM, offset, wait);
            }
            Action::AppendSnapshot { offset, parts } => self.spawn_append(offset, parts),
            Action::SendPeer { to, payload } => self.send_peer(to, payload),
            Action::Folded(record) => {
                slog::info!(self.log, "edit folded";
                    "offset" => record.offset, "verdict" => %record.verdict.summary());
            }
            Action::InForce(lists) => self.feed.put(lists),
            Action::Report(fault) => {
                slog::warn!(self.log, "configuration fault kept out"; "fault" => %fault);
            }
        }
    }

    fn send_peer(&self, to: types::IncarnationId, payload: Vec<u8>) {
        // A lost message is the follower's to repeat.
        let _ = self.mesh.send(to, border::MeshTopic::Config, payload);
    }

    fn spawn_read(&self, stream: &'static str, offset: u64, wait: time::Duration) {
        let store = sync::Arc::clone(&self.store);
        let events = self.events.clone();
        tokio::spawn(async move {
            let read = store.read(stream, offset, READ_LIMIT, wait).await;
            // A stopped follower has nobody left to tell.
            let _ = events.send(read_event(stream, read)).await;
        });
    }

    fn spawn_append(&self, offset: u64, parts: Vec<Vec<u8>>) {
        let store = sync::Arc::clone(&self.store);
        let events = self.events.clone();
        tokio::spawn(async move {
            let event = append_snapshot(&*store, offset, &parts).await;
            let _ = events.send(event).await;
        });
    }
}

async fn append_snapshot(
    store: &dyn platform::LogStore,
    offset: u64,
    parts: &[Vec<u8>],
) -> follower::FollowerEvent {
    let mut position = 0;
    for part in parts {
        match store.append(cuminkeel_config::SNAPSHOT_STREAM, part).await {
            Ok(appended) => position = appended,
            Err(_) => return follower::FollowerEvent::SnapshotAppendFailed,
        }
    }
    follower::FollowerEvent::SnapshotAppended { offset, position }
}

fn read_event(
    stream: &str,
    read: Result<platform::LogBatch, platform::PlatformError>,
) -> follower::FollowerEvent {
    let is_edits = stream == cuminkeel_config::EDIT_STREAM;
    match read {
        Ok(batch) if is_edits => follower::FollowerEvent::LogRead(log_page(batch)),
        Ok(batch) => follower::FollowerEvent::SnapshotsRead(log_page(batch)),
        Err(failure) if is_edits => follower::FollowerEvent::LogFailed(read_fault(&failure)),
        Err(failure) => follower::FollowerEvent::SnapshotsFailed(read_fault(&failure)),
    }
}

fn log_page(batch: platform::LogBatch) -> page::LogPage {
    let records = batch.records.into_iter().map(|record| page::PageRecord {
        offset: record.offset,
        payload: record.payload,
    });
    page::LogPage {
        records: records.collect(),
        head: batch.head,
        tail: batch.tail,
    }
}

fn read_fault(failure: &platform::PlatformError) -> page::ReadFault {
    match failure {
        platform::PlatformError::Trimmed { head, .. } => page::ReadFault::Trimmed { head: *head },
        platform::PlatformError::Unavailable { .. }
        | platform::PlatformError::AppendRefused { .. }
        | platform::PlatformError::Malformed { .. } => page::ReadFault::Unavailable,
    }
}
