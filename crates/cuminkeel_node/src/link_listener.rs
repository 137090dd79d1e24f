//! Links that peers dial to this process: jobs in, ends and states back.

use std::{collections::HashMap, sync::Arc, time};

use smallvec::SmallVec;
use tokio::{net, sync::mpsc, task};

use crate::{link_delta, link_frame, node_state, peer_update, pool_driver};

/// How long jobs of a broken link are kept for the peer to ask again, over a new link
/// or through another process: a dial and a half.
const ORPHAN_GRACE: time::Duration = time::Duration::from_millis(500);
/// Pause after an error of the listener, such as too many open descriptors.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Takes links until the process ends.
pub async fn accept_links(node: Arc<node_state::NodeState>, listener: net::TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_link(Arc::clone(&node), stream));
            }
            Err(failure) => {
                slog::warn!(node.logger, "link_accept_failed"; "error" => %failure);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_link(node: Arc<node_state::NodeState>, stream: net::TcpStream) {
    let mut waiting: HashMap<u64, task::JoinHandle<()>> = HashMap::new();
    let failure = exchange(&node, stream, &mut waiting).await;
    slog::debug!(node.logger, "link_closed"; "cause" => ?failure, "jobs" => waiting.len());
    tokio::time::sleep(ORPHAN_GRACE).await;
    for (_, job) in waiting {
        job.abort();
    }
}

async fn exchange(
    node: &Arc<node_state::NodeState>,
    stream: net::TcpStream,
    waiting: &mut HashMap<u64, task::JoinHandle<()>>,
) -> Result<(), link_frame::LinkError> {
    stream.set_nodelay(true)?;
    let (reader, mut writer) = stream.into_split();
    let mut reader = tokio::io::BufReader::new(reader);
    let link_frame::LinkFrame::Hello(hello) = link_frame::read_frame(&mut reader).await? else {
        return Err(link_frame::LinkError::NoHello);
    };
    let name = Arc::clone(&hello.name);
    let mut news = link_delta::LinkDelta::default();
    // Who leads goes before the state, with which the peer takes this process as asked.
    let first: SmallVec<[link_frame::LinkFrame; 3]> = [
        Some(link_frame::LinkFrame::Hello(node.hello.clone())),
        news.leader_change(node),
        Some(link_frame::LinkFrame::Status(node.own_status())),
    ]
    .into_iter()
    .flatten()
    .collect();
    link_frame::write_frames(&mut writer, &first).await?;
    node_state::upsert_peer(node, hello);
    let (outgoing, mut outbox) = mpsc::unbounded_channel::<link_frame::LinkFrame>();
    let writer_task = tokio::spawn(async move {
        while let Some(frame) = outbox.recv().await {
            let mut frames = vec![frame];
            while let Ok(frame) = outbox.try_recv() {
                frames.push(frame);
            }
            if link_frame::write_frames(&mut writer, &frames)
                .await
                .is_err()
            {
                return;
            }
        }
    });
    let result = loop {
        match link_frame::read_frame(&mut reader).await {
            Ok(link_frame::LinkFrame::Status(status)) => {
                peer_update::apply_status(node, &name, status);
                let answers = [
                    Some(link_frame::LinkFrame::Status(node.own_status())),
                    news.newer_config(node, &status),
                    news.leader_change(node),
                ];
                for answer in answers.into_iter().flatten() {
                    // A writer that is gone means that the link is, which the reader notices.
                    let _closed = outgoing.send(answer);
                }
            }
            Ok(frame) => take_frame(node, &name, frame, &outgoing, waiting),
            Err(failure) => break Err(failure),
        }
    };
    writer_task.abort();
    result
}

fn take_frame(
    node: &Arc<node_state::NodeState>,
    name: &Arc<str>,
    frame: link_frame::LinkFrame,
    outgoing: &mpsc::UnboundedSender<link_frame::LinkFrame>,
    waiting: &mut HashMap<u64, task::JoinHandle<()>>,
) {
    match frame {
        link_frame::LinkFrame::Leaders(change) => {
            peer_update::apply_leader_change(node, name, change);
        }
        link_frame::LinkFrame::Submit {
            request_id: request,
            ticket,
        } => {
            waiting.retain(|_, job| !job.is_finished());
            let job = node.pool.submit(ticket);
            let outgoing = outgoing.clone();
            waiting.insert(request, tokio::spawn(send_end(job, request, outgoing)));
        }
        link_frame::LinkFrame::Withdraw {
            request_id: request,
        } => {
            if let Some(job) = waiting.remove(&request) {
                job.abort();
            }
        }
        link_frame::LinkFrame::Config { body } => node.adopt_newer_config(body.into(), "peer"),
        link_frame::LinkFrame::End { .. }
        | link_frame::LinkFrame::Hello(_)
        | link_frame::LinkFrame::Status(_) => {}
    }
}

async fn send_end(
    mut job: pool_driver::PoolJob,
    request: u64,
    outgoing: mpsc::UnboundedSender<link_frame::LinkFrame>,
) {
    let end = job.wait_for_end().await;
    let _closed = outgoing.send(link_frame::LinkFrame::End {
        request_id: request,
        end,
    });
}
