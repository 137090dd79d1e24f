//! A planned stop cuts no request.

use std::{sync, time};

use cuminkeel_standin::fleet;

use crate::support;

const LIMIT: time::Duration = time::Duration::from_secs(20);
const JOBS: usize = 24;

/// Submits a non-idempotent job, with a fresh key after each refusal that
/// proves nothing ran, and returns whether its answer was whole.
async fn run_job(
    caller: fleet::JobCaller,
    entries: sync::Arc<Vec<std::net::SocketAddr>>,
    number: usize,
) -> Result<usize, String> {
    let mut key = None;
    for attempt in 0..20 {
        let entry = entries[(number + attempt) % entries.len()];
        if key.is_none() {
            let keys = caller.keys(entry, 1, LIMIT).await;
            key = keys.ok().and_then(|mut keys| keys.pop());
        }
        if key.is_none() {
            continue;
        }
        let submission = support::submission(3, 150, key.clone());
        match caller.submit(entry, &submission, LIMIT).await {
            Ok(fleet::JobResult::Answered(body)) => {
                return Ok(body.outputs.map_or(0, |outputs| outputs.len()));
            }
            Ok(fleet::JobResult::Refused(body)) if body.ran == "not_run" => key = None,
            Ok(fleet::JobResult::Refused(body)) => return Err(format!("{body:?}")),
            // No answer: the same key again is safe.
            Err(_) => {}
        }
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    Err("no answer after 20 tries".to_owned())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_entry_drained_under_load_cuts_no_request() {
    let mut site = support::start(support::site_plan(3)).await;
    let entries = sync::Arc::new(site.api_addresses());
    let caller = fleet::JobCaller::new(support::API_KEY);
    let jobs = (0..JOBS).map(|number| {
        let entries = sync::Arc::clone(&entries);
        tokio::spawn(run_job(caller.clone(), entries, number))
    });
    let jobs: Vec<_> = jobs.collect();
    support::until(|| support::starts(&site) > 0).await;
    let leaving = site.entries.remove(0);
    let reports = leaving.daemon.drain().await;
    assert!(
        reports.iter().all(|report| report.report.unfinished == 0),
        "{reports:?}"
    );
    for job in jobs {
        assert_eq!(job.await.expect("no panic"), Ok(3));
    }
    assert_eq!(support::starts(&site), JOBS * 3);
    site.stop().await;
}
