//! Whose turn it is: start-time fair queueing over customers by slot time, and
//! within a customer jobs by a rank that mixes age, length and deadline.
//!
//! Each customer has a virtual time that grows by the slot time it uses divided
//! by its weight; the customer with the smallest virtual time is next. The
//! charge at the start is the expected run time and is corrected when the task
//! ends (Goyal, Vin and Cheng, "Start-time Fair Queueing", 1997).

use std::collections;

use cuminkeel_types::{names, time as clock};

/// Units of virtual time in one second of slot time at weight 1.
const VIRTUAL_PER_SEC: f64 = 1e6;

/// Number of a customer within one [`FairQueue`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CustomerIndex(u32);

/// Order of a customer's jobs; the smallest is next.
pub type JobRank = (clock::TimePoint, names::JobId);

/// A task with what the queue must know of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedTask {
    /// The task.
    pub task: names::TaskIndex,
    /// Its expected run time on an average server, in seconds.
    pub secs: f64,
}

/// The waiting tasks of one job, the next one last.
#[derive(Clone, Debug, Default)]
pub struct QueuedJob {
    /// Tasks by rising expected run time.
    pub tasks: Vec<QueuedTask>,
    /// Sum of their expected run times, in seconds.
    pub work_secs: f64,
}

/// The task whose turn it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NextTask {
    /// Its customer.
    pub customer: CustomerIndex,
    /// Rank of its job, with the job's id.
    pub rank: JobRank,
    /// The task.
    pub task: QueuedTask,
    /// Tasks of the same job that wait behind it.
    pub behind: usize,
}

#[derive(Debug)]
struct CustomerQueue {
    name: names::CustomerName,
    weight: f64,
    virtual_time: i64,
    jobs: collections::BTreeMap<JobRank, QueuedJob>,
    blocked: bool,
    queued: usize,
    running: usize,
    work_secs: f64,
}

/// One customer's line for status pages.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerLoad {
    /// The customer.
    pub customer: names::CustomerName,
    /// Tasks waiting.
    pub queued: usize,
    /// Tasks running.
    pub running: usize,
}

/// All waiting tasks of one entry.
#[derive(Debug, Default)]
pub struct FairQueue {
    customers: Vec<CustomerQueue>,
    by_name: collections::HashMap<names::CustomerName, CustomerIndex>,
    weights: collections::HashMap<names::CustomerName, u32>,
    ready: collections::BTreeSet<(i64, CustomerIndex)>,
    virtual_time: i64,
    ready_tasks: usize,
    ready_secs: f64,
}

impl FairQueue {
    /// The number of a customer; a new one for a name not seen before.
    pub fn customer(&mut self, name: &names::CustomerName) -> CustomerIndex {
        if let Some(customer) = self.by_name.get(name) {
            return *customer;
        }
        let customer = CustomerIndex(u32::try_from(self.customers.len()).unwrap_or(u32::MAX));
        let weight = self.weights.get(name).copied().unwrap_or(1);
        self.customers.push(CustomerQueue {
            name: name.clone(),
            weight: f64::from(weight.max(1)),
            virtual_time: 0,
            jobs: collections::BTreeMap::new(),
            blocked: false,
            queued: 0,
            running: 0,
            work_secs: 0.0,
        });
        self.by_name.insert(name.clone(), customer);
        customer
    }

    /// Takes in the weights of all customers; one that is not named has weight 1.
    pub fn set_weights(&mut self, weights: collections::HashMap<names::CustomerName, u32>) {
        self.weights = weights;
        for queue in &mut self.customers {
            let weight = self.weights.get(&queue.name).copied().unwrap_or(1);
            queue.weight = f64::from(weight.max(1));
        }
    }

    fn queue(&self, customer: CustomerIndex) -> &CustomerQueue {
        &self.customers[customer.0 as usize]
    }

    /// Changes one customer's queue and keeps the order of ready customers.
    fn update(&mut self, customer: CustomerIndex, change: impl FnOnce(&mut CustomerQueue, i64)) {
        let queue = &mut self.customers[customer.0 as usize];
        let was_ready = queue.queued > 0 && !queue.blocked;
        if was_ready {
            self.ready.remove(&(queue.virtual_time, customer));
            self.ready_tasks -= queue.queued;
            self.ready_secs -= queue.work_secs;
        }
        change(queue, self.virtual_time);
        let is_ready = queue.queued > 0 && !queue.blocked;
        if is_ready {
            if !was_ready {
                queue.virtual_time = queue.virtual_time.max(self.virtual_time);
            }
            self.ready.insert((queue.virtual_time, customer));
            self.ready_tasks += queue.queued;
            self.ready_secs += queue.work_secs;
        }
    }

    /// Adds tasks to a job, which is created if it has none waiting.
    pub fn add(
        &mut self,
        customer: CustomerIndex,
        rank: JobRank,
        tasks: impl IntoIterator<Item = QueuedTask>,
    ) {
        self.update(customer, |queue, _| {
            let job = queue.jobs.entry(rank).or_default();
            for task in tasks {
                job.tasks.push(task);
                job.work_secs += task.secs;
                queue.queued += 1;
                queue.work_secs += task.secs;
            }
            job.tasks
                .sort_by(|a, b| a.secs.total_cmp(&b.secs).then(b.task.cmp(&a.task)));
        });
    }

    /// Puts back a task that was taken and not started, as the job's next, and
    /// gives back its charge.
    pub fn put_back(&mut self, customer: CustomerIndex, rank: JobRank, task: QueuedTask) {
        self.update(customer, |queue, _| {
            let job = queue.jobs.entry(rank).or_default();
            job.tasks.push(task);
            job.work_secs += task.secs;
            queue.queued += 1;
            queue.work_secs += task.secs;
            queue.virtual_time -= virtual_time(task.secs, queue.weight);
        });
    }

    /// The task whose turn it is, if any customer is ready.
    pub fn peek(&self) -> Option<NextTask> {
        let (_, customer) = *self.ready.first()?;
        let (rank, job) = self.queue(customer).jobs.first_key_value()?;
        let task = *job.tasks.last()?;
        Some(NextTask {
            customer,
            rank: *rank,
            task,
            behind: job.tasks.len() - 1,
        })
    }

    /// Takes out the task that [`FairQueue::peek`] named and charges its customer.
    pub fn take(&mut self, next: &NextTask) {
        if let Some((start, _)) = self.ready.first() {
            self.virtual_time = self.virtual_time.max(*start);
        }
        self.update(next.customer, |queue, _| {
            let Some(job) = queue.jobs.get_mut(&next.rank) else {
                return;
            };
            job.tasks.pop();
            job.work_secs -= next.task.secs;
            queue.queued -= 1;
            queue.work_secs -= next.task.secs;
            queue.virtual_time += virtual_time(next.task.secs, queue.weight);
            if job.tasks.is_empty() {
                queue.jobs.remove(&next.rank);
            }
        });
    }

    /// Takes out all waiting tasks of a job.
    pub fn remove_job(&mut self, customer: CustomerIndex, rank: JobRank) {
        self.update(customer, |queue, _| {
            if let Some(job) = queue.jobs.remove(&rank) {
                queue.queued -= job.tasks.len();
                queue.work_secs -= job.work_secs;
            }
        });
    }

    /// Corrects a customer's charge by the slot time beyond (or short of) the
    /// expected, in seconds.
    pub fn correct(&mut self, customer: CustomerIndex, secs: f64) {
        self.update(customer, |queue, now| {
            let corrected = queue.virtual_time + virtual_time(secs, queue.weight);
            queue.virtual_time = if queue.queued == 0 {
                corrected.max(now)
            } else {
                corrected
            };
        });
    }

    /// Notes a start or an end of a customer's task.
    pub fn count_running(&mut self, customer: CustomerIndex, started: bool) {
        let queue = &mut self.customers[customer.0 as usize];
        queue.running = if started {
            queue.running + 1
        } else {
            queue.running.saturating_sub(1)
        };
    }

    /// Takes a customer out of the order, or back in.
    pub fn set_blocked(&mut self, customer: CustomerIndex, blocked: bool) {
        self.update(customer, |queue, _| queue.blocked = blocked);
    }

    /// Whether a customer is taken out of the order.
    pub fn is_blocked(&self, customer: CustomerIndex) -> bool {
        self.queue(customer).blocked
    }

    /// Name of a customer.
    pub fn name(&self, customer: CustomerIndex) -> &names::CustomerName {
        &self.queue(customer).name
    }

    /// Waiting tasks of customers that are not blocked.
    pub fn ready_tasks(&self) -> usize {
        self.ready_tasks
    }

    /// Waiting tasks of all customers.
    pub fn queued_tasks(&self) -> usize {
        self.customers.iter().map(|queue| queue.queued).sum()
    }

    /// A customer's waiting work ahead of a rank, in seconds of an average slot.
    pub fn own_work_ahead(&self, customer: CustomerIndex, rank: JobRank) -> f64 {
        let queue = self.queue(customer);
        queue.jobs.range(..rank).map(|(_, job)| job.work_secs).sum()
    }

    /// A customer's share of the slots by weight among those that have work.
    pub fn fair_share(&self, customer: CustomerIndex) -> f64 {
        let own = self.queue(customer).weight;
        let others = self.ready.iter().filter(|(_, other)| *other != customer);
        let others: f64 = others.map(|(_, other)| self.queue(*other).weight).sum();
        own / (own + others)
    }

    /// All customers' work that is served before `own_secs` more work of one
    /// customer is, in seconds of an average slot.
    pub fn work_ahead(&self, customer: CustomerIndex, own_secs: f64) -> f64 {
        let queue = self.queue(customer);
        let start = queue.virtual_time.max(self.virtual_time);
        let finish = start + virtual_time(own_secs, queue.weight);
        let others = self
            .ready
            .iter()
            .take_while(|(from, _)| *from < finish)
            .filter(|(_, other)| *other != customer)
            .map(|(from, other)| {
                let other = self.queue(*other);
                let by_turn = (finish - from) as f64 / VIRTUAL_PER_SEC * other.weight;
                other.work_secs.min(by_turn)
            });
        own_secs + others.sum::<f64>()
    }

    /// All customers with work.
    pub fn loads(&self) -> Vec<CustomerLoad> {
        let active = |queue: &&CustomerQueue| queue.queued + queue.running > 0;
        let load = |queue: &CustomerQueue| CustomerLoad {
            customer: queue.name.clone(),
            queued: queue.queued,
            running: queue.running,
        };
        self.customers.iter().filter(active).map(load).collect()
    }
}

fn virtual_time(secs: f64, weight: f64) -> i64 {
    #[expect(clippy::cast_possible_truncation, reason = "saturates, as wanted")]
    let units = (secs * VIRTUAL_PER_SEC / weight) as i64;
    units
}
