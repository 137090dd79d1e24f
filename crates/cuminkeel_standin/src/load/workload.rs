//! Draws the jobs of a run: open-loop Poisson arrivals with a fixed seed.

use std::time;

use rand::{RngExt, SeedableRng, rngs};

use super::plan;

/// Bytes of padding in each output.
pub const OUTPUT_BYTES: usize = 16;

/// One task as it will really run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskPlan {
    /// Run time on a server of slowness 1.
    pub work: time::Duration,
    /// Run time that is declared.
    pub declared: time::Duration,
    /// Size that is declared, in thousandths of a core.
    pub size_millicores: u32,
}

/// One job to submit.
#[derive(Clone, Debug, PartialEq)]
pub struct JobPlan {
    /// Time from the start of the run.
    pub arrival: time::Duration,
    /// Position of the customer.
    pub customer: usize,
    /// Class of the tasks.
    pub class: &'static str,
    /// Whether a second run does no harm.
    pub idempotent: bool,
    /// Time for the answer.
    pub deadline: time::Duration,
    /// When the caller cancels it, from the start of the run.
    pub cancel_at: Option<time::Duration>,
    /// The tasks.
    pub tasks: Vec<TaskPlan>,
}

impl JobPlan {
    /// Run time of all tasks together on a server of slowness 1.
    pub fn work(&self) -> time::Duration {
        self.tasks.iter().map(|task| task.work).sum()
    }
}

/// Mean work of a job, in seconds.
pub fn mean_job_seconds(shapes: &[plan::JobShape]) -> f64 {
    let total: f64 = shapes.iter().map(|shape| f64::from(shape.share)).sum();
    let work: f64 = shapes
        .iter()
        .map(|shape| f64::from(shape.share) * mean_shape_seconds(shape))
        .sum();
    work / total
}

fn mean_shape_seconds(shape: &plan::JobShape) -> f64 {
    let tasks = f64::midpoint(
        f64::from(*shape.tasks.start()),
        f64::from(*shape.tasks.end()),
    );
    let millis = f64::midpoint(
        *shape.work_millis.start() as f64,
        *shape.work_millis.end() as f64,
    );
    tasks * millis / 1_000.0
}

/// Draws all jobs that arrive in `span`, at `load` of a capacity given in
/// seconds of work per second.
pub fn draw_jobs(
    workload: &plan::WorkloadPlan,
    customers: &[plan::CustomerPlan],
    load: f64,
    capacity: f64,
    options: &plan::LoadOptions,
) -> Vec<JobPlan> {
    let mut generator = JobGenerator {
        workload,
        customers,
        span: options.span,
        rng: rngs::StdRng::seed_from_u64(options.seed),
    };
    let rate = load * capacity / mean_job_seconds(&workload.shapes);
    generator.draw(rate)
}

struct JobGenerator<'a> {
    workload: &'a plan::WorkloadPlan,
    customers: &'a [plan::CustomerPlan],
    span: time::Duration,
    rng: rngs::StdRng,
}

impl JobGenerator<'_> {
    /// Thins a Poisson process of the highest rate down to the rate of each time.
    fn draw(&mut self, rate: f64) -> Vec<JobPlan> {
        let peak = self
            .workload
            .burst
            .map_or(1.0, |burst| burst.factor.max(1.0));
        let span = self.span.as_secs_f64();
        let mut jobs = Vec::new();
        let mut at = 0.0;
        loop {
            at += self.exponential(rate * peak);
            if at >= span {
                return jobs;
            }
            let kept = self.rate_factor(at / span) / peak;
            if self.rng.random::<f64>() < kept {
                jobs.push(self.job(time::Duration::from_secs_f64(at)));
            }
        }
    }

    fn exponential(&mut self, rate: f64) -> f64 {
        let uniform: f64 = self.rng.random();
        -(1.0 - uniform).ln() / rate
    }

    fn rate_factor(&self, share: f64) -> f64 {
        match self.workload.burst {
            Some(burst) if share >= burst.from && share < burst.to => burst.factor,
            _ => 1.0,
        }
    }

    fn job(&mut self, arrival: time::Duration) -> JobPlan {
        let shape = self.shape().clone();
        let customer = self.customer();
        let count = self.rng.random_range(shape.tasks.clone());
        let tasks = (0..count).map(|_| self.task(&shape)).collect();
        JobPlan {
            arrival,
            customer,
            class: shape.class,
            idempotent: shape.idempotent,
            deadline: shape.deadline,
            cancel_at: self.cancel_at(arrival),
            tasks,
        }
    }

    fn shape(&mut self) -> &plan::JobShape {
        let shapes = &self.workload.shapes;
        let total: u32 = shapes.iter().map(|shape| shape.share).sum();
        let mut rest = self.rng.random_range(0..total);
        for shape in shapes {
            if rest < shape.share {
                return shape;
            }
            rest -= shape.share;
        }
        &shapes[0]
    }

    fn customer(&mut self) -> usize {
        let total: u32 = self.customers.iter().map(|customer| customer.demand).sum();
        let mut rest = self.rng.random_range(0..total);
        for (position, customer) in self.customers.iter().enumerate() {
            if rest < customer.demand {
                return position;
            }
            rest -= customer.demand;
        }
        0
    }

    fn task(&mut self, shape: &plan::JobShape) -> TaskPlan {
        let millis = self.rng.random_range(shape.work_millis.clone());
        let work = time::Duration::from_millis(millis);
        let low = shape.declared_factor.start().ln();
        let high = shape.declared_factor.end().ln();
        let factor = (low + (high - low) * self.rng.random::<f64>()).exp();
        TaskPlan {
            work,
            declared: work.mul_f64(factor).max(time::Duration::from_millis(1)),
            size_millicores: self.rng.random_range(shape.size_millicores.clone()),
        }
    }

    fn cancel_at(&mut self, arrival: time::Duration) -> Option<time::Duration> {
        let cancel = self.workload.cancel?;
        let at = self.span.mul_f64(cancel.at);
        let struck = arrival >= self.span.mul_f64(cancel.from) && arrival < at;
        (struck && self.rng.random::<f64>() < cancel.share).then_some(at)
    }
}
