//! Experiments: variants of the policies on load scenarios, paired by seed.

use std::{
    fs, io, path,
    sync::{Arc, Mutex, PoisonError, atomic},
    thread,
};

use cuminkeel_replay::{load_scenario, replay_tally};
use derive_more::{Display, Error};
use rand::{RngExt, SeedableRng, rngs};
use serde::Deserialize;

/// Largest number of seeds: a run of all scenarios with one variant takes about a second for each.
const MAX_SEEDS: u64 = 1_000;
/// Resamples of a bootstrap: the 2.5 and 97.5 percentiles are then the 25th and 975th of them.
const BOOTSTRAP_RESAMPLES: usize = 1_000;

/// One variant of the policies.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyVariant {
    /// Name shown in reports.
    pub name: Arc<str>,
    /// Policies that differ from those of production.
    #[serde(default)]
    pub policies: load_scenario::ScenarioPolicies,
}

/// Plan of an experiment, read from a YAML file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExperimentPlan {
    /// First seed; each scenario is drawn with this and the following ones.
    pub first_seed: u64,
    /// Number of seeds.
    pub seeds: u64,
    /// Names of the scenarios; empty for all.
    #[serde(default)]
    pub scenarios: Vec<Arc<str>>,
    /// Variants; the others are compared with the first one.
    pub variants: Vec<PolicyVariant>,
}

/// Error of an experiment; nothing has been run then.
#[derive(Debug, Display, Error)]
pub enum ExperimentError {
    /// The plan can't be read.
    #[display("can't read experiment {}: {source}", path.display())]
    Unreadable {
        /// Path of the plan.
        path: path::PathBuf,
        /// Error of the file system.
        source: io::Error,
    },
    /// The plan is not valid YAML or has an unknown field or a value of a wrong type.
    #[display("malformed experiment {}: {source}", path.display())]
    Malformed {
        /// Path of the plan.
        path: path::PathBuf,
        /// Error of the YAML parser, with line and column.
        source: Box<serde_saphyr::Error>,
    },
    /// A field has a value that can't be used.
    #[display("{}: `{field}` {problem}", path.display())]
    Unusable {
        /// Path of the plan.
        path: path::PathBuf,
        /// Name of the field.
        field: &'static str,
        /// What is wrong, and what is expected.
        problem: Arc<str>,
    },
}

impl ExperimentPlan {
    /// Reads the YAML file at `path` and checks it.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, isn't valid YAML, has an unknown field or a value
    /// of a wrong type, or names no variant, no seed, a variant twice or an unknown scenario.
    pub fn read(path: &path::Path) -> Result<Self, ExperimentError> {
        let text = fs::read_to_string(path).map_err(|source| ExperimentError::Unreadable {
            path: path.into(),
            source,
        })?;
        let plan: Self =
            serde_saphyr::from_str(&text).map_err(|source| ExperimentError::Malformed {
                path: path.into(),
                source: Box::new(source),
            })?;
        let unusable = |field, problem: &str| ExperimentError::Unusable {
            path: path.into(),
            field,
            problem: Arc::from(problem),
        };
        let known = load_scenario::all_scenarios(plan.first_seed);
        let unknown = plan
            .scenarios
            .iter()
            .find(|name| known.iter().all(|scenario| *scenario.name != ***name));
        let repeated = plan.variants.iter().enumerate().find(|(number, variant)| {
            let earlier = &plan.variants[..*number];
            earlier.iter().any(|other| other.name == variant.name)
        });
        match (unknown, repeated) {
            (Some(name), _) => {
                let problem = format!("has `{name}`, which is no scenario of `bench list`");
                Err(unusable("scenarios", &problem))
            }
            (None, Some((_, variant))) => {
                let problem = format!("has `{}` twice", variant.name);
                Err(unusable("variants", &problem))
            }
            (None, None) if plan.variants.is_empty() => {
                Err(unusable("variants", "is empty; name at least one"))
            }
            (None, None) if !(1..=MAX_SEEDS).contains(&plan.seeds) => {
                let problem = format!("is {}; use 1 to {MAX_SEEDS}", plan.seeds);
                Err(unusable("seeds", &problem))
            }
            (None, None) => Ok(plan),
        }
    }
}

/// A mean with its 95 % interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeanInterval {
    /// Mean.
    pub mean: f64,
    /// Lower end of the interval.
    pub low: f64,
    /// Upper end of the interval.
    pub high: f64,
}

impl MeanInterval {
    /// Returns the mean of `samples` with its interval by the percentile bootstrap. The resampling has a
    /// fixed seed, so the same samples have the same interval.
    pub fn bootstrap(samples: &[f64]) -> Self {
        let mean_of = |values: &mut dyn Iterator<Item = f64>| {
            values.sum::<f64>() / (samples.len().max(1) as f64)
        };
        let mut rng = rngs::StdRng::seed_from_u64(1);
        let mut means: Vec<f64> = (0..BOOTSTRAP_RESAMPLES)
            .map(|_| {
                let mut resample = (0..samples.len()).map(|_| {
                    let position = rng.random_range(0..samples.len());
                    samples[position]
                });
                mean_of(&mut resample)
            })
            .collect();
        means.sort_by(f64::total_cmp);
        Self {
            mean: mean_of(&mut samples.iter().copied()),
            low: means[BOOTSTRAP_RESAMPLES / 40],
            high: means[BOOTSTRAP_RESAMPLES - 1 - BOOTSTRAP_RESAMPLES / 40],
        }
    }

    /// Whether the interval leaves out zero.
    pub fn differs_from_zero(&self) -> bool {
        self.low > 0.0 || self.high < 0.0
    }
}

/// Means over the seeds of one variant on one scenario.
#[derive(Clone, Debug)]
pub struct VariantRow {
    /// Name of the variant.
    pub variant: Arc<str>,
    /// Worth as a share of the worth offered.
    pub worth: f64,
    /// Difference of the worth to that of the first variant.
    pub worth_change: MeanInterval,
    /// Difference of the jobs in time to those of the first variant, as a share of all jobs.
    pub in_time_change: MeanInterval,
    /// Jobs by how they ended, each a share of all jobs: in time, late, refused, held, given up.
    pub end_shares: [f64; 5],
    /// Late jobs by cause, each a share of all jobs: waited, spread, slow run.
    pub late_shares: [f64; 3],
    /// Jobs refused while there was room, as a share of all jobs.
    pub refused_with_room: f64,
    /// Mean time for which a held job waited, in seconds.
    pub held_s: f64,
    /// Work that was not done for answers in time, as a share of all work.
    pub wasted_work: f64,
    /// Worth of the class that got the least.
    pub least_class: f64,
    /// Worth of the failure domain that got the least.
    pub least_domain: f64,
    /// Number of violated invariants over all seeds.
    pub violations: usize,
}

/// Results of all variants on one scenario.
#[derive(Clone, Debug)]
pub struct ScenarioTable {
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Mean over the seeds of the upper bound on the worth.
    pub bound: f64,
    /// Rows in the order of the variants.
    pub rows: Vec<VariantRow>,
}

/// Runs the experiment on all processors; `on_progress` is called after each replay. Returns the tables of the
/// scenarios, and one over all of them at the end.
pub fn run(plan: &ExperimentPlan, on_progress: &(dyn Fn() + Sync)) -> Vec<ScenarioTable> {
    let seeds: Vec<u64> = (plan.first_seed..plan.first_seed + plan.seeds).collect();
    let scenarios_of_seeds: Vec<Vec<load_scenario::LoadScenario>> =
        seeds.iter().map(|seed| selected(plan, *seed)).collect();
    let scenario_count = scenarios_of_seeds.first().map_or(0, Vec::len);
    let variant_count = plan.variants.len();
    // Replays in the order of scenario, variant and seed; then the bounds.
    let replay_count = scenario_count * variant_count * seeds.len();
    let task_count = replay_count + scenario_count * seeds.len();
    let reports = Mutex::new(vec![None; replay_count]);
    let bounds = Mutex::new(vec![0.0; scenario_count * seeds.len()]);
    let next_task = atomic::AtomicUsize::new(0);
    thread::scope(|scope| {
        for _ in 0..thread::available_parallelism().map_or(1, usize::from) {
            scope.spawn(|| {
                loop {
                    let task = next_task.fetch_add(1, atomic::Ordering::Relaxed);
                    let seed = task % seeds.len();
                    match () {
                        () if task >= task_count => return,
                        () if task >= replay_count => {
                            let scenario = (task - replay_count) / seeds.len();
                            let bound = scenarios_of_seeds[seed][scenario].worth_bound();
                            let mut bounds = bounds.lock().unwrap_or_else(PoisonError::into_inner);
                            bounds[task - replay_count] = bound;
                        }
                        () => {
                            let variant = task / seeds.len() % variant_count;
                            let scenario = task / seeds.len() / variant_count;
                            let policies = plan.variants[variant].policies;
                            let report = scenarios_of_seeds[seed][scenario].replay(policies);
                            let mut reports =
                                reports.lock().unwrap_or_else(PoisonError::into_inner);
                            reports[task] = Some(report);
                        }
                    }
                    on_progress();
                }
            });
        }
    });
    let reports = reports.into_inner().unwrap_or_else(PoisonError::into_inner);
    let reports: Vec<replay_tally::ReplayReport> = reports.into_iter().flatten().collect();
    let bounds = bounds.into_inner().unwrap_or_else(PoisonError::into_inner);
    let names = scenarios_of_seeds
        .first()
        .map(|scenarios| scenarios.iter().map(|scenario| scenario.name));
    let mut tables: Vec<ScenarioTable> = names
        .into_iter()
        .flatten()
        .zip(reports.chunks(variant_count * seeds.len()))
        .zip(bounds.chunks(seeds.len()))
        .map(|((name, reports), bounds)| scenario_table(plan, name, reports, bounds))
        .collect();
    tables.push(scenario_table_of_all(plan, &reports, &bounds, seeds.len()));
    tables
}

/// Number of replays and bounds that [`run`] computes.
pub fn task_count(plan: &ExperimentPlan) -> u64 {
    let scenario_count = selected(plan, plan.first_seed).len();
    let per_seed = scenario_count * (plan.variants.len() + 1);
    plan.seeds * u64::try_from(per_seed).unwrap_or(u64::MAX)
}

fn selected(plan: &ExperimentPlan, seed: u64) -> Vec<load_scenario::LoadScenario> {
    let mut scenarios = load_scenario::all_scenarios(seed);
    scenarios.retain(|scenario| {
        plan.scenarios.is_empty() || plan.scenarios.iter().any(|name| **name == *scenario.name)
    });
    scenarios
}

/// Returns a table whose samples are the means over all scenarios for each seed.
fn scenario_table_of_all(
    plan: &ExperimentPlan,
    reports: &[replay_tally::ReplayReport],
    bounds: &[f64],
    seed_count: usize,
) -> ScenarioTable {
    // Groups the replays of all scenarios by variant and seed.
    let per_scenario = plan.variants.len() * seed_count;
    let grouped: Vec<Vec<&replay_tally::ReplayReport>> = (0..per_scenario)
        .map(|position| {
            let own = reports.iter().skip(position);
            own.step_by(per_scenario.max(1)).collect()
        })
        .collect();
    table(plan, "mean of all", &grouped, bounds)
}

fn scenario_table(
    plan: &ExperimentPlan,
    name: &'static str,
    reports: &[replay_tally::ReplayReport],
    bounds: &[f64],
) -> ScenarioTable {
    let grouped: Vec<Vec<&replay_tally::ReplayReport>> =
        reports.iter().map(|report| vec![report]).collect();
    table(plan, name, &grouped, bounds)
}

/// Returns the table of replays that are grouped by variant and seed.
fn table(
    plan: &ExperimentPlan,
    scenario: &'static str,
    grouped: &[Vec<&replay_tally::ReplayReport>],
    bounds: &[f64],
) -> ScenarioTable {
    let seed_count = (grouped.len() / plan.variants.len().max(1)).max(1);
    let reference = &grouped[..seed_count];
    ScenarioTable {
        scenario,
        bound: bounds.iter().sum::<f64>() / bounds.len().max(1) as f64,
        rows: plan
            .variants
            .iter()
            .zip(grouped.chunks(seed_count))
            .map(|(variant, groups)| variant_row(&variant.name, groups, reference))
            .collect(),
    }
}

fn variant_row(
    name: &Arc<str>,
    groups: &[Vec<&replay_tally::ReplayReport>],
    reference: &[Vec<&replay_tally::ReplayReport>],
) -> VariantRow {
    let mean_of = |figure: &dyn Fn(&replay_tally::ReplayReport) -> f64| {
        let means = groups.iter().map(|group| group_mean(group, figure));
        means.sum::<f64>() / groups.len().max(1) as f64
    };
    let change_of = |figure: &dyn Fn(&replay_tally::ReplayReport) -> f64| {
        let pairs = groups.iter().zip(reference);
        let changes: Vec<f64> = pairs
            .map(|(group, reference)| group_mean(group, figure) - group_mean(reference, figure))
            .collect();
        MeanInterval::bootstrap(&changes)
    };
    let worth = |report: &replay_tally::ReplayReport| report.worth_share;
    let share = |count: usize, report: &replay_tally::ReplayReport| {
        count as f64 / (job_count(report).max(1) as f64)
    };
    let held_jobs: usize = groups.iter().flatten().map(|r| r.end_counts.held).sum();
    let held_ms: u64 = groups.iter().flatten().map(|r| r.end_counts.held_ms).sum();
    VariantRow {
        variant: Arc::clone(name),
        worth: mean_of(&worth),
        worth_change: change_of(&worth),
        in_time_change: change_of(&|report| share(report.end_counts.in_time, report)),
        end_shares: [
            mean_of(&|report| share(report.end_counts.in_time, report)),
            mean_of(&|report| share(report.end_counts.late, report)),
            mean_of(&|report| share(report.end_counts.refused, report)),
            mean_of(&|report| share(report.end_counts.held, report)),
            mean_of(&|report| share(report.end_counts.given_up, report)),
        ],
        late_shares: [
            mean_of(&|report| share(report.end_counts.late_causes.waited, report)),
            mean_of(&|report| share(report.end_counts.late_causes.spread, report)),
            mean_of(&|report| share(report.end_counts.late_causes.slow_run, report)),
        ],
        refused_with_room: mean_of(&|report| share(report.end_counts.refused_with_room, report)),
        held_s: held_ms as f64 / 1e3 / held_jobs.max(1) as f64,
        wasted_work: mean_of(&|report| report.work.wasted_share()),
        least_class: mean_of(&|report| least(&report.class_worth_shares)),
        least_domain: mean_of(&|report| least(&report.domain_worth_shares)),
        violations: groups.iter().flatten().map(|r| r.violations.len()).sum(),
    }
}

fn group_mean(
    group: &[&replay_tally::ReplayReport],
    figure: &dyn Fn(&replay_tally::ReplayReport) -> f64,
) -> f64 {
    let figures = group.iter().map(|report| figure(report));
    figures.sum::<f64>() / group.len().max(1) as f64
}

fn job_count(report: &replay_tally::ReplayReport) -> usize {
    let counts = &report.end_counts;
    counts.in_time + counts.late + counts.refused + counts.held + counts.given_up
}

fn least(shares: &[f64]) -> f64 {
    shares.iter().copied().fold(1.0, f64::min)
}
