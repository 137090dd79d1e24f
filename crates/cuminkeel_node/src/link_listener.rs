//! Links that peers open to this process. Peers submit jobs over them, and this process
//! responds with the ends of these jobs and its status.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time,
};

use cuminkeel_dispatch::job_model;
use smallvec::SmallVec;
use tokio::{net, sync::mpsc, task};

use crate::{
    connection_gate, link_frame, node_state, peer_update, pool_driver, send_time, sent_state,
};

/// Time for which the jobs of a lost connection go on, so that the peer can submit them again over
/// a new connection or through another process, and the pool attaches the submission to the
/// running job. Two dials that time out and the delays before them take 450 ms.
const ORPHANED_JOB_GRACE: time::Duration = time::Duration::from_millis(500);
/// Time without a frame after which the connection of a peer with jobs here counts as lost, in percent of
/// `ProcessSettings::resend_delay`. It has to exceed the longest status interval of a link with jobs, 0.3 s,
/// twice.
const MAX_SILENCE_PERCENT: u32 = 55;
/// Time for which the jobs of a silent peer go on, in percent of `ProcessSettings::resend_delay`. Together
/// with the silence it has to be less than that: a caller that lost its connection to the peer, too, then
/// sends the job to another pool.
const SILENT_PEER_GRACE_PERCENT: u32 = 25;
/// Time within which the first frame of a connection has to come. The dialling peer gives up long before.
const HELLO_TIMEOUT: time::Duration = time::Duration::from_secs(6);
/// Maximum number of frames that wait while the peer does not read those before: over ten times the jobs that a process
/// has in progress at the target scale, all of which may end at once.
const MAX_UNSENT_FRAMES: usize = 500;
/// Time within which a peer has to read what it asked for of the registry, as its connection holds the bytes until
/// then. The peer gives up after as long as a request to the store may take, 0.6 s.
const ANSWER_WRITE_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Pause before the next accept after an error such as too many open descriptors.
const ACCEPT_RETRY_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Accepts connections of peers' links until the process ends.
pub async fn accept_connections(node: Arc<node_state::NodeState>, listener: net::TcpListener) {
    loop {
        match listener.accept().await {
            // No connection has a frame that is processed for long, so that there is always one to close.
            Ok((stream, _)) => {
                if let Some(seat) = node.gates.links.open(|| node.now()).await {
                    tokio::spawn(serve_connection(Arc::clone(&node), stream, seat));
                }
            }
            Err(error) => {
                slog::warn!(node.logger, "link_accept_failed"; "error" => %error);
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

/// Jobs of a peer's connection by submission id. Finished ones are removed only at the next submission.
type PeerJobs = HashMap<u64, PeerJob>;

/// Job that a peer submitted over a connection.
#[derive(Debug)]
struct PeerJob {
    id: Arc<str>,
    task: task::JoinHandle<()>,
}

/// What is known of a connection after its end.
#[derive(Debug)]
struct SessionState {
    /// Name of the peer; empty before its hello.
    peer: Arc<str>,
    /// Number under which the pool records that the peer waits for its jobs.
    offer_session: job_model::OfferSession,
    last_frame_at: time::Duration,
    jobs: PeerJobs,
    /// Submission that is announced as one that only this process may have started.
    resumed_submission: Option<u64>,
}

impl SessionState {
    /// Returns the offer as received at `sent_at`, and forgets the jobs that have ended.
    fn receive_offer(
        &mut self,
        offer: job_model::JobOffer,
        submission_id: u64,
        sent_at: time::Duration,
    ) -> job_model::JobOffer {
        self.jobs.retain(|_, job| !job.task.is_finished());
        let mut offer = offer.received(&self.peer, self.offer_session, sent_at);
        offer.is_resumed = self.resumed_submission.take() == Some(submission_id);
        offer
    }

    /// Submits the job of an offer that was sent at `sent_at`, and spawns what `send_end` returns.
    fn start_job<F>(
        &mut self,
        node: &node_state::NodeState,
        offer: job_model::JobOffer,
        submission_id: u64,
        sent_at: time::Duration,
        send_end: impl FnOnce(pool_driver::PoolJob) -> F,
    ) where
        F: Future<Output = ()> + Send + 'static,
    {
        let offer = self.receive_offer(offer, submission_id, sent_at);
        let id = Arc::clone(&offer.spec.id);
        let task = tokio::spawn(send_end(node.pool.submit(offer)));
        self.jobs.insert(submission_id, PeerJob { id, task });
    }

    /// Tells the pool that the peer waited at `sent_at` for its jobs that are in progress.
    fn record_sign(&self, node: &node_state::NodeState, sent_at: time::Duration) {
        if has_jobs(&self.jobs) {
            node.pool.record_session_sign(self.offer_session, sent_at);
        }
    }
}

async fn serve_connection(
    node: Arc<node_state::NodeState>,
    stream: net::TcpStream,
    seat: connection_gate::ConnectionSeat,
) {
    let mut session = SessionState {
        peer: Arc::from(""),
        offer_session: node.pool.new_session(),
        last_frame_at: node.now(),
        jobs: HashMap::new(),
        resumed_submission: None,
    };
    let result = tokio::select! {
        result = run_session(&node, stream, &seat, &mut session) => result,
        () = seat.wait_until_closed() => Err(connection_gate::NoRoomError.into()),
    };
    // The place is free, although the jobs of the connection go on for a while.
    drop(seat);
    session.jobs.retain(|_, job| !job.task.is_finished());
    let silent_ms = |now: time::Duration| {
        let silence = now.saturating_sub(session.last_frame_at);
        u64::try_from(silence.as_millis()).unwrap_or(u64::MAX)
    };
    slog::debug!(node.logger, "link_closed"; "cause" => ?result, "peer" => &*session.peer,
        "jobs" => session.jobs.len(), "silent_ms" => silent_ms(node.now()));
    let grace = match result {
        Err(link_frame::LinkError::Silent) => {
            node.settings.resend_delay * SILENT_PEER_GRACE_PERCENT / 100
        }
        Ok(()) | Err(_) => ORPHANED_JOB_GRACE,
    };
    tokio::time::sleep(grace).await;
    session.jobs.retain(|_, job| !job.task.is_finished());
    let silent_ms = silent_ms(node.now());
    for job in session.jobs.values() {
        slog::info!(node.logger, "orphan_withdrawn"; "request" => &*job.id, "peer" => &*session.peer,
            "jobs" => session.jobs.len(), "silent_ms" => silent_ms);
        node.metrics.count_withdrawn_orphan();
        job.task.abort();
    }
}

async fn run_session(
    node: &Arc<node_state::NodeState>,
    stream: net::TcpStream,
    seat: &connection_gate::ConnectionSeat,
    session: &mut SessionState,
) -> Result<(), link_frame::LinkError> {
    stream.set_nodelay(true)?;
    let (reader, mut writer) = stream.into_split();
    let mut reader = tokio::io::BufReader::new(reader);
    let hello = read_hello(&mut reader, node, seat).await?;
    let frame_room = link_frame::FrameRoom::of_frame(seat);
    let peer_name = Arc::clone(&hello.name);
    session.peer = Arc::clone(&peer_name);
    let peer_domain = Arc::clone(&hello.failure_domain);
    let mut status_changes = node.status_changes();
    let mut sent_state = sent_state::SentState::default();
    let mut send_times = send_time::SendTimes::default();
    let peer_release = Arc::<link_frame::PeerRelease>::default();
    let first_frames = first_frames(
        node,
        &mut sent_state,
        &mut send_times,
        &peer_name,
        &peer_domain,
    );
    link_frame::write_frames(&mut writer, &first_frames).await?;
    node_state::upsert_peer(node, hello);
    let (frame_sender, writer_task) = FrameSender::start(writer);
    let max_silence = node.settings.resend_delay * MAX_SILENCE_PERCENT / 100;
    let result = loop {
        let frame = {
            let frame = link_frame::read_frame_within(&mut reader, frame_room, || node.now());
            let frame = watch_silence(frame, &session.jobs, max_silence);
            tokio::pin!(frame);
            loop {
                tokio::select! {
                    frame = frame.as_mut() => break frame.and_then(|frame| frame_sender.check_peer(frame)),
                    // The peer's next status may be a second away.
                    Ok(()) = status_changes.changed() => {
                        for frame in sent_state.urgent_news(node, &peer_name) {
                            frame_sender.send(frame);
                        }
                    }
                    () = frame_sender.wait_until_ended() => {
                        break Err(link_frame::LinkError::UnreadAnswers);
                    }
                }
            }
        };
        if let Ok(frame) = &frame {
            session.last_frame_at = node.now();
            peer_release.record_frame(frame);
        }
        match frame {
            Ok(link_frame::LinkFrame::Status(status)) => {
                let now = node.now();
                let sent_at = send_times.sent_at(now);
                session.record_sign(node, sent_at);
                peer_update::apply_status(node, &peer_name, status, sent_at);
                let responses = [
                    Some(send_times.frame(now)),
                    Some(link_frame::LinkFrame::Status(node.own_status())),
                    sent_state.newer_config(node, &status),
                ];
                let news = sent_state.news(node, &peer_name, &peer_domain);
                for response in responses.into_iter().flatten().chain(news) {
                    frame_sender.send(response);
                }
            }
            Ok(link_frame::LinkFrame::SendTime {
                sender_clock,
                receiver_clock,
            }) => send_times.apply(sender_clock, receiver_clock, node.now()),
            Ok(link_frame::LinkFrame::Evacuations(state)) => {
                if let Some(correction) = sent_state.apply_peer_evacuations(node, state) {
                    frame_sender.send(correction);
                }
            }
            Ok(link_frame::LinkFrame::Submit {
                submission_id,
                offer,
            }) => {
                let sent_at = send_times.sent_at(node.now());
                let release = Arc::clone(&peer_release);
                session.start_job(node, offer, submission_id, sent_at, |job| {
                    send_job_end(job, submission_id, release, frame_sender.clone())
                });
            }
            Ok(link_frame::LinkFrame::RegistryRequest {
                request_id,
                failure_domain,
                from_offset,
            }) => {
                let answer = node.answer_registry_request(request_id, &failure_domain, from_offset);
                frame_sender.send(answer);
            }
            Ok(frame) => apply_frame(node, &peer_name, frame, &send_times, session),
            Err(error) => break Err(error),
        }
    };
    writer_task.abort();
    result
}

/// Returns the first frames to the peer. The evacuations and the leaders precede the status because the peer counts
/// this process as probed when the status arrives.
fn first_frames(
    node: &node_state::NodeState,
    sent_state: &mut sent_state::SentState,
    send_times: &mut send_time::SendTimes,
    peer_name: &str,
    peer_domain: &str,
) -> SmallVec<[link_frame::LinkFrame; 7]> {
    [
        Some(link_frame::LinkFrame::Hello(node.hello.clone())),
        sent_state.evacuation_change(node),
        sent_state.leader_change(node),
        sent_state.new_losses(node, peer_name),
        Some(send_times.frame(node.now())),
        Some(link_frame::LinkFrame::Status(node.own_status())),
        sent_state.room_change(node, peer_domain),
    ]
    .into_iter()
    .flatten()
    .collect()
}

/// Reads the first frame of a connection, which has to be a hello.
async fn read_hello<R>(
    reader: &mut R,
    node: &node_state::NodeState,
    seat: &connection_gate::ConnectionSeat,
) -> Result<link_frame::PeerHello, link_frame::LinkError>
where
    R: tokio::io::AsyncRead + Unpin,
{
    let room = link_frame::FrameRoom::of_hello(seat);
    let frame = link_frame::read_frame_within(reader, room, || node.now());
    match tokio::time::timeout(HELLO_TIMEOUT, frame).await {
        Ok(Ok(link_frame::LinkFrame::Hello(hello))) => Ok(hello),
        Ok(Ok(_)) => Err(link_frame::LinkError::NoHello),
        Ok(Err(error)) => Err(error),
        Err(_) => Err(link_frame::LinkError::Silent),
    }
}

/// Queue of the frames that are to be written to a peer.
#[derive(Clone, Debug)]
struct FrameSender {
    sender: mpsc::UnboundedSender<link_frame::LinkFrame>,
    /// Number of frames that have not been written.
    unsent_count: Arc<AtomicUsize>,
}

impl FrameSender {
    /// Starts the task that writes the frames.
    fn start(writer: net::tcp::OwnedWriteHalf) -> (Self, task::JoinHandle<()>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let unsent_count = Arc::<AtomicUsize>::default();
        let writing = write_queued_frames(writer, receiver, Arc::clone(&unsent_count));
        let queue = Self {
            sender,
            unsent_count,
        };
        (queue, tokio::spawn(writing))
    }

    /// Queues `frame`. A frame for a lost connection is dropped, as the reader detects the loss as well.
    fn send(&self, frame: link_frame::LinkFrame) {
        self.unsent_count.fetch_add(1, Ordering::Relaxed);
        let _closed = self.sender.send(frame);
    }

    /// Waits until no frame is written any more: the connection is lost, or the peer does not read a long answer.
    async fn wait_until_ended(&self) {
        self.sender.closed().await;
    }

    /// Returns `frame`, which the peer has sent, or an error if the peer does not read what it is sent.
    fn check_peer(
        &self,
        frame: link_frame::LinkFrame,
    ) -> Result<link_frame::LinkFrame, link_frame::LinkError> {
        if self.unsent_count.load(Ordering::Relaxed) > MAX_UNSENT_FRAMES {
            return Err(link_frame::LinkError::UnreadAnswers);
        }
        Ok(frame)
    }
}

async fn write_queued_frames(
    mut writer: net::tcp::OwnedWriteHalf,
    mut frame_receiver: mpsc::UnboundedReceiver<link_frame::LinkFrame>,
    unsent_count: Arc<AtomicUsize>,
) {
    while let Some(frame) = frame_receiver.recv().await {
        let mut frames = vec![frame];
        while let Ok(frame) = frame_receiver.try_recv() {
            frames.push(frame);
        }
        let has_registry_answer = frames
            .iter()
            .any(|frame| matches!(frame, link_frame::LinkFrame::RegistryAnswer { .. }));
        let write = link_frame::write_frames(&mut writer, &frames);
        let result = if has_registry_answer {
            tokio::time::timeout(ANSWER_WRITE_TIMEOUT, write).await
        } else {
            Ok(write.await)
        };
        if !matches!(result, Ok(Ok(()))) {
            return;
        }
        unsent_count.fetch_sub(frames.len(), Ordering::Relaxed);
    }
}

/// Waits for the next frame. Returns an error if none arrives for `max_silence` while jobs of the peer are
/// in progress.
async fn watch_silence<F>(
    frame: F,
    jobs: &PeerJobs,
    max_silence: time::Duration,
) -> Result<link_frame::LinkFrame, link_frame::LinkError>
where
    F: Future<Output = Result<link_frame::LinkFrame, link_frame::LinkError>>,
{
    tokio::pin!(frame);
    loop {
        match tokio::time::timeout(max_silence, frame.as_mut()).await {
            Ok(result) => return result,
            Err(_) if has_jobs(jobs) => return Err(link_frame::LinkError::Silent),
            // A peer without jobs here may send statuses less often.
            Err(_) => {}
        }
    }
}

/// Whether jobs of the peer are in progress.
fn has_jobs(jobs: &HashMap<u64, PeerJob>) -> bool {
    jobs.values().any(|job| !job.task.is_finished())
}

fn apply_frame(
    node: &Arc<node_state::NodeState>,
    peer_name: &Arc<str>,
    frame: link_frame::LinkFrame,
    send_times: &send_time::SendTimes,
    session: &mut SessionState,
) {
    match frame {
        link_frame::LinkFrame::Resumed { submission_id } => {
            session.resumed_submission = Some(submission_id);
        }
        link_frame::LinkFrame::Leaders(change) => {
            peer_update::apply_leader_change(node, peer_name, change);
        }
        link_frame::LinkFrame::Room(room) => {
            let sent_at = send_times.sent_at(node.now());
            peer_update::apply_room(node, peer_name, room, sent_at);
        }
        link_frame::LinkFrame::Withdraw { submission_id } => {
            if let Some(job) = session.jobs.remove(&submission_id) {
                job.task.abort();
            }
        }
        link_frame::LinkFrame::Config { body } => node.adopt_newer_config(body.into(), "peer"),
        link_frame::LinkFrame::LostRuns(losses) => node.pool.merge_losses(losses, peer_name),
        link_frame::LinkFrame::End { .. }
        | link_frame::LinkFrame::Evacuations(_)
        | link_frame::LinkFrame::Hello(_)
        | link_frame::LinkFrame::RegistryAnswer { .. }
        | link_frame::LinkFrame::RegistryRequest { .. }
        | link_frame::LinkFrame::SendTime { .. }
        | link_frame::LinkFrame::Status(_)
        | link_frame::LinkFrame::Submit { .. } => {}
    }
}

async fn send_job_end(
    mut job: pool_driver::PoolJob,
    submission_id: u64,
    peer_release: Arc<link_frame::PeerRelease>,
    frame_sender: FrameSender,
) {
    let end = job.wait_for_end().await;
    frame_sender.send(peer_release.end_frame(submission_id, end));
}
