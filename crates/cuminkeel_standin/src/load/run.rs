//! Runs one scenario: each load and each policy on a site of its own.

use std::{collections, sync, time};

use cuminkeel_dispatch::factory;
use rand::{RngExt, SeedableRng, rngs};

use crate::{backend, balancer, sync_lock};

use super::{
    calibration, caller, catalog, checks, error, fleet, host, ideal, lists, operators, plan,
    report, script, site, stats, watch, workload,
};

/// Begin of the run that is not measured: new entries know no server's speed.
const WARM_UP_SHARE: f64 = 0.2;
/// Time without jobs in which the control traffic is measured.
const IDLE_SPAN: time::Duration = time::Duration::from_secs(1);
/// Time for which the entries may catch up at the end of a run with edits.
const CATCH_UP_SPAN: time::Duration = time::Duration::from_secs(12);
/// Send lag above which the processor may have bounded a run, in milliseconds.
const BOUND_LAG_MILLIS: f64 = 20.0;
/// Busy share of the machine above which the processor may have bounded a run.
const BOUND_BUSY_SHARE: f64 = 0.8;

/// Runs a scenario with our policy and the baselines, one after the other.
///
/// # Errors
/// The scenario is unknown, or a site could not be started.
pub async fn run_scenario(
    name: &str,
    options: plan::LoadOptions,
    fleets: &dyn fleet::FleetFactory,
) -> Result<report::ScenarioReport, error::LoadError> {
    run_policies(name, options, fleets, &factory::POLICY_NAMES).await
}

/// Runs a scenario with chosen policies.
///
/// # Errors
/// The scenario is unknown, or a site could not be started.
pub async fn run_policies(
    name: &str,
    options: plan::LoadOptions,
    fleets: &dyn fleet::FleetFactory,
    policies: &[&str],
) -> Result<report::ScenarioReport, error::LoadError> {
    let scenario = catalog::find(name)?;
    let plan = (scenario.plan)(&options);
    let mut loads = Vec::new();
    for load in &plan.workload.loads {
        let mut reports = Vec::new();
        for policy in policies {
            let run = PolicyRun {
                plan: &plan,
                options,
                load: *load,
                policy,
            };
            reports.push(run.measure(fleets).await?);
        }
        loads.push(report::LoadReport {
            load: *load,
            policies: reports,
        });
    }
    let mut loads = loads.into_iter();
    let first = loads.next();
    Ok(report::ScenarioReport {
        scenario: scenario.name,
        seed: options.seed,
        deployment: options.deployment.to_string(),
        seconds: options.span.as_secs_f64(),
        load: first.as_ref().map_or(0.0, |first| first.load),
        policies: first.map(|first| first.policies).unwrap_or_default(),
        further_loads: loads.collect(),
    })
}

/// One policy at one load.
struct PolicyRun<'a> {
    plan: &'a plan::ScenarioPlan,
    options: plan::LoadOptions,
    load: f64,
    policy: &'a str,
}

/// What the idle second showed.
struct IdleFigures {
    core_share: f64,
    memory_bytes: u64,
}

impl PolicyRun<'_> {
    async fn measure(
        &self,
        fleets: &dyn fleet::FleetFactory,
    ) -> Result<report::PolicyReport, error::LoadError> {
        let mut rng = rngs::StdRng::seed_from_u64(self.options.seed);
        let api_keys = lists::draw_api_keys(&self.plan.customers, &mut rng);
        let edits = lists::first_edits(&self.plan.customers, &api_keys, &mut rng);
        let resident = host::resident_bytes();
        let fleet = fleets.open(self.fleet_settings()).await?;
        let site = site::LoadSite::start(&self.plan.site, self.options, &edits, fleet).await?;
        let site = sync::Arc::new(site);
        let idle = self.idle(&site, resident).await;
        let overhead = calibration::direct_overhead(&site.servers[0]).await;
        let callers = self.callers(&site, api_keys, rng.random());
        Ok(self.load_site(&site, callers, overhead, idle).await)
    }

    fn fleet_settings(&self) -> fleet::FleetSettings {
        let deployment = self.options.deployment;
        fleet::FleetSettings {
            policy: self.policy.into(),
            response_weight: deployment.response_weight(),
            message_weight: deployment.message_weight(),
            seed: self.options.seed,
        }
    }

    fn callers(
        &self,
        site: &site::LoadSite,
        api_keys: Vec<sync::Arc<str>>,
        run_token: u64,
    ) -> sync::Arc<caller::CallerPool> {
        let balancer = balancer::EntryBalancer::new(
            site.platform.clone(),
            self.plan.site.spread.clone(),
            self.plan.site.double_every,
            self.options.seed,
        );
        sync::Arc::new(caller::CallerPool::new(
            sync::Arc::new(balancer),
            site.ledger.clone(),
            api_keys,
            run_token,
        ))
    }

    /// Processor time and memory of the entries before any job; only looked at
    /// in scenarios with edits.
    async fn idle(&self, site: &site::LoadSite, resident_before: u64) -> Option<IdleFigures> {
        self.plan.edits?;
        let entries = site.running().len().max(1);
        let before = host::HostSample::take();
        tokio::time::sleep(IDLE_SPAN).await;
        let cores = host::HostSample::take().process_cores(&before);
        let grown = host::resident_bytes().saturating_sub(resident_before);
        Some(IdleFigures {
            core_share: cores / entries as f64,
            memory_bytes: grown / entries as u64,
        })
    }

    async fn load_site(
        &self,
        site: &sync::Arc<site::LoadSite>,
        callers: sync::Arc<caller::CallerPool>,
        overhead: time::Duration,
        idle: Option<IdleFigures>,
    ) -> report::PolicyReport {
        let workload = &self.plan.workload;
        let capacity = site.capacity();
        let jobs = sync::Arc::new(workload::draw_jobs(
            workload,
            &self.plan.customers,
            self.load,
            capacity,
            &self.options,
        ));
        let watch = sync::Arc::<watch::EntryWatch>::default();
        watch.look(site).await;
        let before_messages = MessageTotals::of(&watch);
        let before = host::HostSample::take();
        let begin = site.ledger.elapsed();
        let start = tokio::time::Instant::now();
        let watching = tokio::spawn(watch.clone().run(site.clone(), self.poll_period()));
        let script = tokio::spawn(script::play(site.clone(), self.plan.script.clone(), start));
        let desk = sync::Arc::new(operators::OperatorDesk::new(site.clone()));
        let edits = self.start_edits(&desk, start);
        let records = submit_all(&callers, &jobs, start).await;
        let after = host::HostSample::take();
        // A script or an operator that panicked shows in the site's faults.
        finish(script, site).await;
        let tally = self.finish_edits(&desk, edits, &watch, site).await;
        watching.abort();
        watch.look(site).await;
        let starts = site.ledger.starts();
        let trace = checks::RunTrace {
            customers: &self.plan.customers,
            jobs: &jobs,
            records: &records,
            starts: &starts,
            ideals: &job_ideals(site, &jobs),
            begin,
            window: (self.options.span.mul_f64(WARM_UP_SHARE), self.options.span),
            overhead,
            client_round_trip: self.options.deployment.client_latency() * 2,
            capacity,
            server_fault: self.first_server_fault(),
            leaving: &sync_lock::lock(&site.leaving).clone(),
        };
        let messages = MessageTotals::of(&watch).since(&before_messages);
        report::PolicyReport {
            policy: self.policy.to_owned(),
            outcome: checks::outcome_report(&trace),
            messages: message_report(site, &messages, starts.len(), start.elapsed()),
            config: idle.map(|idle| config_report(&tally, &watch, site, &idle)),
            harness: harness_report(&records, overhead, (&before, &after), site),
            answers: callers.answer_counts(),
        }
    }

    fn poll_period(&self) -> time::Duration {
        match self.plan.edits {
            Some(_) => watch::FAST_POLL,
            None => watch::SLOW_POLL,
        }
    }

    fn start_edits(
        &self,
        desk: &sync::Arc<operators::OperatorDesk>,
        start: tokio::time::Instant,
    ) -> tokio::task::JoinSet<()> {
        let mut operators = tokio::task::JoinSet::new();
        if let Some(edits) = self.plan.edits {
            for operator in 0..edits.operators {
                operators.spawn(desk.clone().operate(operator, edits, start));
            }
        }
        operators
    }

    /// Waits for the operators, then for the entries to have the last edit.
    async fn finish_edits(
        &self,
        desk: &operators::OperatorDesk,
        mut operators: tokio::task::JoinSet<()>,
        watch: &watch::EntryWatch,
        site: &site::LoadSite,
    ) -> operators::EditTally {
        while operators.join_next().await.is_some() {}
        let tally = desk.tally();
        let last = tally.accepted.iter().map(|edit| edit.offset).max();
        let deadline = tokio::time::Instant::now() + CATCH_UP_SPAN;
        while tokio::time::Instant::now() < deadline {
            let traces = watch.traces();
            let behind = site.running().iter().any(|entry| {
                let offset = traces
                    .get(&entry.vm)
                    .and_then(|trace| trace.last.config_offset);
                offset <= last
            });
            if last.is_none() || !behind {
                break;
            }
            tokio::time::sleep(watch::FAST_POLL).await;
        }
        tally
    }

    fn first_server_fault(&self) -> Option<time::Duration> {
        self.plan
            .script
            .iter()
            .find(|step| matches!(step.action, plan::SiteAction::ServerFault(_, Some(_))))
            .map(|step| self.options.span.mul_f64(step.at))
    }
}

/// Submits each job at its time and waits for all answers.
async fn submit_all(
    callers: &sync::Arc<caller::CallerPool>,
    jobs: &sync::Arc<Vec<workload::JobPlan>>,
    start: tokio::time::Instant,
) -> Vec<caller::JobRecord> {
    let mut running = tokio::task::JoinSet::new();
    for position in 0..jobs.len() {
        tokio::time::sleep_until(start + jobs[position].arrival).await;
        let callers = callers.clone();
        let jobs = jobs.clone();
        running.spawn(async move { callers.run_job(position, &jobs[position], start).await });
    }
    running.join_all().await
}

async fn finish(script: tokio::task::JoinHandle<()>, site: &site::LoadSite) {
    if let Err(failure) = script.await {
        site.note(failure);
    }
}

fn job_ideals(site: &site::LoadSite, jobs: &[workload::JobPlan]) -> Vec<checks::JobIdeal> {
    let fleet = site.slot_slowness(None);
    let domain = site.slot_slowness(Some(0));
    jobs.iter()
        .map(|job| {
            let work: Vec<_> = job.tasks.iter().map(|task| task.work).collect();
            checks::JobIdeal {
                fleet: ideal::job_finish(&work, &fleet),
                domain: ideal::job_finish(&work, &domain),
            }
        })
        .collect()
}

/// Messages between entries, summed over all that ever ran.
#[derive(Debug, Default)]
struct MessageTotals {
    by_kind: collections::BTreeMap<String, u64>,
    control_bytes: u64,
}

impl MessageTotals {
    fn of(watch: &watch::EntryWatch) -> Self {
        let mut totals = Self::default();
        for trace in watch.traces().into_values() {
            for (kind, count) in trace.last.task_messages {
                *totals.by_kind.entry(kind).or_insert(0) += count;
            }
            totals.control_bytes += trace.last.control_bytes;
        }
        totals
    }

    fn since(mut self, earlier: &Self) -> Self {
        for (kind, count) in &mut self.by_kind {
            *count = count.saturating_sub(earlier.by_kind.get(kind).copied().unwrap_or(0));
        }
        self.control_bytes = self.control_bytes.saturating_sub(earlier.control_bytes);
        self
    }
}

fn message_report(
    site: &site::LoadSite,
    messages: &MessageTotals,
    starts: usize,
    span: time::Duration,
) -> report::MessageReport {
    let counts: backend::ledger::LedgerCounts = site.ledger.counts();
    let between: u64 = messages.by_kind.values().sum();
    let wasted = counts.wasted_messages() + between;
    let entries = site.running().len().max(1) as f64;
    let over_limit = site.servers.iter().map(|server| server.connection_peak().1);
    report::MessageReport {
        wasted_messages_per_task: wasted as f64 / (starts.max(1) as f64),
        task_starts: starts as u64,
        server_refusals: counts.refusals(),
        stops: counts.stops,
        entry_messages: messages.by_kind.clone(),
        connections_over_limit: over_limit.sum(),
        control_bytes_per_second: messages.control_bytes as f64 / span.as_secs_f64() / entries,
    }
}

fn harness_report(
    records: &[caller::JobRecord],
    overhead: time::Duration,
    samples: (&host::HostSample, &host::HostSample),
    site: &site::LoadSite,
) -> report::HarnessReport {
    let (before, after) = samples;
    let lags = records
        .iter()
        .map(|record| record.lag.as_secs_f64() * 1_000.0);
    let send_lag_ms_p99 = stats::ValueHistogram::of(lags)
        .quantile(0.99)
        .unwrap_or(0.0);
    let machine_busy_share = after.machine_busy_share(before);
    report::HarnessReport {
        overhead_ms: overhead.as_secs_f64() * 1_000.0,
        send_lag_ms_p99,
        process_cores: after.process_cores(before),
        machine_cores: host::machine_cores(),
        machine_busy_share,
        processor_bound: send_lag_ms_p99 > BOUND_LAG_MILLIS
            || machine_busy_share > BOUND_BUSY_SHARE,
        faults: sync_lock::lock(&site.faults).clone(),
    }
}

fn config_report(
    tally: &operators::EditTally,
    watch: &watch::EntryWatch,
    site: &site::LoadSite,
    idle: &IdleFigures,
) -> report::ConfigReport {
    let traces = watch.traces();
    let running = site.running();
    let mut lost = 0;
    let mut spans = Vec::new();
    let mut slowest_edit: Option<(time::Duration, u64)> = None;
    for edit in &tally.accepted {
        let mut slowest = time::Duration::ZERO;
        for entry in &running {
            let sighting = traces.get(&entry.vm).and_then(|trace| {
                trace
                    .offsets
                    .iter()
                    .find(|sighting| sighting.offset > edit.offset)
            });
            match sighting {
                Some(sighting) => {
                    let since = edit.at.max(entry.started);
                    slowest = slowest.max(sighting.at.saturating_duration_since(since));
                }
                None => lost += 1,
            }
        }
        spans.push(slowest.as_secs_f64() * 1_000.0);
        slowest_edit = slowest_edit.max(Some((slowest, edit.offset)));
    }
    let spans = stats::ValueHistogram::of(spans);
    report::ConfigReport {
        edits_accepted: tally.accepted.len() as u64,
        edits_conflicting: tally.conflicting,
        edits_unsettled: tally.unsettled,
        in_force_ms_p50: spans.quantile(0.5),
        in_force_ms_p99: spans.quantile(0.99),
        in_force_ms_max: spans.max(),
        slowest_edit_offset: slowest_edit.map(|(_, offset)| offset),
        reverts: traces.values().map(|trace| trace.reverts).sum(),
        lost_edits: lost,
        control_core_share: idle.core_share,
        control_memory_bytes: idle.memory_bytes,
    }
}
