//! Offers of a caller's job to server pools, until one of them ends it or all refuse it.

use std::{sync::Arc, time};

use cuminkeel_dispatch::{job_model, leadership};

use crate::{node_state, peer_link, peer_table};

/// Pause before a job is offered again after the local pool was lost or no leader was
/// found.
const OFFER_RETRY_PAUSE: time::Duration = time::Duration::from_millis(25);
/// Maximum number of spillover pools that a job is offered to.
const MAX_SPILLOVER_OFFERS: usize = 2;
/// Time reserved before the deadline for sending the answer to the caller.
const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(30);

/// Answer to the caller of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JobAnswer {
    /// All tasks of the job have completed.
    Completed,
    /// The job failed; some of its tasks may have run.
    Failed(job_model::FailureReason),
    /// The job was refused: none of its tasks has run or will run.
    Refused {
        /// Reason of the refusal.
        reason: job_model::RefusalReason,
        /// Time after which the caller may submit the job again.
        retry_after: time::Duration,
    },
}

/// Server pool that a job can be offered to.
struct PoolTarget {
    /// Name of the VM whose process runs the pool.
    process_name: Arc<str>,
    /// Link to the pool's process; `None` for the pool of this process.
    link: Option<peer_link::PeerLink>,
    /// Shards of its failure domain that the pool leads; empty until its process reports them.
    shards: leadership::ShardSet,
}

impl PoolTarget {
    /// Returns the reported shards, or all shards if none are reported: it is then assumed that
    /// the process is the next leader of a failure domain with a single leader.
    fn assumed_shards(&self) -> leadership::ShardSet {
        if self.shards.is_empty() {
            leadership::ShardSet::ALL
        } else {
            self.shards
        }
    }
}

/// Runs the job `spec` for a caller that stops waiting after `time_to_deadline`.
pub async fn run_job(
    node: &Arc<node_state::NodeState>,
    spec: Arc<job_model::JobSpec>,
    time_to_deadline: time::Duration,
) -> JobAnswer {
    let mut job = CallerJob {
        node,
        received_at: node.now(),
        answer_deadline: node.now() + time_to_deadline.saturating_sub(ANSWER_MARGIN),
        spec,
        may_have_started: false,
        lost_shards: leadership::ShardSet::default(),
        may_run_locally: false,
    };
    let time_to_answer = time_to_deadline.saturating_sub(ANSWER_MARGIN);
    match tokio::time::timeout(time_to_answer, job.run()).await {
        Ok(answer) => answer,
        // The dropped offer withdraws the job, and its pool stops the runs.
        Err(_) => JobAnswer::Failed(job_model::FailureReason::OutOfTime),
    }
}

struct CallerJob<'a> {
    node: &'a Arc<node_state::NodeState>,
    spec: Arc<job_model::JobSpec>,
    /// Time at which the whole request had been read.
    received_at: time::Duration,
    /// Latest time at which the answer can be sent so that it reaches the caller before the
    /// deadline.
    answer_deadline: time::Duration,
    /// Whether a pool that was lost may have started tasks of the job.
    may_have_started: bool,
    /// Shards of the local pools that were lost while they had the job.
    lost_shards: leadership::ShardSet,
    /// Whether the local pool refused the job because it does not know what its servers run.
    may_run_locally: bool,
}

impl CallerJob<'_> {
    /// Offers the job to server pools until one ends it or all refuse it.
    ///
    /// Without spillover pools, the job is offered only to the local pool, on the terms `Useful`.
    /// Otherwise it is offered to the local pool and then to the spillover pools on the terms
    /// `AtOnce`. If all refuse, and the local pool did so because its queue was too long, the
    /// local pool gets a second offer on the terms `Useful`. Only this reason of a refusal depends
    /// on the terms.
    async fn run(&mut self) -> JobAnswer {
        let no_spillover = self.spillover_pools().is_empty();
        let terms = if no_spillover {
            job_model::OfferTerms::Useful
        } else {
            job_model::OfferTerms::AtOnce
        };
        let refusal = match self.offer_to_local_pool(terms).await {
            Ok(answer) => return answer,
            // Runs of the job may continue on servers of the lost pool, which the spillover pools
            // may not hold.
            Err(_) if self.may_have_started => {
                return JobAnswer::Failed(job_model::FailureReason::PoolLost);
            }
            // A copy that the caller sent earlier may run on servers of the local pool.
            Err(refusal) if no_spillover || self.may_run_locally => return refusal,
            Err(refusal) => refusal,
        };
        for target in self.spillover_pools() {
            match self.offer(target, job_model::OfferTerms::AtOnce).await {
                Some(job_model::JobEnd::Completed) => return JobAnswer::Completed,
                Some(job_model::JobEnd::Failed(reason)) => return JobAnswer::Failed(reason),
                // Runs of the job may continue.
                None | Some(job_model::JobEnd::PoolLost) => {
                    return JobAnswer::Failed(job_model::FailureReason::PoolLost);
                }
                Some(job_model::JobEnd::Refused { .. } | job_model::JobEnd::NotLeader) => {}
            }
        }
        match refusal {
            JobAnswer::Refused {
                reason: job_model::RefusalReason::QueueTooLong,
                ..
            } => match self
                .offer_to_local_pool(job_model::OfferTerms::Useful)
                .await
            {
                Ok(answer) => answer,
                Err(_) if self.may_have_started => {
                    JobAnswer::Failed(job_model::FailureReason::PoolLost)
                }
                Err(refusal) => refusal,
            },
            other => other,
        }
    }

    /// Offers the job to the local pool, and again after the pool is lost or no leader is found,
    /// until a pool ends or refuses it. Returns `Ok` with the final answer, or `Err` with a refusal
    /// after which other pools may be tried, unless a lost pool may have started tasks.
    ///
    /// The answer is `Failed(PoolLost)` if the leader of the job's shard does not lead all shards
    /// of the lost pools. The refusal is `NoPool` if `leader_wait` has passed since the first
    /// attempt that found no leader or lost its pool, or if the deadline is near.
    async fn offer_to_local_pool(
        &mut self,
        terms: job_model::OfferTerms,
    ) -> Result<JobAnswer, JobAnswer> {
        let leader_wait = self.node.tuning.leader_wait();
        let mut first_failure_at = None;
        loop {
            let target = self.local_pool();
            let shards = target
                .as_ref()
                .map_or(leadership::ShardSet::ALL, PoolTarget::assumed_shards);
            let end = match target {
                // A leader that has not reported its shards may share those of the lost pool with others.
                Some(target) if target.shards.covers(self.lost_shards) => {
                    self.offer(target, terms).await
                }
                // Runs of the job may be on servers whose shards now have different leaders.
                Some(target) if target.shards.contains_id(&self.spec.id) => {
                    return Ok(JobAnswer::Failed(job_model::FailureReason::PoolLost));
                }
                // No process leads the job's shard yet, or there is no link to its leader.
                Some(_) | None => Some(job_model::JobEnd::NotLeader),
            };
            match end {
                Some(job_model::JobEnd::Completed) => return Ok(JobAnswer::Completed),
                Some(job_model::JobEnd::Failed(reason)) => return Ok(JobAnswer::Failed(reason)),
                // The leader may soon know the servers, and find runs of the job on them.
                Some(job_model::JobEnd::Refused {
                    reason: job_model::RefusalReason::NoPool,
                    ..
                }) if self.may_have_started => {}
                Some(job_model::JobEnd::Refused {
                    reason,
                    retry_after,
                }) => {
                    self.may_run_locally = reason == job_model::RefusalReason::NoPool;
                    return Err(JobAnswer::Refused {
                        reason,
                        retry_after,
                    });
                }
                Some(job_model::JobEnd::PoolLost) | None => {
                    self.may_have_started = true;
                    self.lost_shards = self.lost_shards.union(shards);
                }
                Some(job_model::JobEnd::NotLeader) => {}
            }
            let now = self.node.now();
            let failed_since = *first_failure_at.get_or_insert(now);
            if now > failed_since + leader_wait || now + OFFER_RETRY_PAUSE > self.answer_deadline {
                return Err(JobAnswer::Refused {
                    reason: job_model::RefusalReason::NoPool,
                    retry_after: leader_wait,
                });
            }
            tokio::time::sleep(OFFER_RETRY_PAUSE).await;
        }
    }

    /// Offers the job to one pool. Returns `None` if the connection to the pool was lost, so that
    /// the job's end is unknown.
    async fn offer(
        &self,
        target: PoolTarget,
        terms: job_model::OfferTerms,
    ) -> Option<job_model::JobEnd> {
        let now = self.node.now();
        let offer = job_model::JobOffer {
            spec: Arc::clone(&self.spec),
            age: now.saturating_sub(self.received_at),
            time_to_deadline: self.answer_deadline.saturating_sub(now),
            may_have_started: self.may_have_started,
            terms,
            sent_at: now,
            source: Arc::clone(&self.node.hello.name),
        };
        let end = match target.link {
            None => {
                let mut job = self.node.pool.submit(offer);
                Some(job.wait_for_end().await)
            }
            Some(link) => {
                let mut job = link.submit(offer);
                job.wait_for_end().await.ok()
            }
        };
        let is_routine = matches!(
            end,
            Some(job_model::JobEnd::Completed | job_model::JobEnd::NotLeader)
        );
        if !is_routine {
            slog::info!(self.node.logger, "offered"; "request" => &*self.spec.id, "pool" => &*target.process_name,
                "terms" => ?terms, "outcome" => ?end,
                "age_ms" => u64::try_from(now.saturating_sub(self.received_at).as_millis()).unwrap_or(u64::MAX));
        }
        end
    }

    /// Returns the pool of the process that leads the job's shard in the local failure domain or,
    /// if none does, of the likely next leader. Returns `None` if there is no link to that process.
    fn local_pool(&self) -> Option<PoolTarget> {
        let members = self.node.domain_members(self.node.now());
        let leader = leadership::shard_leader(&members, leadership::shard_of(&self.spec.id))?;
        let member = members.iter().find(|member| member.name == *leader)?;
        let link = if *leader == self.node.hello.name {
            None
        } else {
            Some(self.node.peers().get(leader)?.link.clone()?)
        };
        Some(PoolTarget {
            process_name: Arc::clone(leader),
            link,
            shards: member.shards,
        })
    }

    /// Returns up to `MAX_SPILLOVER_OFFERS` pools of other processes that could start the job at
    /// once, the most free processor first: pools of remote failure domains, and of other shards
    /// of the local one, that hold servers, have no queued jobs and are not about to stop, and
    /// whose free processor capacity is enough for the largest task of the job.
    fn spillover_pools(&self) -> Vec<PoolTarget> {
        let needed_cpu_millis = self
            .spec
            .steps
            .iter()
            .map(|step| step.cpu_millis)
            .max()
            .unwrap_or(0);
        let peers = self.node.peers();
        let mut pools: Vec<_> = peers
            .iter()
            .filter(|peer| {
                peer.connected
                    && !peer.status.leaving
                    && peer.status.held_servers > 0
                    && self.is_other_pool(peer)
                    && peer.status.free_cpu_millis >= needed_cpu_millis
                    && peer.status.queued_jobs == 0
            })
            .collect();
        pools.sort_by_key(|peer| std::cmp::Reverse(peer.status.free_cpu_millis));
        pools
            .into_iter()
            .take(MAX_SPILLOVER_OFFERS)
            .filter_map(|peer| {
                Some(PoolTarget {
                    process_name: Arc::clone(&peer.hello.name),
                    link: Some(peer.link.clone()?),
                    shards: peer.status.shards,
                })
            })
            .collect()
    }

    fn is_other_pool(&self, peer: &peer_table::PeerEntry) -> bool {
        let shards = peer.status.shards;
        peer.hello.failure_domain != self.node.hello.failure_domain
            || (!shards.is_empty() && !shards.contains_id(&self.spec.id))
    }
}
