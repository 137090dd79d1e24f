//! The site, customers and jobs that most scenarios share.

use std::time;

use crate::balancer;

use super::super::plan;

/// Failure domains of a site.
pub const DOMAINS: usize = 3;
/// Entries of each failure domain.
pub const ENTRIES_PER_DOMAIN: usize = 3;
/// Backend servers of each failure domain.
pub const SERVERS_PER_DOMAIN: usize = 4;
/// Slots of each backend server.
pub const SLOTS: u32 = 8;
/// Connections of each backend server.
pub const MAX_CONNECTIONS: usize = 60;
/// Partner firm whose servers stay.
pub const STAYING_PARTNER: &str = "partner-a";
/// Load of scenarios that are not about load.
pub const MODERATE_LOAD: f64 = 0.5;
/// Age of the VM list.
const LIST_LAG: time::Duration = time::Duration::from_millis(500);
/// Time for the answer to a short job.
const SHORT_DEADLINE: time::Duration = time::Duration::from_secs(3);
/// Limit that no customer reaches in these sites.
const WIDE_LIMIT: u32 = 10_000;

/// Slowness of the servers of a failure domain of mixed speed: 66% of the
/// capacity is on fast servers.
pub const MIXED_SLOWNESS: [f64; SERVERS_PER_DOMAIN] = [1.0, 1.0, 1.6, 2.5];

/// A site whose failure domains have servers of the given slowness each.
pub fn site(slowness: &[f64]) -> plan::SitePlan {
    let servers = (0..DOMAINS)
        .flat_map(|domain| {
            slowness.iter().map(move |slowness| plan::ServerPlan {
                domain,
                slowness: *slowness,
                partner: STAYING_PARTNER,
            })
        })
        .collect();
    plan::SitePlan {
        entries_per_domain: ENTRIES_PER_DOMAIN,
        servers,
        slots: SLOTS,
        max_connections: MAX_CONNECTIONS,
        list_lag: LIST_LAG,
        spread: balancer::BalancerSpread::RoundRobin,
        double_every: 0,
    }
}

/// Three customers of equal weight and equal demand, without narrow limits.
pub fn customers() -> Vec<plan::CustomerPlan> {
    ["cable-desk", "mesh-desk", "spring-desk"]
        .into_iter()
        .map(|name| customer(name, 1))
        .collect()
}

/// A customer without narrow limits.
pub fn customer(name: &'static str, demand: u32) -> plan::CustomerPlan {
    plan::CustomerPlan {
        name,
        weight: 100,
        max_concurrent: WIDE_LIMIT,
        max_starts_per_second: WIDE_LIMIT,
        demand,
    }
}

/// Short jobs of three classes, some of them not idempotent.
pub fn shapes() -> Vec<plan::JobShape> {
    vec![
        shape("price", 5, 1..=6, 50..=200, true),
        shape("reservation", 2, 1..=1, 50..=150, false),
        shape("stock", 3, 2..=8, 80..=300, true),
    ]
}

fn shape(
    class: &'static str,
    share: u32,
    tasks: std::ops::RangeInclusive<u32>,
    work_millis: std::ops::RangeInclusive<u64>,
    idempotent: bool,
) -> plan::JobShape {
    plan::JobShape {
        class,
        share,
        tasks,
        work_millis,
        declared_factor: 0.5..=2.0,
        size_millicores: 250..=2_000,
        idempotent,
        deadline: SHORT_DEADLINE,
    }
}

/// Short jobs at one load on servers of mixed speed, without faults.
pub fn scenario(load: f64) -> plan::ScenarioPlan {
    plan::ScenarioPlan {
        site: site(&MIXED_SLOWNESS),
        customers: customers(),
        workload: plan::WorkloadPlan {
            loads: vec![load],
            shapes: shapes(),
            burst: None,
            cancel: None,
        },
        script: Vec::new(),
        edits: None,
    }
}

/// An action at a share of the run.
pub fn step(at: f64, action: plan::SiteAction) -> plan::ScriptStep {
    plan::ScriptStep { at, action }
}
