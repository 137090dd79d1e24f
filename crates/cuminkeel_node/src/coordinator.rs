//! A caller's job from its call to its answer.

use std::{sync::Arc, time};

use cuminkeel_dispatch::{job_model, leadership};

use crate::{node_state, peer_link, peer_table};

/// Pause between looks for a leader.
const LEADER_PAUSE: time::Duration = time::Duration::from_millis(25);
/// Pools of other failure domains that a job is offered to.
const FAR_OFFERS: usize = 2;
/// Left to answer the caller before it stops waiting.
const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(30);

/// The answer to a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JobAnswer {
    /// All tasks are done.
    Completed,
    /// The job failed; tasks of it may have run.
    Failed(job_model::FailureReason),
    /// Nothing of it has run, and nothing will.
    Refused {
        /// Why.
        reason: job_model::RefusalReason,
        /// When to come back.
        retry_after: time::Duration,
    },
}

/// A pool that a job can be offered to.
struct PoolTarget {
    peer: Arc<str>,
    /// None for the pool of this process.
    link: Option<peer_link::PeerLink>,
    /// Shards of its failure domain that it has; none while it hasn't said.
    shards: leadership::ShardSet,
}

impl PoolTarget {
    /// A process that hasn't said what it leads is the next leader of a domain that has one.
    fn assumed_shards(&self) -> leadership::ShardSet {
        if self.shards.is_empty() {
            leadership::ShardSet::ALL
        } else {
            self.shards
        }
    }
}

/// Runs `spec` for a caller that waits for `patience`.
pub async fn run_job(
    node: &Arc<node_state::NodeState>,
    spec: Arc<job_model::JobSpec>,
    patience: time::Duration,
) -> JobAnswer {
    let mut job = CallerJob {
        node,
        arrived: node.now(),
        deadline: node.now() + patience.saturating_sub(ANSWER_MARGIN),
        spec,
        maybe_started: false,
        lost_shards: leadership::ShardSet::default(),
    };
    let patience = patience.saturating_sub(ANSWER_MARGIN);
    match tokio::time::timeout(patience, job.run()).await {
        Ok(answer) => answer,
        // Its pool stops what runs when the job is withdrawn.
        Err(_) => JobAnswer::Failed(job_model::FailureReason::OutOfTime),
    }
}

struct CallerJob<'a> {
    node: &'a Arc<node_state::NodeState>,
    spec: Arc<job_model::JobSpec>,
    arrived: time::Duration,
    deadline: time::Duration,
    maybe_started: bool,
    /// Shards of the pools of the own failure domain that were lost with it.
    lost_shards: leadership::ShardSet,
}

impl CallerJob<'_> {
    async fn run(&mut self) -> JobAnswer {
        let alone = self.far_pools().is_empty();
        let terms = if alone {
            job_model::OfferTerms::Useful
        } else {
            job_model::OfferTerms::AtOnce
        };
        let refusal = match self.offer_near(terms).await {
            Ok(answer) => return answer,
            // Runs of it may go on in the own domain, where other domains' pools can't see them.
            Err(_) if self.maybe_started => {
                return JobAnswer::Failed(job_model::FailureReason::PoolLost);
            }
            Err(refusal) if alone => return refusal,
            Err(refusal) => refusal,
        };
        for target in self.far_pools() {
            match self.offer(target, job_model::OfferTerms::AtOnce).await {
                Some(job_model::JobEnd::Completed) => return JobAnswer::Completed,
                Some(job_model::JobEnd::Failed(reason)) => return JobAnswer::Failed(reason),
                // Another domain's pool may go on with it out of reach.
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
            } => match self.offer_near(job_model::OfferTerms::Useful).await {
                Ok(answer) => answer,
                Err(_) if self.maybe_started => {
                    JobAnswer::Failed(job_model::FailureReason::PoolLost)
                }
                Err(refusal) => refusal,
            },
            other => other,
        }
    }

    /// Offers the job to the own domain's pool until one takes or refuses it.
    async fn offer_near(&mut self, terms: job_model::OfferTerms) -> Result<JobAnswer, JobAnswer> {
        let leader_wait = self.node.tuning.leader_wait();
        let mut leaderless_since = None;
        loop {
            let target = self.near_pool();
            let shards = target
                .as_ref()
                .map_or(leadership::ShardSet::ALL, PoolTarget::assumed_shards);
            let end = match target {
                Some(target) if shards.covers(self.lost_shards) => self.offer(target, terms).await,
                // Runs of it may be on servers of shards that went to different leaders.
                Some(target) if target.shards.contains_id(&self.spec.id) => {
                    return Ok(JobAnswer::Failed(job_model::FailureReason::PoolLost));
                }
                // The next leader of the job's shard hasn't said so yet.
                Some(_) | None => Some(job_model::JobEnd::NotLeader),
            };
            match end {
                Some(job_model::JobEnd::Completed) => return Ok(JobAnswer::Completed),
                Some(job_model::JobEnd::Failed(reason)) => return Ok(JobAnswer::Failed(reason)),
                Some(job_model::JobEnd::Refused {
                    reason,
                    retry_after,
                }) => {
                    return Err(JobAnswer::Refused {
                        reason,
                        retry_after,
                    });
                }
                Some(job_model::JobEnd::PoolLost) | None => {
                    self.maybe_started = true;
                    self.lost_shards = self.lost_shards.union(shards);
                }
                Some(job_model::JobEnd::NotLeader) => {}
            }
            let now = self.node.now();
            let since = *leaderless_since.get_or_insert(now);
            if now > since + leader_wait || now + LEADER_PAUSE > self.deadline {
                return Err(JobAnswer::Refused {
                    reason: job_model::RefusalReason::NoPool,
                    retry_after: leader_wait,
                });
            }
            tokio::time::sleep(LEADER_PAUSE).await;
        }
    }

    /// Offers the job to one pool; `None` when its end can't be learnt.
    async fn offer(
        &self,
        target: PoolTarget,
        terms: job_model::OfferTerms,
    ) -> Option<job_model::JobEnd> {
        let now = self.node.now();
        let ticket = job_model::JobTicket {
            spec: Arc::clone(&self.spec),
            age: now.saturating_sub(self.arrived),
            time_to_deadline: self.deadline.saturating_sub(now),
            may_have_started: self.maybe_started,
            terms,
        };
        let end = match target.link {
            None => {
                let mut job = self.node.pool.submit(ticket);
                Some(job.wait_for_end().await)
            }
            Some(link) => {
                let mut job = link.submit(ticket);
                job.wait_for_end().await.ok()
            }
        };
        let quiet = matches!(
            end,
            Some(job_model::JobEnd::Completed | job_model::JobEnd::NotLeader)
        );
        if !quiet {
            slog::info!(self.node.logger, "offered"; "request" => &*self.spec.id, "pool" => &*target.peer,
                "terms" => ?terms, "outcome" => ?end,
                "age_ms" => u64::try_from(now.saturating_sub(self.arrived).as_millis()).unwrap_or(u64::MAX));
        }
        end
    }

    /// The pool of the own failure domain that jobs with this id belong to.
    fn near_pool(&self) -> Option<PoolTarget> {
        let members = self.node.domain_members(self.node.now());
        let leader = leadership::shard_leader(&members, leadership::shard_of(&self.spec.id))?;
        let member = members.iter().find(|member| member.name == *leader)?;
        let link = if *leader == self.node.hello.name {
            None
        } else {
            Some(self.node.peers().get(leader)?.link.clone()?)
        };
        Some(PoolTarget {
            peer: Arc::clone(leader),
            link,
            shards: member.shards,
        })
    }

    /// Other pools with room, those with most first: in other failure domains, and of other
    /// shards of the own one.
    fn far_pools(&self) -> Vec<PoolTarget> {
        let needed = self
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
                    && peer.status.free_cpu_millis >= needed
                    && peer.status.queued_jobs == 0
            })
            .collect();
        pools.sort_by_key(|peer| std::cmp::Reverse(peer.status.free_cpu_millis));
        pools
            .into_iter()
            .take(FAR_OFFERS)
            .filter_map(|peer| {
                Some(PoolTarget {
                    peer: Arc::clone(&peer.hello.name),
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
