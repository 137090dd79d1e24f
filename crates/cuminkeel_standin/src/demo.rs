//! A first look: a deployment on loopback that serves two customers while one
//! entry is drained and one plan is edited.

use std::{fmt, net, sync, time};

use cuminkeel_config::{edit, record};
use cuminkeel_entry::{api, telemetry};
use cuminkeel_platform::{border, client};
use cuminkeel_types::names;
use serde::Serialize;

use crate::{backend, fleet, platform};

const DOMAINS: [&str; 3] = ["gebze", "bursa", "kocaeli"];
const CUSTOMERS: [&str; 2] = ["spring-shop", "mesh-weaver"];
const SERVERS_PER_DOMAIN: usize = 3;
const SLOTS: u32 = 8;
/// Run time relative to the work, of the servers of one failure domain.
const SLOWNESS: [f64; 3] = [1.0, 1.5, 2.5];
const JOBS_PER_CALLER: usize = 40;
const TASKS_PER_JOB: usize = 4;
const WORK_MS: u64 = 60;
const DEADLINE_MS: u64 = 8_000;
const CALL_LIMIT: time::Duration = time::Duration::from_secs(10);
const EDIT_LIMIT: time::Duration = time::Duration::from_secs(5);
const POLL_PAUSE: time::Duration = time::Duration::from_millis(20);

/// What happened.
#[derive(Clone, Debug, Default, Serialize)]
pub struct DemoReport {
    /// One line for each customer.
    pub customers: Vec<CustomerReport>,
    /// Milliseconds until the plan edit was in force on all entries; none if it was not.
    pub edit_in_force_ms: Option<u64>,
    /// Jobs that the drained entry left unfinished.
    pub left_by_drain: usize,
    /// Tasks that the backend servers started more than once.
    pub duplicate_starts: usize,
}

/// What became of one customer's jobs.
#[derive(Clone, Debug, Default, Serialize)]
pub struct CustomerReport {
    /// The customer.
    pub customer: String,
    /// Jobs submitted.
    pub jobs: usize,
    /// Answered whole.
    pub complete: usize,
    /// Answered with an output that is not the caller's own.
    pub crossed: usize,
    /// Refused or failed.
    pub failed: usize,
    /// Submissions repeated after a refusal that proved nothing ran.
    pub resubmitted: usize,
    /// Median time to the answer, in milliseconds.
    pub median_ms: u64,
}

impl DemoReport {
    /// Whether every answer was whole, once and to the right caller.
    pub fn is_clean(&self) -> bool {
        let whole = self
            .customers
            .iter()
            .all(|customer| customer.complete == customer.jobs && customer.crossed == 0);
        whole
            && self.edit_in_force_ms.is_some()
            && self.left_by_drain == 0
            && self.duplicate_starts == 0
    }
}

impl fmt::Display for DemoReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:<14} {:>6} {:>9} {:>8} {:>7} {:>12} {:>10}",
            "customer", "jobs", "complete", "crossed", "failed", "resubmitted", "median ms"
        )?;
        for row in &self.customers {
            writeln!(
                formatter,
                "{:<14} {:>6} {:>9} {:>8} {:>7} {:>12} {:>10}",
                row.customer,
                row.jobs,
                row.complete,
                row.crossed,
                row.failed,
                row.resubmitted,
                row.median_ms
            )?;
        }
        match self.edit_in_force_ms {
            Some(millis) => writeln!(formatter, "plan edit in force everywhere after {millis} ms")?,
            None => writeln!(formatter, "plan edit NOT in force everywhere")?,
        }
        writeln!(
            formatter,
            "jobs left by the drained entry: {}",
            self.left_by_drain
        )?;
        write!(
            formatter,
            "tasks started more than once: {}",
            self.duplicate_starts
        )
    }
}

/// Runs the demo and tells `progress` what happens.
///
/// # Errors
/// [`fleet::FleetError`]: the deployment did not come up.
pub async fn run(seed: u64, progress: &dyn Fn(&str)) -> Result<DemoReport, fleet::FleetError> {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    progress("starting the platform, 9 backend servers and 3 entries on loopback");
    let mut site =
        fleet::LoopbackSite::start(site_plan(seed), telemetry::TraceSource::off(), log).await?;
    let entries = sync::Arc::new(sync::RwLock::new(site.api_addresses()));
    progress("submitting jobs of two customers through all entries");
    let customers = site.plan().customers.clone();
    let callers = customers.iter().map(|customer| {
        let caller = site.caller(customer);
        tokio::spawn(run_customer(
            customer.name.to_string(),
            caller,
            sync::Arc::clone(&entries),
        ))
    });
    let callers: Vec<_> = callers.collect();
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    progress("editing a plan while the jobs run");
    let edit_in_force_ms = edit_plan(&site).await?;
    progress("draining one entry while the jobs run");
    let left_by_drain = drain_first(&mut site, &entries).await;
    let mut report = DemoReport {
        edit_in_force_ms,
        left_by_drain,
        ..DemoReport::default()
    };
    for caller in callers {
        if let Ok(customer) = caller.await {
            report.customers.push(customer);
        }
    }
    report.duplicate_starts = duplicate_starts(&site);
    site.stop().await;
    Ok(report)
}

fn site_plan(seed: u64) -> fleet::SitePlan {
    let domains: Vec<sync::Arc<str>> = DOMAINS.iter().map(|name| (*name).into()).collect();
    let servers = domains
        .iter()
        .flat_map(|domain| {
            (0..SERVERS_PER_DOMAIN).map(move |position| fleet::ServerPlan {
                domain: sync::Arc::clone(domain),
                rack: format!("{domain}-rack-{position}").into(),
                partner: "partner".into(),
                settings: backend::BackendSettings {
                    name: format!("{domain}-server-{position}").into(),
                    slots: SLOTS,
                    slowness: SLOWNESS[position % SLOWNESS.len()],
                    ..backend::BackendSettings::default()
                },
            })
        })
        .collect();
    fleet::SitePlan {
        platform: platform::PlatformSettings::default(),
        domains,
        entries_per_domain: 1,
        servers,
        customers: CUSTOMERS.iter().map(|name| customer(name)).collect(),
        policy: "cuminkeel".into(),
        response_weight: 1,
        message_weight: 1,
        seed,
    }
}

fn customer(name: &str) -> fleet::SiteCustomer {
    fleet::SiteCustomer {
        name: name.into(),
        api_key: format!("key of {name}").into(),
        weight: 1,
        max_concurrent_tasks: 200,
        max_task_starts_per_second: 5_000,
    }
}

async fn run_customer(
    name: String,
    caller: fleet::JobCaller,
    entries: sync::Arc<sync::RwLock<Vec<net::SocketAddr>>>,
) -> CustomerReport {
    let mut tasks = Vec::new();
    for number in 0..JOBS_PER_CALLER {
        let job = run_job(
            caller.clone(),
            sync::Arc::clone(&entries),
            name.clone(),
            number,
        );
        tasks.push(tokio::spawn(job));
        tokio::time::sleep(time::Duration::from_millis(25)).await;
    }
    let mut report = CustomerReport {
        customer: name,
        ..CustomerReport::default()
    };
    let mut elapsed = Vec::new();
    for task in tasks {
        report.jobs += 1;
        let Ok(outcome) = task.await else {
            report.failed += 1;
            continue;
        };
        report.complete += usize::from(outcome.complete);
        report.crossed += usize::from(outcome.crossed);
        report.failed += usize::from(!outcome.complete);
        report.resubmitted += outcome.resubmitted;
        elapsed.push(outcome.elapsed);
    }
    elapsed.sort_unstable();
    let median = elapsed.get(elapsed.len() / 2).copied().unwrap_or_default();
    report.median_ms = u64::try_from(median.as_millis()).unwrap_or(u64::MAX);
    report
}

#[derive(Debug, Default)]
struct JobOutcome {
    complete: bool,
    crossed: bool,
    resubmitted: usize,
    elapsed: time::Duration,
}

/// Runs one job that must not run twice, with the caller's protocol: a key
/// first, and the same key again through another entry when a call fails.
async fn run_job(
    caller: fleet::JobCaller,
    entries: sync::Arc<sync::RwLock<Vec<net::SocketAddr>>>,
    customer: String,
    number: usize,
) -> JobOutcome {
    let started = time::Instant::now();
    let submission = submission(&customer, number);
    let offered = || {
        entries
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .clone()
    };
    let run = fleet::run_job(&caller, &offered, number, &submission, CALL_LIMIT).await;
    let outputs = match run.end {
        fleet::ProtocolEnd::Complete(body) => body.outputs,
        fleet::ProtocolEnd::Refused(_) | fleet::ProtocolEnd::NoAnswer => None,
    };
    JobOutcome {
        complete: outputs
            .as_ref()
            .is_some_and(|outputs| outputs.len() == TASKS_PER_JOB),
        crossed: outputs.is_some_and(|outputs| !is_own(&submission, &outputs)),
        resubmitted: run.repeats,
        elapsed: started.elapsed(),
    }
}

fn submission(customer: &str, number: usize) -> api::JobSubmission {
    let tasks = (0..TASKS_PER_JOB)
        .map(|task| api::TaskSubmission {
            class: "price".into(),
            size_millicores: 500,
            declared_ms: WORK_MS,
            payload: serde_json::json!({
                "work_ms": WORK_MS,
                "order": format!("{customer}/{number}/{task}"),
            })
            .to_string(),
        })
        .collect();
    api::JobSubmission {
        idempotent: false,
        submission_key: None,
        deadline_ms: DEADLINE_MS,
        wait: true,
        tasks,
    }
}

fn is_own(submission: &api::JobSubmission, outputs: &[String]) -> bool {
    submission.tasks.len() == outputs.len()
        && submission
            .tasks
            .iter()
            .zip(outputs)
            .all(|(task, output)| output.contains(&backend::wire::payload_digest(&task.payload)))
}

/// Raises the first customer's limits and waits until all entries know.
async fn edit_plan(site: &fleet::LoopbackSite) -> Result<Option<u64>, fleet::FleetError> {
    let store = client::HttpPlatform::new(client::PlatformSettings::new(site.platform.address()));
    let record = edit::EditRecord {
        id: edit::EditId(u128::MAX),
        based_on: edit::RowVersion(1),
        edit: edit::ListEdit::PutPlan(edit::PlanDraft {
            name: names::PlanName::new(CUSTOMERS[0]),
            weight: 2,
            max_concurrent_tasks: 250,
            max_task_starts_per_second: 5_000,
            classes: Vec::new(),
        }),
    };
    let bytes = record::encode_edit(&record, border::MAX_RECORD_BYTES)?;
    let started = time::Instant::now();
    let offset = border::LogStore::append(&store, "config", &bytes).await?;
    let caller = fleet::JobCaller::new("");
    while started.elapsed() < EDIT_LIMIT {
        let mut behind = false;
        for entry in site.api_addresses() {
            let status = caller.status(entry, CALL_LIMIT).await;
            behind |= status.map_or(true, |status| status.config_offset <= offset);
        }
        if !behind {
            let millis = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
            return Ok(Some(millis));
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
    Ok(None)
}

/// Drains the first entry. The balancer stops offering it once its health says so.
async fn drain_first(
    site: &mut fleet::LoopbackSite,
    entries: &sync::RwLock<Vec<net::SocketAddr>>,
) -> usize {
    let leaving = site.entries.remove(0);
    let draining = leaving.daemon.drain();
    entries
        .write()
        .unwrap_or_else(sync::PoisonError::into_inner)
        .retain(|address| *address != leaving.api);
    let reports = draining.await;
    reports.iter().map(|report| report.report.unfinished).sum()
}

/// Orders that the backend servers started more than once, under any identity.
fn duplicate_starts(site: &fleet::LoopbackSite) -> usize {
    let starts = site.ledger.starts_by_digest();
    starts.values().filter(|count| **count > 1).count()
}
