//! Checks of the run histories of backend servers, used to verify the invariants.

use std::collections::{BTreeMap, BTreeSet};

use cuminkeel_dispatch::{job_model, server_model};

use crate::fake_server;

/// Runs of all servers, grouped by task and sorted by start time.
#[derive(Debug, Default)]
pub struct RunAudit {
    runs: BTreeMap<job_model::TaskName, Vec<fake_server::RunRecord>>,
}

impl RunAudit {
    /// Adds the ended runs of one server.
    pub fn add(&mut self, history: impl IntoIterator<Item = fake_server::RunRecord>) {
        for run in history {
            let runs = self.runs.entry(run.task.clone()).or_default();
            let position = runs.partition_point(|earlier| earlier.started_at <= run.started_at);
            runs.insert(position, run);
        }
    }

    /// Returns the pairs of consecutive runs of a task of which the second started before
    /// the first had ended.
    pub fn overlapping_runs(&self) -> Vec<[fake_server::RunRecord; 2]> {
        self.runs
            .values()
            .flat_map(|runs| runs.windows(2))
            .filter(|pair| pair[0].ended_at > pair[1].started_at)
            .map(|pair| [pair[0].clone(), pair[1].clone()])
            .collect()
    }

    /// Returns the runs of all tasks of the job `job_id`.
    pub fn runs_of<'a>(
        &'a self,
        job_id: &'a str,
    ) -> impl Iterator<Item = &'a fake_server::RunRecord> {
        self.runs
            .iter()
            .filter(move |(task, _)| &*task.job == job_id)
            .flat_map(|(_, runs)| runs)
    }

    /// Returns the number of tasks of the job `job_id` that have a successful run.
    pub fn done_task_count(&self, job_id: &str) -> usize {
        let done_tasks: BTreeSet<(u16, u16)> = self
            .runs_of(job_id)
            .filter(|run| run.end == Some(server_model::RunEnd::Done))
            .map(|run| (run.task.step, run.task.index))
            .collect();
        done_tasks.len()
    }

    /// Returns the largest number of runs of one task of the job `job_id` that were lost with their servers.
    pub fn most_lost_runs(&self, job_id: &str) -> usize {
        let mut lost_runs: BTreeMap<&job_model::TaskName, usize> = BTreeMap::new();
        for run in self.runs_of(job_id).filter(|run| run.end.is_none()) {
            *lost_runs.entry(&run.task).or_default() += 1;
        }
        lost_runs.into_values().max().unwrap_or(0)
    }

    /// Returns the number of failed runs of the job `job_id`.
    pub fn failed_run_count(&self, job_id: &str) -> usize {
        self.runs_of(job_id)
            .filter(|run| run.end == Some(server_model::RunEnd::Failed))
            .count()
    }
}
