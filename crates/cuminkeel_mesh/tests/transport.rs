//! Contract tests of the mesh over loopback.

use std::{net, sync, sync::atomic, time};

use cuminkeel_mesh::{border, border::MeshPort, frame, membership, transport};
use cuminkeel_types::{names, time as clock};
use tokio::sync::mpsc;

const WAIT: time::Duration = time::Duration::from_secs(20);

#[derive(Debug)]
struct Recorder {
    messages: mpsc::UnboundedSender<(names::IncarnationId, Vec<u8>)>,
    changes: mpsc::UnboundedSender<border::MemberEvent>,
}

impl border::MeshListener for Recorder {
    fn on_message(&self, from: &border::MemberRecord, payload: &[u8]) {
        let _ = self.messages.send((from.incarnation, payload.to_vec()));
    }
}

impl border::MemberWatcher for Recorder {
    fn on_change(&self, event: &border::MemberEvent) {
        let _ = self.changes.send(event.clone());
    }
}

/// A clock that a test can set forward.
#[derive(Debug)]
struct ShiftedClock {
    system: transport::clock::SystemClock,
    shift_millis: atomic::AtomicU64,
}

impl transport::clock::MeshClock for ShiftedClock {
    fn now(&self) -> clock::TimePoint {
        let shift = self.shift_millis.load(atomic::Ordering::SeqCst);
        self.system.now() + time::Duration::from_millis(shift)
    }

    fn wall(&self) -> clock::WallTime {
        self.system.wall()
    }
}

struct Entry {
    clock: sync::Arc<ShiftedClock>,
    mesh: transport::service::MeshService,
    messages: mpsc::UnboundedReceiver<(names::IncarnationId, Vec<u8>)>,
    changes: mpsc::UnboundedReceiver<border::MemberEvent>,
}

impl Entry {
    async fn start(vm: &str, incarnation: u64, secret: &str) -> Self {
        let clock = sync::Arc::new(ShiftedClock {
            system: transport::clock::SystemClock::new(time::Instant::now()),
            shift_millis: atomic::AtomicU64::new(0),
        });
        let settings = transport::service::MeshSettings {
            record: border::MemberRecord {
                vm: names::VmName::from(vm),
                incarnation: names::IncarnationId(incarnation),
                domain: names::FailureDomain::from("gebze"),
                rack: names::RackName::from("r1"),
                address: net::SocketAddr::from(([127, 0, 0, 1], 0)),
                leaving: false,
            },
            bind: None,
            keys: frame::KeyRing::new([frame::MeshKey::from_secret(secret)]).unwrap(),
            membership: membership::settings::MembershipSettings::default(),
            seed: incarnation,
            clock: clock.clone(),
            logger: slog::Logger::root(slog::Discard, slog::o!()),
        };
        let mesh = transport::service::MeshService::start(settings).await;
        let (message_sender, messages) = mpsc::unbounded_channel();
        let (change_sender, changes) = mpsc::unbounded_channel();
        let recorder = sync::Arc::new(Recorder {
            messages: message_sender,
            changes: change_sender,
        });
        let mesh = mesh.unwrap();
        mesh.listen(border::MeshTopic::Dispatch, recorder.clone());
        mesh.watch(recorder);
        Self {
            clock,
            mesh,
            messages,
            changes,
        }
    }

    async fn wait_for(&mut self, wanted: impl Fn(&border::MemberEvent) -> bool) {
        let waiting = async {
            loop {
                let event = self.changes.recv().await.unwrap();
                if wanted(&event) {
                    return;
                }
            }
        };
        tokio::time::timeout(WAIT, waiting).await.unwrap();
    }

    async fn wait_until_confirmed(&self) {
        let confirmed = async {
            while self.mesh.standing() != border::MemberStanding::Confirmed {
                tokio::task::yield_now().await;
            }
        };
        tokio::time::timeout(WAIT, confirmed).await.unwrap();
    }

    async fn wait_for_member(&mut self, incarnation: u64) {
        let wanted = names::IncarnationId(incarnation);
        self.wait_for(
            |event| matches!(event, border::MemberEvent::Updated(it) if it.incarnation == wanted),
        )
        .await;
    }
}

async fn pair() -> (Entry, Entry) {
    let mut left = Entry::start("left", 1, "key").await;
    let mut right = Entry::start("right", 2, "key").await;
    right.mesh.set_seeds([left.mesh.local().address]);
    left.wait_for_member(2).await;
    right.wait_for_member(1).await;
    (left, right)
}

#[tokio::test(flavor = "multi_thread")]
async fn messages_of_all_sizes_arrive_whole_and_with_their_sender() {
    let (left, mut right) = pair().await;
    for size in [0, 1, 1_100, 1_200, 70_000, 2_000_000] {
        let payload: Vec<u8> = (0..size)
            .map(|at| u8::try_from(at % 251).unwrap())
            .collect();
        let to = names::IncarnationId(2);
        let topic = border::MeshTopic::Dispatch;
        left.mesh.send(to, topic, payload.clone()).unwrap();
        let received = tokio::time::timeout(WAIT, right.messages.recv()).await;
        let (from, received) = received.unwrap().unwrap();
        assert_eq!(from, names::IncarnationId(1));
        assert!(received == payload, "payload of {size} bytes differs");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_send_that_can_not_be_queued_is_refused_with_its_cause() {
    let (left, _right) = pair().await;
    let topic = border::MeshTopic::Dispatch;
    let cases = [
        (2, frame::MAX_TCP_FRAME_BYTES, border::MeshError::TooLarge),
        (3, 10, border::MeshError::UnknownMember),
    ];
    for (to, size, expected) in cases {
        let result = left
            .mesh
            .send(names::IncarnationId(to), topic, vec![0; size]);
        assert_eq!(result, Err(expected));
    }
    left.mesh.stop();
    let result = left.mesh.send(names::IncarnationId(2), topic, vec![0; 10]);
    assert_eq!(result, Err(border::MeshError::Stopped));
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_and_stopping_are_told() {
    let (mut left, right) = pair().await;
    right.mesh.leave();
    left.wait_for(|event| matches!(event, border::MemberEvent::Updated(it) if it.leaving))
        .await;
    right.mesh.stop();
    let gone = border::MemberEvent::Gone(names::IncarnationId(2));
    left.wait_for(|event| *event == gone).await;
    assert!(left.mesh.members().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_vm_replaces_its_earlier_process() {
    let (mut left, mut earlier) = pair().await;
    let later = Entry::start("right", 3, "key").await;
    later.mesh.set_seeds([left.mesh.local().address]);
    left.wait_for(|event| *event == border::MemberEvent::Gone(names::IncarnationId(2)))
        .await;
    left.wait_for_member(3).await;
    earlier
        .wait_for(|event| *event == border::MemberEvent::SelfRejected)
        .await;
    assert_eq!(earlier.mesh.standing(), border::MemberStanding::Rejected);
}

#[tokio::test(flavor = "current_thread")]
async fn a_paused_entry_is_unsure_before_any_task_has_run() {
    let (left, _right) = pair().await;
    left.wait_until_confirmed().await;
    left.clock
        .shift_millis
        .store(10_000, atomic::Ordering::SeqCst);
    assert_eq!(left.mesh.standing(), border::MemberStanding::Unsure);
    left.wait_until_confirmed().await;
    assert_eq!(left.mesh.counters().membership.pauses, 1);
    assert_eq!(left.mesh.members().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_with_another_key_stays_out() {
    let (left, _right) = pair().await;
    let stranger = Entry::start("stranger", 9, "other").await;
    stranger.mesh.set_seeds([left.mesh.local().address]);
    let unproved = transport::counters::DropCause::Unproved;
    let dropped = async {
        while left.mesh.counters().dropped(unproved) < 2 {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(WAIT, dropped).await.unwrap();
    assert_eq!(left.mesh.members().len(), 1);
    assert!(stranger.mesh.members().is_empty());
}
