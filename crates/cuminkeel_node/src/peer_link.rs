//! The link that this process dials to a peer: jobs out, ends and states back.

use std::{
    collections::HashMap,
    sync::{Arc, Weak},
    time,
};

use cuminkeel_dispatch::{job_model, leadership};
use tokio::{
    net,
    sync::{mpsc, oneshot},
};

use crate::{link_delta, link_frame, link_interval, node_state, peer_table, peer_update};

/// Time for a dial: a round trip between failure domains takes a few ms.
const DIAL_TIMEOUT: time::Duration = time::Duration::from_millis(150);
/// Pause before the second dial; doubled each time.
const MIN_DIAL_PAUSE: time::Duration = time::Duration::from_millis(50);
/// Longest pause between dials: a healed cut is noticed within it.
const MAX_DIAL_PAUSE: time::Duration = time::Duration::from_millis(800);
/// Dials in a row, some fifteen seconds, after which a VM is likely gone for good.
const PATIENT_DIALS: u32 = 20;
/// Pause between dials from then on; a VM that is back dials by itself.
const RARE_DIAL_PAUSE: time::Duration = time::Duration::from_secs(5);
/// Time after the last job over a link in which more are expected.
const BUSY_TIME: time::Duration = time::Duration::from_secs(2);
/// Intervals without a frame after which a link counts as broken.
const SILENT_INTERVALS: u32 = 4;

/// The link is lost; the job may have reached the peer.
#[derive(Clone, Copy, Debug)]
pub struct LinkLost;

#[derive(Debug)]
enum LinkOrder {
    Submit {
        ticket: job_model::JobTicket,
        reply: oneshot::Sender<job_model::JobEnd>,
        request: u64,
    },
    Withdraw {
        request: u64,
    },
    Redial,
}

/// Orders for a link.
#[derive(Clone, Debug)]
pub struct PeerLink {
    number: u64,
    orders: mpsc::UnboundedSender<LinkOrder>,
    requests: Arc<std::sync::atomic::AtomicU64>,
}

/// A job that was sent over a link; dropped, it is withdrawn.
#[derive(Debug)]
pub struct ForwardedJob {
    end: oneshot::Receiver<job_model::JobEnd>,
    orders: mpsc::UnboundedSender<LinkOrder>,
    request: u64,
}

impl ForwardedJob {
    /// How the job ended at the peer.
    ///
    /// # Errors
    ///
    /// Fails when the link is lost before the end was received.
    pub async fn wait_for_end(&mut self) -> Result<job_model::JobEnd, LinkLost> {
        (&mut self.end).await.map_err(|_| LinkLost)
    }
}

impl Drop for ForwardedJob {
    fn drop(&mut self) {
        // Without a link there is nothing left to withdraw.
        let _closed = self.orders.send(LinkOrder::Withdraw {
            request: self.request,
        });
    }
}

impl PeerLink {
    /// Sends a job to the peer's pool.
    pub fn submit(&self, ticket: job_model::JobTicket) -> ForwardedJob {
        let request = self
            .requests
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let (reply, end) = oneshot::channel();
        // A closed link drops the reply, which the receiver sees as a lost link.
        let _closed = self.orders.send(LinkOrder::Submit {
            ticket,
            reply,
            request,
        });
        ForwardedJob {
            end,
            orders: self.orders.clone(),
            request,
        }
    }

    /// Dials at once if the link is down.
    pub fn redial(&self) {
        let _closed = self.orders.send(LinkOrder::Redial);
    }
}

/// Starts a link that is dialled until it is dropped.
pub fn start_link(node: &Arc<node_state::NodeState>, hello: &link_frame::PeerHello) -> PeerLink {
    let (orders, inbox) = mpsc::unbounded_channel();
    let number = node.next_link_number();
    let link = LinkTask {
        node: Arc::downgrade(node),
        number,
        name: Arc::clone(&hello.name),
        address: Arc::clone(&hello.link_address),
        near: hello.failure_domain == node.hello.failure_domain,
        inbox,
    };
    tokio::spawn(link.run());
    PeerLink {
        number,
        orders,
        requests: Arc::default(),
    }
}

/// Asks who is at `address`, which a seed names.
///
/// # Errors
///
/// Fails when nobody answers in time or the answer is no hello.
pub async fn ask_hello(
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

struct LinkTask {
    node: Weak<node_state::NodeState>,
    number: u64,
    name: Arc<str>,
    address: Arc<str>,
    near: bool,
    inbox: mpsc::UnboundedReceiver<LinkOrder>,
}

impl LinkTask {
    async fn run(mut self) {
        let mut pause = MIN_DIAL_PAUSE;
        let mut dials = 0;
        while let Some(node) = self.node.upgrade() {
            let failure = match self.dial(&node).await {
                Ok(stream) => {
                    pause = MIN_DIAL_PAUSE;
                    dials = 0;
                    self.serve(&node, stream).await
                }
                Err(failure) => failure,
            };
            if matches!(failure, link_frame::LinkError::Unwanted) {
                return;
            }
            self.note_broken(&node, &failure);
            drop(node);
            if !self.wait(pause).await {
                return;
            }
            dials += 1;
            pause = if dials > PATIENT_DIALS {
                RARE_DIAL_PAUSE
            } else {
                (pause * 2).min(MAX_DIAL_PAUSE)
            };
        }
    }

    async fn dial(
        &self,
        node: &node_state::NodeState,
    ) -> Result<net::TcpStream, link_frame::LinkError> {
        let exchange = async {
            let mut stream = net::TcpStream::connect(&*self.address).await?;
            stream.set_nodelay(true)?;
            let frames = [
                link_frame::LinkFrame::Hello(node.hello.clone()),
                link_frame::LinkFrame::Status(node.own_status()),
            ];
            link_frame::write_frames(&mut stream, &frames).await?;
            match link_frame::read_frame(&mut stream).await? {
                link_frame::LinkFrame::Hello(hello) if hello.name == self.name => Ok(stream),
                _ => Err(link_frame::LinkError::NoHello),
            }
        };
        tokio::time::timeout(DIAL_TIMEOUT, exchange)
            .await
            .unwrap_or(Err(link_frame::LinkError::Silent))
    }

    fn note_broken(&self, node: &node_state::NodeState, failure: &link_frame::LinkError) {
        let now = node.now();
        let refused = matches!(failure, link_frame::LinkError::Socket { source }
            if source.kind() == std::io::ErrorKind::ConnectionRefused);
        let mut peers = node.peers();
        if self.entry(&mut peers).is_none() {
            return;
        }
        let left = peers
            .get(&self.name)
            .is_some_and(|peer| peer.status.leaving && peer.connected);
        if left {
            // Should its VM start again, the new process introduces itself.
            slog::info!(node.logger, "peer_left"; "peer" => &*self.name);
            peers.remove(&self.name);
        }
        if let Some(peer) = self.entry(&mut peers) {
            if peer.connected {
                slog::warn!(node.logger, "peer_lost"; "peer" => &*self.name, "cause" => %failure);
                peer.disconnected_at = Some(now);
            }
            peer.record_link_failure(now);
            peer.connection_refused = refused;
        }
        drop(peers);
        node.notify_peer_change();
    }

    /// The peer's entry, unless the link was replaced by another one.
    fn entry<'a>(
        &self,
        peers: &'a mut peer_table::PeerTable,
    ) -> Option<&'a mut peer_table::PeerEntry> {
        peers.get_mut(&self.name).filter(|peer| {
            peer.link
                .as_ref()
                .is_some_and(|link| link.number == self.number)
        })
    }

    /// Waits before the next dial, and turns jobs away meanwhile; false when nobody needs the link.
    async fn wait(&mut self, pause: time::Duration) -> bool {
        let until = tokio::time::Instant::now() + pause;
        loop {
            match tokio::time::timeout_at(until, self.inbox.recv()).await {
                Err(_) | Ok(Some(LinkOrder::Redial)) => return true,
                Ok(None) => return false,
                Ok(Some(LinkOrder::Submit { reply, .. })) => {
                    // The job was not sent. A sender that is gone needs no end.
                    let _gone = reply.send(job_model::JobEnd::NotLeader);
                }
                Ok(Some(LinkOrder::Withdraw { .. })) => {}
            }
        }
    }

    async fn serve(
        &mut self,
        node: &Arc<node_state::NodeState>,
        stream: net::TcpStream,
    ) -> link_frame::LinkError {
        let (reader, mut writer) = stream.into_split();
        let (frames, mut incoming) = mpsc::channel(64);
        let reading = tokio::spawn(read_frames(reader, frames));
        let mut session = LinkSession {
            waiting: HashMap::new(),
            heard_at: node.now(),
            interval: self.interval(node, false),
            used_at: None,
            news: link_delta::LinkDelta::default(),
        };
        if let Some(peer) = self.entry(&mut node.peers()) {
            peer.record_connected();
        }
        slog::info!(node.logger, "peer_connected"; "peer" => &*self.name);
        node.notify_peer_change();
        let mut news = node.status_changes();
        let mut next_tick = tokio::time::Instant::now();
        let failure = loop {
            let mut out = Vec::new();
            tokio::select! {
                biased;
                frame = incoming.recv() => match frame {
                    Some(Ok(frame)) => self.take_frame(node, &mut session, frame, &mut out),
                    Some(Err(failure)) => break failure,
                    None => break link_frame::LinkError::Silent,
                },
                order = self.inbox.recv() => match order {
                    Some(order) => {
                        session.take_order(order, node.now(), &mut out);
                        while let Ok(order) = self.inbox.try_recv() {
                            session.take_order(order, node.now(), &mut out);
                        }
                    }
                    None => break link_frame::LinkError::Unwanted,
                },
                _ = news.changed() => {
                    self.send_state(node, &mut session, &mut out);
                    next_tick = tokio::time::Instant::now() + session.interval;
                }
                () = tokio::time::sleep_until(next_tick) => {
                    if node.now() > session.heard_at + session.interval * SILENT_INTERVALS {
                        break link_frame::LinkError::Silent;
                    }
                    self.send_state(node, &mut session, &mut out);
                    next_tick = tokio::time::Instant::now() + session.interval;
                }
            }
            if !out.is_empty() {
                let writing = link_frame::write_frames(&mut writer, &out);
                match tokio::time::timeout(session.interval * SILENT_INTERVALS, writing).await {
                    Ok(Ok(())) => {}
                    Ok(Err(failure)) => break failure,
                    Err(_) => break link_frame::LinkError::Silent,
                }
            }
        };
        reading.abort();
        failure
    }

    fn send_state(
        &self,
        node: &node_state::NodeState,
        session: &mut LinkSession,
        out: &mut Vec<link_frame::LinkFrame>,
    ) {
        let now = node.now();
        let interval = self.interval(node, session.is_busy(now));
        session.set_interval(interval, now);
        out.push(link_frame::LinkFrame::Status(node.own_status()));
        out.extend(session.news.leader_change(node));
    }

    /// Time between states sent over this link, by what depends on them.
    fn interval(&self, node: &node_state::NodeState, busy: bool) -> time::Duration {
        let status = node
            .peers()
            .get(&self.name)
            .map_or_else(link_frame::PeerStatus::default, |peer| peer.status);
        let has_leader = || {
            node.domain_members(node.now())
                .iter()
                .any(|member| member.reachable && member.held_servers > 0)
        };
        let leads = status.held_servers > 0;
        let leads_all = status.shards.is_empty() || status.shards == leadership::ShardSet::ALL;
        let usage = match (self.near, leads) {
            (true, true) if !leads_all => link_interval::LinkPurpose::ShardLeader,
            (true, leads) if leads || !has_leader() => link_interval::LinkPurpose::Leader,
            (false, true) => link_interval::LinkPurpose::Spillover,
            (true | false, _) => link_interval::LinkPurpose::Standby,
        };
        link_interval::status_interval(self.near, usage, busy)
    }

    fn take_frame(
        &self,
        node: &Arc<node_state::NodeState>,
        session: &mut LinkSession,
        frame: link_frame::LinkFrame,
        out: &mut Vec<link_frame::LinkFrame>,
    ) {
        session.heard_at = node.now();
        match frame {
            link_frame::LinkFrame::Status(status) => {
                peer_update::apply_status(node, &self.name, status);
                if let Some(peer) = self.entry(&mut node.peers()) {
                    peer.dial_completed = true;
                }
                out.extend(session.news.newer_config(node, &status));
            }
            link_frame::LinkFrame::Leaders(change) => {
                peer_update::apply_leader_change(node, &self.name, change);
            }
            link_frame::LinkFrame::End {
                request_id: request,
                end,
            } => {
                if let Some(reply) = session.waiting.remove(&request) {
                    // A waiter that is gone needs no end.
                    let _gone = reply.send(end);
                }
            }
            link_frame::LinkFrame::Config { body } => node.adopt_newer_config(body.into(), "peer"),
            link_frame::LinkFrame::Hello(_)
            | link_frame::LinkFrame::Submit { .. }
            | link_frame::LinkFrame::Withdraw { .. } => {}
        }
    }
}

struct LinkSession {
    waiting: HashMap<u64, oneshot::Sender<job_model::JobEnd>>,
    /// When the peer was last heard, or the interval changed.
    heard_at: time::Duration,
    interval: time::Duration,
    /// When a job was last sent.
    used_at: Option<time::Duration>,
    news: link_delta::LinkDelta,
}

impl LinkSession {
    fn set_interval(&mut self, interval: time::Duration, now: time::Duration) {
        if interval != self.interval {
            // Silence is measured by the interval in force.
            self.interval = interval;
            self.heard_at = now;
        }
    }

    fn is_busy(&self, now: time::Duration) -> bool {
        self.used_at.is_some_and(|at| now < at + BUSY_TIME)
    }

    fn take_order(
        &mut self,
        order: LinkOrder,
        now: time::Duration,
        out: &mut Vec<link_frame::LinkFrame>,
    ) {
        match order {
            LinkOrder::Submit {
                ticket,
                reply,
                request,
            } => {
                self.used_at = Some(now);
                self.waiting.insert(request, reply);
                out.push(link_frame::LinkFrame::Submit {
                    request_id: request,
                    ticket,
                });
            }
            LinkOrder::Withdraw { request } => {
                if self.waiting.remove(&request).is_some() {
                    out.push(link_frame::LinkFrame::Withdraw {
                        request_id: request,
                    });
                }
            }
            LinkOrder::Redial => {}
        }
    }
}

async fn read_frames(
    reader: net::tcp::OwnedReadHalf,
    frames: mpsc::Sender<Result<link_frame::LinkFrame, link_frame::LinkError>>,
) {
    let mut reader = tokio::io::BufReader::new(reader);
    loop {
        let frame = link_frame::read_frame(&mut reader).await;
        let ended = frame.is_err();
        if frames.send(frame).await.is_err() || ended {
            return;
        }
    }
}
