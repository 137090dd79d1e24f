//! Offers of a caller's job to server pools, as its offer plan decides.

use std::{sync::Arc, time};

use cuminkeel_dispatch::{job_model, leadership, offer_plan};
use smallvec::SmallVec;

use crate::{job_table, node_state, peer_link};

/// Time reserved before the deadline for sending the answer to the caller.
pub const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(30);

/// Runs the job `spec` of a request that arrived at `received_at` for a caller that has to be answered by
/// `answer_deadline`. If a copy of the job is in progress in this process, waits for its answer instead. Returns
/// the answer and the process whose pool the job was offered to last.
pub async fn run_job(
    node: &Arc<node_state::NodeState>,
    spec: Arc<job_model::JobSpec>,
    received_at: time::Duration,
    answer_deadline: time::Duration,
) -> (offer_plan::JobAnswer, Option<Arc<str>>) {
    let time_to_answer = answer_deadline.saturating_sub(node.now());
    let limits = offer_plan::PlanLimits {
        answer_deadline,
        leader_wait: node.tuning.leader_wait(),
    };
    let id = Arc::clone(&spec.id);
    let last_pool = job_table::LastPool::default();
    let job = CallerJob {
        node: Arc::clone(node),
        received_at,
        limits,
        plan: offer_plan::OfferPlan::new(spec, limits),
        last_pool: last_pool.clone(),
        offered_at: None,
        lost_pools: LostPools::default(),
    };
    let job = node.jobs.join_or_start(&id, last_pool, job.run());
    let answer = tokio::select! {
        answer = tokio::time::timeout(time_to_answer, job.wait_for_answer()) => answer.ok(),
        // The connection would break without an answer.
        () = node.wait_until_exit_near() => None,
    };
    // The last caller to drop the job withdraws it, and its pool stops the runs.
    let out_of_time = offer_plan::JobAnswer::Failed(job_model::FailureReason::OutOfTime);
    let answer = answer.unwrap_or(out_of_time);
    (answer, job.last_pool())
}

struct CallerJob {
    node: Arc<node_state::NodeState>,
    /// Time at which the request may have arrived at the earliest.
    received_at: time::Duration,
    limits: offer_plan::PlanLimits,
    plan: offer_plan::OfferPlan,
    last_pool: job_table::LastPool,
    /// Time at which the job was offered to the pool that has it, or `None` if none has it.
    offered_at: Option<time::Duration>,
    /// Pools that were lost while they had the job.
    lost_pools: LostPools,
}

/// Pools that were lost while they had a job.
#[derive(Debug, Default)]
struct LostPools {
    /// Name and boot number of each process, the latest last.
    processes: SmallVec<[(Arc<str>, u64); 1]>,
    /// Time at which the latest of them was lost first.
    lost_at: time::Duration,
    /// Process that was last named as the next one.
    logged_next: Option<(Arc<str>, u64)>,
}

impl LostPools {
    /// Whether all offers that were lost went to this incarnation of `process`, and one did.
    fn is_only(&self, process: &Arc<str>, boot: u64) -> bool {
        let is_same = |(lost_process, lost_boot): &(Arc<str>, u64)| {
            lost_process == process && *lost_boot == boot && boot != 0
        };
        !self.processes.is_empty() && self.processes.iter().all(is_same)
    }

    /// Records that `process` was lost. While it is dialled again, each offer to it ends like that.
    fn record(&mut self, process: (Arc<str>, u64), now: time::Duration) {
        if self.processes.last() != Some(&process) {
            self.processes.push(process);
            self.lost_at = now;
            self.logged_next = None;
        }
    }
}

impl Drop for CallerJob {
    fn drop(&mut self) {
        let Some(offered_at) = self.offered_at else {
            return;
        };
        // The callers have left, or got an answer at their deadline.
        let now = self.node.now();
        slog::info!(self.node.logger, "withdrawn"; "request" => &*self.plan.spec().id,
            "pool" => self.last_pool.get().as_deref().map(String::from),
            "age_ms" => whole_ms(now.saturating_sub(self.received_at)),
            "offered_for_ms" => whole_ms(now.saturating_sub(offered_at)));
    }
}

impl CallerJob {
    /// Carries out the actions of the plan until it answers the caller.
    async fn run(mut self) -> offer_plan::JobAnswer {
        loop {
            match self.plan.next_action(&*self.node, self.node.now()) {
                offer_plan::OfferAction::Offer { process, terms } => {
                    self.last_pool.set(&process);
                    self.offered_at = Some(self.node.now());
                    let boot = boot_of(&self.node, &process);
                    self.log_repeated_offer(&process, boot);
                    let end = self.offer(&process, boot, terms).await;
                    self.offered_at = None;
                    let now = self.node.now();
                    if matches!(end, Some(job_model::JobEnd::PoolLost) | None) {
                        self.lost_pools.record((process, boot), now);
                    }
                    self.plan.record_end(end.as_ref(), now);
                }
                offer_plan::OfferAction::Wait(pause) => tokio::time::sleep(pause).await,
                offer_plan::OfferAction::Answer(answer) => return answer,
            }
        }
    }

    /// Logs that the job is offered to the pool of `process` although a lost one may have started it, once for
    /// each pair of a lost pool and the next one.
    fn log_repeated_offer(&mut self, process: &Arc<str>, boot: u64) {
        let next = (Arc::clone(process), boot);
        let lost = &mut self.lost_pools;
        if !self.plan.may_have_started() || lost.logged_next.as_ref() == Some(&next) {
            return;
        }
        let names: Vec<String> = lost
            .processes
            .iter()
            .map(|(name, boot)| format!("{name}/{boot}"))
            .collect();
        let now = self.node.now();
        slog::info!(self.node.logger, "offered_again"; "request" => &*self.plan.spec().id,
            "pool" => &**process, "boot" => boot, "lost_pools" => names.join(","),
            "lost_for_ms" => whole_ms(now.saturating_sub(lost.lost_at)),
            "age_ms" => whole_ms(now.saturating_sub(self.received_at)));
        lost.logged_next = Some(next);
    }

    /// Offers the job to the pool of `process`, whose boot number is `boot`. Returns `None` if the connection to the
    /// pool was lost, so that the job's end is unknown.
    async fn offer(
        &self,
        process: &Arc<str>,
        boot: u64,
        terms: job_model::OfferTerms,
    ) -> Option<job_model::JobEnd> {
        let now = self.node.now();
        let offer = job_model::JobOffer {
            spec: Arc::clone(self.plan.spec()),
            age: now.saturating_sub(self.received_at),
            time_to_deadline: self.limits.answer_deadline.saturating_sub(now),
            may_have_started: self.plan.may_have_started(),
            terms,
            sent_at: now,
            source: Arc::clone(&self.node.hello.name),
            session: job_model::OfferSession::default(),
            is_resumed: self.lost_pools.is_only(process, boot),
        };
        let end = if *process == self.node.hello.name {
            let mut job = self.node.pool.submit(offer);
            Some(job.wait_for_end().await)
        } else {
            match link_to(&self.node, process) {
                Some(link) => {
                    let cpu_millis = offer.spec.ready_cpu_millis();
                    self.node.ledger().record_sent(process, cpu_millis, now);
                    let mut job = link.submit(offer);
                    let end = job.wait_for_end().await.ok();
                    self.node.ledger().record_ended(process, cpu_millis, now);
                    end
                }
                // The link was dropped since the plan saw it, so the job was not sent.
                None => Some(job_model::JobEnd::NotLeader),
            }
        };
        let is_routine = matches!(
            end,
            Some(job_model::JobEnd::Completed | job_model::JobEnd::NotLeader)
        );
        if !is_routine {
            slog::info!(self.node.logger, "offered"; "request" => &*self.plan.spec().id, "pool" => &**process,
                "terms" => ?terms, "outcome" => ?end,
                "age_ms" => whole_ms(now.saturating_sub(self.received_at)),
                "ended_ms" => whole_ms(self.node.now().saturating_sub(self.received_at)));
        }
        end
    }
}

fn whole_ms(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the boot number of `process`; 0 if it is not known any more.
fn boot_of(node: &node_state::NodeState, process: &str) -> u64 {
    if *process == *node.hello.name {
        return node.hello.boot;
    }
    node.peers().get(process).map_or(0, |peer| peer.hello.boot)
}

fn link_to(node: &node_state::NodeState, process: &str) -> Option<peer_link::PeerLink> {
    node.peers().get(process)?.link.clone()
}

impl offer_plan::PoolDirectory for node_state::NodeState {
    fn home_pool(&self, id: &str) -> Option<offer_plan::HomePool> {
        let members = self.domain_members(self.now());
        let leader = leadership::shard_leader(&members, leadership::shard_of(id))?;
        let member = members.iter().find(|member| member.name == *leader)?;
        let has_link = || {
            self.peers()
                .get(leader)
                .is_some_and(|peer| peer.link.is_some())
        };
        (*leader == self.hello.name || has_link()).then(|| offer_plan::HomePool {
            process: Arc::clone(leader),
            shards: member.shards,
        })
    }

    fn other_pools(&self) -> SmallVec<[offer_plan::OtherPool; 4]> {
        let local_domain = &self.hello.failure_domain;
        let local_region = self.settings.regions.get(local_domain);
        let now = self.now();
        let mut pools: SmallVec<[offer_plan::OtherPool; 4]> = self
            .peers()
            .iter()
            .filter(|peer| {
                peer.connected
                    && peer.link.is_some()
                    && !peer.status.leaving
                    && peer.status.held_servers > 0
            })
            .map(|peer| offer_plan::OtherPool {
                process: Arc::clone(&peer.hello.name),
                failure_domain: Arc::clone(&peer.hello.failure_domain),
                is_local: peer.hello.failure_domain == *local_domain,
                is_near: self.settings.regions.get(&peer.hello.failure_domain) == local_region,
                shards: peer.status.shards,
                free_cpu_millis: peer.status.free_cpu_millis,
                total_cpu_millis: peer.status.total_cpu_millis,
                queued_jobs: peer.status.queued_jobs,
                room: peer.room,
                room_age: now.saturating_sub(peer.status_sent_at.max(peer.room_sent_at)),
                sent_cpu_millis: 0,
            })
            .collect();
        pools.retain(|pool| !self.is_evacuated(&pool.failure_domain));
        let ledger = self.ledger();
        for pool in &mut pools {
            pool.sent_cpu_millis =
                ledger.sent_cpu_millis(&pool.process, now.saturating_sub(pool.room_age));
        }
        drop(ledger);
        pools
    }
}
