//! Runs this entry's shares of the allowances.

use std::{sync, time};

use cuminkeel_dispatch::allowance::{self, claims, event, gate, settings as ledger_settings};
use cuminkeel_kernel::{error, registry, service};
use cuminkeel_mesh::border;
use cuminkeel_platform::border as platform;
use tokio::{
    sync::{self as tokio_sync, mpsc},
    task,
};

use super::{mesh_feed, names};
use crate::{clock, config_feed, settings};

/// Records read at once.
const READ_LIMIT: usize = 256;
/// Longest wait of one read for the next record.
const READ_WAIT: time::Duration = time::Duration::from_secs(1);
/// Pause after a failed read.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(200);
/// Events that may wait for the ledger.
const MAILBOX_SIZE: usize = 4_096;
/// Part of the log's retention after which a seat's record is written again.
const REFRESH_DIVISOR: u32 = 4;
/// Refresh of seat records on a log that keeps them for ever.
const DEFAULT_REFRESH: time::Duration = time::Duration::from_hours(1);
/// Pause between two looks at whether a leaving entry has passed its seats on.
const LEAVE_POLL: time::Duration = time::Duration::from_millis(20);
/// Longest time to pass seats on; they are taken over without it, later.
const LEAVE_LIMIT: time::Duration = time::Duration::from_secs(2);

/// A ledger that the decision loop and this service share.
pub type SharedLedger = sync::Mutex<allowance::ShareLedger>;

/// The ledger and its waker, as the decision loop finds them.
#[derive(Clone, Debug)]
pub struct AllowanceDesk {
    ledger: sync::Arc<SharedLedger>,
    events: mpsc::Sender<event::LedgerEvent>,
}

impl AllowanceDesk {
    /// A gate for a dispatch policy.
    pub fn gate(&self) -> gate::LedgerGate {
        let waker = sync::Arc::new(MailboxWaker(self.events.clone()));
        gate::LedgerGate::new(sync::Arc::clone(&self.ledger), waker)
    }

    /// Seats whose units this entry may use at `now`.
    pub fn usable_seats(&self, now: cuminkeel_types::time::TimePoint) -> usize {
        lock(&self.ledger).usable_seats(now).len()
    }
}

#[derive(Debug)]
struct MailboxWaker(mpsc::Sender<event::LedgerEvent>);

impl gate::LedgerWaker for MailboxWaker {
    fn wake(&self) {
        // A full mailbox will wake the ledger anyway.
        let _ = self.0.try_send(event::LedgerEvent::Tick);
    }
}

fn lock(ledger: &SharedLedger) -> sync::MutexGuard<'_, allowance::ShareLedger> {
    ledger.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// The service.
#[derive(Debug)]
pub struct AllowanceService {
    settings: sync::Arc<settings::EntrySettings>,
    clock: clock::MonotonicClock,
    seed: u64,
    running: tokio_sync::Mutex<Option<RunningAllowance>>,
}

#[derive(Debug)]
struct RunningAllowance {
    desk: AllowanceDesk,
    tasks: Vec<task::JoinHandle<()>>,
}

impl AllowanceService {
    /// A service that is not started.
    pub fn new(
        settings: sync::Arc<settings::EntrySettings>,
        clock: clock::MonotonicClock,
        seed: u64,
    ) -> Self {
        Self {
            settings,
            clock,
            seed,
            running: tokio_sync::Mutex::default(),
        }
    }

    fn ledger(&self, local: &border::MemberRecord) -> allowance::ShareLedger {
        let dispatch = &self.settings.dispatch;
        let seats = u16::try_from(dispatch.seats_per_domain).unwrap_or(u16::MAX);
        let retention = self.settings.platform.log_retention;
        let ledger_settings = ledger_settings::LedgerSettings {
            local: share_member(local),
            seats: ledger_settings::SeatMap::new(dispatch.failure_domains.clone(), seats),
            max_task_time: self.settings.backend.max_task_time + self.settings.backend.answer_grace,
            refresh_interval: retention
                .map_or(DEFAULT_REFRESH, |retention| retention / REFRESH_DIVISOR),
        };
        allowance::ShareLedger::new(self.clock.now(), ledger_settings, self.seed)
    }
}

fn share_member(record: &border::MemberRecord) -> ledger_settings::ShareMember {
    ledger_settings::ShareMember {
        incarnation: record.incarnation,
        vm: record.vm.clone(),
        domain: record.domain.clone(),
    }
}

#[async_trait::async_trait]
impl service::KernelService for AllowanceService {
    fn name(&self) -> service::ServiceName {
        names::ALLOWANCE.into()
    }

    async fn start(&self, registry: &registry::ServiceRegistry) -> Result<(), error::ServiceError> {
        let failed = |failure: error::KernelError| error::ServiceError::new(failure);
        let store = registry
            .find::<dyn platform::LogStore>(names::LOG_STORE)
            .map_err(failed)?;
        let mesh = registry
            .find::<dyn border::MeshPort>(names::MESH)
            .map_err(failed)?;
        let config = registry
            .find::<dyn config_feed::ConfigSource>(names::CONFIG)
            .map_err(failed)?;
        let (events, mailbox) = mpsc::channel(MAILBOX_SIZE);
        let desk = AllowanceDesk {
            ledger: sync::Arc::new(sync::Mutex::new(self.ledger(&mesh.local()))),
            events: events.clone(),
        };
        link_mesh(&mesh, &events);
        let shell = LedgerShell {
            ledger: sync::Arc::clone(&desk.ledger),
            clock: self.clock,
            store,
            mesh,
            events: events.clone(),
            mailbox,
            reader: task::JoinSet::new(),
        };
        let tasks = vec![
            tokio::spawn(shell.run()),
            tokio::spawn(feed_terms(config, events)),
        ];
        registry
            .publish(names::ALLOWANCE, sync::Arc::new(desk.clone()))
            .map_err(failed)?;
        *self.running.lock().await = Some(RunningAllowance { desk, tasks });
        Ok(())
    }

    async fn drain(&self, limit: time::Duration) -> service::DrainReport {
        let running = self.running.lock().await;
        let Some(running) = running.as_ref() else {
            return service::DrainReport::default();
        };
        let leaving = event::LedgerEvent::LeaveStarted;
        if running.desk.events.send(leaving).await.is_err() {
            return service::DrainReport::default();
        }
        let passing_on = async {
            while !lock(&running.desk.ledger).has_left() {
                tokio::time::sleep(LEAVE_POLL).await;
            }
        };
        // Seats that nobody took are taken over after the last proof of them.
        let _ = tokio::time::timeout(limit.min(LEAVE_LIMIT), passing_on).await;
        service::DrainReport::default()
    }

    async fn stop(&self) {
        if let Some(running) = self.running.lock().await.take() {
            for task in running.tasks {
                task.abort();
            }
        }
    }
}

/// Reads the next page of the stream of seats, again until it is answered.
async fn read_seats(
    store: sync::Arc<dyn platform::LogStore>,
    offset: u64,
    events: mpsc::Sender<event::LedgerEvent>,
) {
    loop {
        let read = store
            .read(claims::SEAT_STREAM, offset, READ_LIMIT, READ_WAIT)
            .await;
        let page = match read {
            Ok(batch) => seat_page(batch),
            Err(platform::PlatformError::Trimmed { head, .. }) => trimmed_page(head),
            Err(_) => {
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        };
        // A stopped ledger has nobody left to tell.
        let _ = events.send(page).await;
        return;
    }
}

fn seat_page(batch: platform::LogBatch) -> event::LedgerEvent {
    let records = batch
        .records
        .into_iter()
        .map(|record| claims::SeatPageRecord {
            offset: record.offset,
            payload: record.payload,
        });
    event::LedgerEvent::SeatsRead {
        records: records.collect(),
        head: batch.head,
        tail: batch.tail,
    }
}

fn trimmed_page(head: u64) -> event::LedgerEvent {
    event::LedgerEvent::SeatsRead {
        records: Vec::new(),
        head,
        tail: head,
    }
}

/// Tells the ledger of each change of the lists.
async fn feed_terms(
    config: sync::Arc<dyn config_feed::ConfigSource>,
    events: mpsc::Sender<event::LedgerEvent>,
) {
    let mut changes = config.subscribe();
    loop {
        let terms = changes.borrow_and_update().terms();
        let told = events.send(event::LedgerEvent::TermsChanged(terms)).await;
        if told.is_err() || changes.changed().await.is_err() {
            return;
        }
    }
}

fn link_mesh(mesh: &sync::Arc<dyn border::MeshPort>, events: &mpsc::Sender<event::LedgerEvent>) {
    let feed = mesh_feed::FeedEvents {
        message: |from, payload| event::LedgerEvent::Message { from, payload },
        members: |_local, members| {
            event::LedgerEvent::MembersChanged(members.iter().map(share_member).collect())
        },
    };
    mesh_feed::link(mesh, border::MeshTopic::Allowance, events.clone(), feed);
}

/// Feeds the ledger and carries out its actions.
#[derive(Debug)]
struct LedgerShell {
    ledger: sync::Arc<SharedLedger>,
    clock: clock::MonotonicClock,
    store: sync::Arc<dyn platform::LogStore>,
    mesh: sync::Arc<dyn border::MeshPort>,
    events: mpsc::Sender<event::LedgerEvent>,
    mailbox: mpsc::Receiver<event::LedgerEvent>,
    /// The one read under way; it ends with the shell.
    reader: task::JoinSet<()>,
}

impl LedgerShell {
    async fn run(mut self) {
        self.read_on();
        loop {
            let wakeup = lock(&self.ledger).next_wakeup();
            let event = tokio::select! {
                event = self.mailbox.recv() => match event {
                    Some(event) => event,
                    None => return,
                },
                () = tokio::time::sleep_until(self.clock.instant_of(wakeup)) => {
                    event::LedgerEvent::Tick
                }
            };
            self.tell(event);
        }
    }

    fn read_on(&mut self) {
        while self.reader.try_join_next().is_some() {}
        let offset = lock(&self.ledger).seat_offset();
        let store = sync::Arc::clone(&self.store);
        self.reader
            .spawn(read_seats(store, offset, self.events.clone()));
    }

    fn tell(&mut self, event: event::LedgerEvent) {
        let was_page = matches!(event, event::LedgerEvent::SeatsRead { .. });
        let mut actions = Vec::new();
        lock(&self.ledger).handle(self.clock.now(), event, &mut actions);
        for action in actions {
            match action {
                event::LedgerAction::Send { to, payload } => {
                    // A lost message is the ledger's to repeat.
                    let _ = self.mesh.send(to, border::MeshTopic::Allowance, payload);
                }
                event::LedgerAction::AppendSeat(record) => self.append(record),
            }
        }
        if was_page {
            self.read_on();
        }
    }

    fn append(&self, record: Vec<u8>) {
        let store = sync::Arc::clone(&self.store);
        tokio::spawn(async move {
            // What became of it shows in the stream.
            let _ = store.append(claims::SEAT_STREAM, &record).await;
        });
    }
}
