//! Links that this process opens to peers. It submits jobs over them and receives the ends of
//! these jobs, the statuses of the peers and leader changes.
//!
//! A link is a task that dials one peer again whenever the connection is lost. A session is the
//! use of one connection.

use std::{
    collections::HashMap,
    sync::{Arc, Weak},
    time,
};

use cuminkeel_dispatch::{job_model, leadership, registry_replica};
use tokio::{
    net,
    sync::{mpsc, oneshot},
};

use crate::{
    link_frame, link_interval, node_state, peer_table, peer_update, send_time, sent_state,
};

/// Timeout of a dial; a round trip between failure domains takes a few ms.
const DIAL_TIMEOUT: time::Duration = time::Duration::from_millis(150);
/// Delay before the second dial, doubled after each further failure.
const MIN_DIAL_BACKOFF: time::Duration = time::Duration::from_millis(50);
/// Maximum delay between dials until [`MAX_FREQUENT_DIALS`] of them have failed, and so about the
/// longest time to detect the end of a short network partition.
const MAX_DIAL_BACKOFF: time::Duration = time::Duration::from_millis(800);
/// Number of consecutive failures, reached after about fifteen seconds, above which the delay is
/// [`INFREQUENT_DIAL_DELAY`] because the VM is probably gone for good.
const MAX_FREQUENT_DIALS: u32 = 20;
/// Delay between dials after [`MAX_FREQUENT_DIALS`]; a VM that returns dials its peers itself, and
/// its hello ends the delay.
const INFREQUENT_DIAL_DELAY: time::Duration = time::Duration::from_secs(5);
/// Time after the last job over a link during which more jobs are expected.
const BUSY_PERIOD: time::Duration = time::Duration::from_secs(2);
/// Number of status intervals without a frame after which a connection counts as lost.
const MAX_MISSED_INTERVALS: u32 = 4;

/// Error for a job whose connection was lost, or whose link has ended, before its end was
/// received. The job may have reached the peer.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLost;

#[derive(Debug)]
enum LinkCommand {
    Submit {
        offer: job_model::JobOffer,
        reply: oneshot::Sender<job_model::JobEnd>,
        submission_id: u64,
    },
    Withdraw {
        submission_id: u64,
    },
    ReadRegistry {
        request_id: u64,
        from_offset: Option<u64>,
        reply: RegistryReply,
    },
    Redial,
}

/// Where the answer to a request for the registry goes: `None` if the peer can't tell.
type RegistryReply = oneshot::Sender<Option<registry_replica::RegistryNews>>;

/// Handle to a link that this process opens.
#[derive(Clone, Debug)]
pub struct PeerLink {
    link_id: u64,
    command_sender: mpsc::UnboundedSender<LinkCommand>,
    next_submission_id: Arc<std::sync::atomic::AtomicU64>,
    next_request_id: Arc<std::sync::atomic::AtomicU64>,
}

/// Job that was sent over a link. Dropping it withdraws the job.
#[derive(Debug)]
pub struct ForwardedJob {
    end: oneshot::Receiver<job_model::JobEnd>,
    command_sender: mpsc::UnboundedSender<LinkCommand>,
    submission_id: u64,
}

impl ForwardedJob {
    /// Waits until the job has ended at the peer, and returns its end.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionLost`] if the connection is lost, or the link has ended, before the end
    /// is received.
    pub async fn wait_for_end(&mut self) -> Result<job_model::JobEnd, ConnectionLost> {
        (&mut self.end).await.map_err(|_| ConnectionLost)
    }
}

impl Drop for ForwardedJob {
    fn drop(&mut self) {
        // Sending fails only after the link has ended, which leaves nothing to withdraw.
        let _closed = self.command_sender.send(LinkCommand::Withdraw {
            submission_id: self.submission_id,
        });
    }
}

impl PeerLink {
    /// Submits a job to the peer's pool.
    pub fn submit(&self, offer: job_model::JobOffer) -> ForwardedJob {
        let submission_id = self
            .next_submission_id
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let (reply, end) = oneshot::channel();
        // A link that has ended drops the reply sender, which the job reports as a lost
        // connection.
        let _closed = self.command_sender.send(LinkCommand::Submit {
            offer,
            reply,
            submission_id,
        });
        ForwardedJob {
            end,
            command_sender: self.command_sender.clone(),
            submission_id,
        }
    }

    /// Asks the peer for the records of the registry from `from_offset` on. The receiver fails if the connection is
    /// down or lost, and if the peer is asked again before it has answered.
    pub fn read_registry(
        &self,
        from_offset: Option<u64>,
    ) -> oneshot::Receiver<Option<registry_replica::RegistryNews>> {
        let (reply, answer) = oneshot::channel();
        let request_id = self
            .next_request_id
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        // A link that has ended drops the reply sender.
        let _closed = self.command_sender.send(LinkCommand::ReadRegistry {
            request_id,
            from_offset,
            reply,
        });
        answer
    }

    /// Skips the delay before the next dial if the link is down.
    pub fn redial(&self) {
        let _closed = self.command_sender.send(LinkCommand::Redial);
    }
}

/// Starts a link, which dials the peer until all handles and jobs of the link are dropped.
pub fn start_link(node: &Arc<node_state::NodeState>, hello: &link_frame::PeerHello) -> PeerLink {
    let (command_sender, command_receiver) = mpsc::unbounded_channel();
    let link_id = node.next_link_id();
    let link = LinkTask {
        node: Arc::downgrade(node),
        link_id,
        name: Arc::clone(&hello.name),
        address: Arc::clone(&hello.link_address),
        failure_domain: Arc::clone(&hello.failure_domain),
        is_local: hello.failure_domain == node.hello.failure_domain,
        command_receiver,
    };
    tokio::spawn(link.run());
    PeerLink {
        link_id,
        command_sender,
        next_submission_id: Arc::default(),
        next_request_id: Arc::default(),
    }
}

/// Requests the identity of the process at the seed `address`.
///
/// # Errors
///
/// Returns an error if the connection fails, if there is no response within the timeout of a
/// dial, or if the response is not a hello.
pub async fn request_hello(
    node: &node_state::NodeState,
    address: &str,
) -> Result<link_frame::PeerHello, link_frame::LinkError> {
    let exchange = async {
        let mut stream = net::TcpStream::connect(address).await?;
        link_frame::write_frames(
            &mut stream,
            &[link_frame::LinkFrame::Hello(node.hello.clone())],
        )
        .await?;
        match link_frame::read_frame(&mut stream).await? {
            link_frame::LinkFrame::Hello(hello) => Ok(hello),
            _ => Err(link_frame::LinkError::NoHello),
        }
    };
    tokio::time::timeout(DIAL_TIMEOUT, exchange)
        .await
        .unwrap_or(Err(link_frame::LinkError::Silent))
}

/// Task of one link.
struct LinkTask {
    node: Weak<node_state::NodeState>,
    link_id: u64,
    name: Arc<str>,
    address: Arc<str>,
    failure_domain: Arc<str>,
    is_local: bool,
    command_receiver: mpsc::UnboundedReceiver<LinkCommand>,
}

impl LinkTask {
    async fn run(mut self) {
        let mut delay = MIN_DIAL_BACKOFF;
        let mut consecutive_failures = 0;
        while let Some(node) = self.node.upgrade() {
            let error = match self.dial(&node).await {
                Ok((stream, sent_state)) => {
                    delay = MIN_DIAL_BACKOFF;
                    consecutive_failures = 0;
                    self.run_session(&node, stream, sent_state).await
                }
                Err(error) => error,
            };
            if matches!(error, link_frame::LinkError::Unwanted) {
                return;
            }
            self.record_failure(&node, &error);
            drop(node);
            if !self.wait_to_dial(delay).await {
                return;
            }
            consecutive_failures += 1;
            delay = if consecutive_failures > MAX_FREQUENT_DIALS {
                INFREQUENT_DIAL_DELAY
            } else {
                (delay * 2).min(MAX_DIAL_BACKOFF)
            };
        }
    }

    /// Connects to the peer and exchanges hellos. Returns the connection and what was sent over it.
    async fn dial(
        &self,
        node: &node_state::NodeState,
    ) -> Result<(net::TcpStream, sent_state::SentState), link_frame::LinkError> {
        let exchange = async {
            let mut stream = net::TcpStream::connect(&*self.address).await?;
            stream.set_nodelay(true)?;
            let mut sent_state = sent_state::SentState::default();
            let frames: Vec<link_frame::LinkFrame> = [
                Some(link_frame::LinkFrame::Hello(node.hello.clone())),
                sent_state.evacuation_change(node),
                sent_state.new_losses(node, &self.name),
                Some(link_frame::LinkFrame::Status(node.own_status())),
            ]
            .into_iter()
            .flatten()
            .collect();
            link_frame::write_frames(&mut stream, &frames).await?;
            match link_frame::read_frame(&mut stream).await? {
                link_frame::LinkFrame::Hello(hello) if hello.name == self.name => {
                    Ok((stream, sent_state))
                }
                _ => Err(link_frame::LinkError::NoHello),
            }
        };
        tokio::time::timeout(DIAL_TIMEOUT, exchange)
            .await
            .unwrap_or(Err(link_frame::LinkError::Silent))
    }

    fn record_failure(&self, node: &node_state::NodeState, error: &link_frame::LinkError) {
        let now = node.now();
        let was_refused = matches!(error, link_frame::LinkError::Socket { source }
            if source.kind() == std::io::ErrorKind::ConnectionRefused);
        let mut peers = node.peers();
        if self.current_entry(&mut peers).is_none() {
            return;
        }
        // A broken connection doesn't show that the process has ended; a dial that fails after it does.
        let has_left = peers
            .get(&self.name)
            .is_some_and(|peer| peer.status.leaving && !peer.connected);
        if has_left {
            // If the VM starts again, its new process announces itself.
            slog::info!(node.logger, "peer_left"; "peer" => &*self.name);
            peers.remove(&self.name);
        }
        if let Some(peer) = self.current_entry(&mut peers) {
            if peer.connected {
                slog::warn!(node.logger, "peer_lost"; "peer" => &*self.name, "cause" => %error);
                peer.disconnected_at = Some(now);
            }
            peer.record_link_failure(now);
            peer.connection_refused = was_refused;
        }
        drop(peers);
        node.notify_peer_change();
    }

    /// Returns the peer's entry, unless another link has replaced this one.
    fn current_entry<'a>(
        &self,
        peers: &'a mut peer_table::PeerTable,
    ) -> Option<&'a mut peer_table::PeerEntry> {
        peers.get_mut(&self.name).filter(|peer| {
            peer.link
                .as_ref()
                .is_some_and(|link| link.link_id == self.link_id)
        })
    }

    /// Waits before the next dial. Jobs submitted meanwhile are not sent and get `NotLeader`,
    /// whether or not the peer leads, so that they may be offered again; jobs submitted during a
    /// dial wait for its result. Returns false if the link is no longer needed.
    async fn wait_to_dial(&mut self, delay: time::Duration) -> bool {
        let dial_at = tokio::time::Instant::now() + delay;
        loop {
            match tokio::time::timeout_at(dial_at, self.command_receiver.recv()).await {
                Err(_) | Ok(Some(LinkCommand::Redial)) => return true,
                Ok(None) => return false,
                Ok(Some(LinkCommand::Submit { reply, .. })) => {
                    // Sending fails if the submitter no longer waits.
                    let _dropped = reply.send(job_model::JobEnd::NotLeader);
                }
                // Dropping the reply sender tells that there is no connection.
                Ok(Some(LinkCommand::Withdraw { .. } | LinkCommand::ReadRegistry { .. })) => {}
            }
        }
    }

    async fn run_session(
        &mut self,
        node: &Arc<node_state::NodeState>,
        stream: net::TcpStream,
        sent_state: sent_state::SentState,
    ) -> link_frame::LinkError {
        let (reader, mut writer) = stream.into_split();
        let (frame_sender, mut frame_receiver) = mpsc::channel(64);
        let reader_task = tokio::spawn(read_frames(reader, frame_sender));
        let mut session = LinkSession {
            pending_replies: HashMap::new(),
            registry_request: None,
            local_domain: Arc::clone(&node.hello.failure_domain),
            last_frame_at: node.now(),
            interval: self.interval(node, false),
            last_job_at: None,
            sent_state,
            send_times: send_time::SendTimes::default(),
            has_status: false,
        };
        if let Some(peer) = self.current_entry(&mut node.peers()) {
            peer.record_connected();
        }
        slog::info!(node.logger, "peer_connected"; "peer" => &*self.name);
        node.notify_peer_change();
        let mut status_changes = node.status_changes();
        let mut next_tick = tokio::time::Instant::now();
        let error = loop {
            let mut outgoing = Vec::new();
            tokio::select! {
                biased;
                frame = frame_receiver.recv() => match frame {
                    Some(Ok(frame)) => self.apply_frame(node, &mut session, frame, &mut outgoing),
                    Some(Err(error)) => break error,
                    None => break link_frame::LinkError::Silent,
                },
                command = self.command_receiver.recv() => match command {
                    Some(command) => {
                        let was_busy = session.is_busy(node.now());
                        session.apply_command(command, node.now(), &mut outgoing);
                        while let Ok(command) = self.command_receiver.try_recv() {
                            session.apply_command(command, node.now(), &mut outgoing);
                        }
                        if !was_busy && session.is_busy(node.now()) {
                            // The peer expects statuses at the shorter interval from now on.
                            next_tick = tokio::time::Instant::now();
                        }
                    }
                    None => break link_frame::LinkError::Unwanted,
                },
                _ = status_changes.changed() => {
                    self.push_status(node, &mut session, &mut outgoing);
                    next_tick = tokio::time::Instant::now() + session.interval;
                }
                () = tokio::time::sleep_until(next_tick) => {
                    if node.now() > session.last_frame_at + session.interval * MAX_MISSED_INTERVALS {
                        break link_frame::LinkError::Silent;
                    }
                    self.push_status(node, &mut session, &mut outgoing);
                    next_tick = tokio::time::Instant::now() + session.interval;
                }
            }
            if !outgoing.is_empty() {
                outgoing.insert(0, session.send_times.frame(node.now()));
                let write = link_frame::write_frames(&mut writer, &outgoing);
                match tokio::time::timeout(session.interval * MAX_MISSED_INTERVALS, write).await {
                    Ok(Ok(())) => {}
                    Ok(Err(error)) => break error,
                    Err(_) => break link_frame::LinkError::Silent,
                }
            }
        };
        reader_task.abort();
        error
    }

    fn push_status(
        &self,
        node: &node_state::NodeState,
        session: &mut LinkSession,
        outgoing: &mut Vec<link_frame::LinkFrame>,
    ) {
        let now = node.now();
        let interval = self.interval(node, session.is_busy(now));
        session.set_interval(interval, now);
        outgoing.push(link_frame::LinkFrame::Status(node.own_status()));
        let sent_state = &mut session.sent_state;
        outgoing.extend(sent_state.news(node, &self.name, &self.failure_domain));
    }

    /// Returns the status interval of this link, which depends on the purpose of the statuses.
    fn interval(&self, node: &node_state::NodeState, is_busy: bool) -> time::Duration {
        let status = node
            .peers()
            .get(&self.name)
            .map_or_else(link_frame::PeerStatus::default, |peer| peer.status);
        let has_leader = || {
            node.domain_members(node.now())
                .iter()
                .any(|member| member.reachable && member.held_servers > 0)
        };
        let holds_servers = status.held_servers > 0;
        // A peer that holds servers and reports no shards is taken for the only leader.
        let is_only_leader = status.shards.is_empty() || status.shards == leadership::ShardSet::ALL;
        let purpose = match (self.is_local, holds_servers) {
            (true, true) if !is_only_leader => link_interval::LinkPurpose::ShardLeader,
            (true, holds_servers) if holds_servers || !has_leader() => {
                link_interval::LinkPurpose::Leader
            }
            (false, true) => link_interval::LinkPurpose::Spillover,
            (true | false, _) => link_interval::LinkPurpose::Standby,
        };
        link_interval::status_interval(self.is_local, purpose, is_busy)
    }

    fn apply_frame(
        &self,
        node: &Arc<node_state::NodeState>,
        session: &mut LinkSession,
        frame: link_frame::LinkFrame,
        outgoing: &mut Vec<link_frame::LinkFrame>,
    ) {
        let now = node.now();
        let sent_at = session.send_times.sent_at(now);
        match frame {
            link_frame::LinkFrame::SendTime {
                sender_clock,
                receiver_clock,
            } => session.send_times.apply(sender_clock, receiver_clock, now),
            link_frame::LinkFrame::Status(status) => {
                // The peer has lived at least until it sent the frame, whenever the frame is read.
                session.last_frame_at = session.last_frame_at.max(sent_at);
                session.has_status = true;
                peer_update::apply_status(node, &self.name, status, sent_at);
                if let Some(peer) = self.current_entry(&mut node.peers()) {
                    peer.probed = true;
                }
                outgoing.extend(session.sent_state.newer_config(node, &status));
            }
            link_frame::LinkFrame::Room(room) => {
                peer_update::apply_room(node, &self.name, room, sent_at);
            }
            link_frame::LinkFrame::Leaders(change) => {
                peer_update::apply_leader_change(node, &self.name, change);
            }
            link_frame::LinkFrame::End { submission_id, end } => {
                if let Some(reply) = session.pending_replies.remove(&submission_id) {
                    // Sending fails if the submitter no longer waits.
                    let _dropped = reply.send(end);
                }
            }
            link_frame::LinkFrame::Config { body } => node.adopt_newer_config(body.into(), "peer"),
            link_frame::LinkFrame::Evacuations(state) => {
                outgoing.extend(session.sent_state.apply_peer_evacuations(node, state));
            }
            link_frame::LinkFrame::LostRuns(losses) => {
                node.pool.merge_losses(losses, &self.name);
            }
            link_frame::LinkFrame::RegistryAnswer { request_id, news } => {
                let request = session
                    .registry_request
                    .take_if(|(pending_id, _)| *pending_id == request_id);
                if let Some((_, reply)) = request {
                    // Sending fails if the asker no longer waits.
                    let _dropped = reply.send(news);
                }
            }
            link_frame::LinkFrame::Hello(_)
            | link_frame::LinkFrame::RegistryRequest { .. }
            | link_frame::LinkFrame::Resumed { .. }
            | link_frame::LinkFrame::Submit { .. }
            | link_frame::LinkFrame::Withdraw { .. } => {}
        }
    }
}

/// State of one connection of a link.
struct LinkSession {
    pending_replies: HashMap<u64, oneshot::Sender<job_model::JobEnd>>,
    /// Number of the last request for the registry, which is not answered, and where its answer goes.
    registry_request: Option<(u64, RegistryReply)>,
    local_domain: Arc<str>,
    /// Time of the last frame from the peer, or of the last change of the interval.
    last_frame_at: time::Duration,
    interval: time::Duration,
    /// Time at which a job was last sent.
    last_job_at: Option<time::Duration>,
    sent_state: sent_state::SentState,
    send_times: send_time::SendTimes,
    /// Whether the peer has sent a status, and with it a reading of its clock.
    has_status: bool,
}

impl LinkSession {
    fn set_interval(&mut self, interval: time::Duration, now: time::Duration) {
        if interval != self.interval {
            // The timeout for frames is a multiple of the interval in force, so it starts anew.
            self.interval = interval;
            self.last_frame_at = now;
        }
    }

    fn is_busy(&self, now: time::Duration) -> bool {
        !self.pending_replies.is_empty()
            || self.last_job_at.is_some_and(|at| now < at + BUSY_PERIOD)
    }

    fn apply_command(
        &mut self,
        command: LinkCommand,
        now: time::Duration,
        outgoing: &mut Vec<link_frame::LinkFrame>,
    ) {
        match command {
            // The peer could not tell when the offer was sent.
            LinkCommand::Submit { reply, .. } if !self.has_status => {
                let _dropped = reply.send(job_model::JobEnd::NotLeader);
            }
            LinkCommand::Submit {
                offer,
                reply,
                submission_id,
            } => {
                self.last_job_at = Some(now);
                self.pending_replies.insert(submission_id, reply);
                if offer.is_resumed {
                    outgoing.push(link_frame::LinkFrame::Resumed { submission_id });
                }
                outgoing.push(link_frame::LinkFrame::Submit {
                    submission_id,
                    offer,
                });
            }
            LinkCommand::Withdraw { submission_id } => {
                if self.pending_replies.remove(&submission_id).is_some() {
                    outgoing.push(link_frame::LinkFrame::Withdraw { submission_id });
                }
            }
            LinkCommand::ReadRegistry {
                request_id,
                from_offset,
                reply,
            } => {
                self.registry_request = Some((request_id, reply));
                outgoing.push(link_frame::LinkFrame::RegistryRequest {
                    request_id,
                    failure_domain: Arc::clone(&self.local_domain),
                    from_offset,
                });
            }
            LinkCommand::Redial => {}
        }
    }
}

async fn read_frames(
    reader: net::tcp::OwnedReadHalf,
    frame_sender: mpsc::Sender<Result<link_frame::LinkFrame, link_frame::LinkError>>,
) {
    let mut reader = tokio::io::BufReader::new(reader);
    loop {
        let frame = link_frame::read_frame(&mut reader).await;
        let has_failed = frame.is_err();
        if frame_sender.send(frame).await.is_err() || has_failed {
            return;
        }
    }
}
