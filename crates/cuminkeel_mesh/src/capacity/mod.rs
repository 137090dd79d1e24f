//! What membership costs, measured on light nodes within one process.
//!
//! [`network`] carries the messages of many [`crate::membership`] cores in model
//! time and brings about faults; [`measure`] reports what each node spends.

use std::time;

use crate::membership;

mod delivery;
pub mod network;
mod queue;

const WARM_UP: time::Duration = time::Duration::from_secs(20);
const DETECTION_LIMIT: time::Duration = time::Duration::from_secs(20);
const ENTRIES_PER_RACK: usize = 4;

/// What to measure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeasurePlan {
    /// Entries in all.
    pub nodes: usize,
    /// Failure domains over which they are spread, in two regions if more than one.
    pub domains: usize,
    /// Model time to measure, after a warm-up.
    pub duration: time::Duration,
    /// Share of datagrams lost.
    pub loss: f64,
    /// Seed of everything random.
    pub seed: u64,
    /// Intervals of membership.
    pub settings: membership::settings::MembershipSettings,
}

/// What membership costs each node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MembershipCost {
    /// Bytes sent, with the headers of IP and UDP or TCP.
    pub bytes_per_second_per_node: f64,
    /// Frames sent.
    pub messages_per_second_per_node: f64,
    /// Bytes sent between the two regions, both ways.
    pub bytes_per_second_between_regions: f64,
    /// Processor time of decisions, codec and MAC, without that of the sockets.
    pub cpu_micros_per_node_second: f64,
    /// Growth of the caller's memory reading per node.
    pub memory_bytes_per_node: f64,
    /// Time from the crash until every member of its domain knows; the worst.
    pub detection_ms: f64,
    /// Time from the crash until every member knows; the worst.
    pub spread_ms: f64,
    /// Suspicions of a live process, in all.
    pub false_suspicions: u64,
    /// Live processes declared gone, in all.
    pub false_declarations: u64,
    /// Model time measured over all nodes, in node-days.
    pub node_days: f64,
}

/// Readings that the caller takes for a measurement.
pub struct MeasureProbes<'caller> {
    /// Processor time or a clock.
    pub processor: &'caller mut dyn FnMut() -> time::Duration,
    /// Memory in use, in bytes.
    pub memory: &'caller mut dyn FnMut() -> u64,
}

impl std::fmt::Debug for MeasureProbes<'_> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("MeasureProbes(..)")
    }
}

/// Runs a cluster of light nodes and reports what membership costs.
pub fn measure(plan: &MeasurePlan, probes: &mut MeasureProbes<'_>) -> MembershipCost {
    let memory_before = (probes.memory)();
    let faults = network::NetworkFaults {
        loss: plan.loss,
        duplication: 0.0,
    };
    let mut cluster = network::ModelNetwork::new(plan.settings, faults, plan.seed);
    cluster.meter(probes.processor);
    for node in 0..plan.nodes {
        let domain = node % plan.domains.max(1);
        let region = 2 * domain / plan.domains.max(2);
        let rack = node / plan.domains.max(1) / ENTRIES_PER_RACK;
        cluster.start(
            &format!("vm-{node}"),
            &format!("region-{region}/domain-{domain}"),
            &format!("rack-{rack}"),
        );
    }
    cluster.run_for(WARM_UP);
    let before = cluster.totals();
    cluster.run_for(plan.duration);
    let after = cluster.totals();
    let detection = match plan.nodes {
        0 | 1 => DetectionTimes::default(),
        _ => crash_one(&mut cluster, plan),
    };
    let memory = (probes.memory)().saturating_sub(memory_before);
    let node_seconds = plan.nodes as f64 * plan.duration.as_secs_f64();
    let work = after.work.saturating_sub(before.work);
    let rate = |after: u64, before: u64| (after - before) as f64 / node_seconds;
    MembershipCost {
        bytes_per_second_per_node: rate(after.bytes, before.bytes),
        messages_per_second_per_node: rate(after.messages, before.messages),
        bytes_per_second_between_regions: (after.region_bytes - before.region_bytes) as f64
            / plan.duration.as_secs_f64(),
        cpu_micros_per_node_second: work.as_secs_f64() * 1e6 / node_seconds,
        memory_bytes_per_node: memory as f64 / plan.nodes.max(1) as f64,
        detection_ms: detection.domain.as_secs_f64() * 1e3,
        spread_ms: detection.everywhere.as_secs_f64() * 1e3,
        false_suspicions: after.suspicions - before.suspicions,
        false_declarations: after.declarations - before.declarations,
        node_days: node_seconds / time::Duration::from_hours(24).as_secs_f64(),
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct DetectionTimes {
    domain: time::Duration,
    everywhere: time::Duration,
}

fn crash_one(cluster: &mut network::ModelNetwork<'_>, plan: &MeasurePlan) -> DetectionTimes {
    let victim = network::NodeId(0);
    let crashed = cluster.now();
    cluster.crash(victim);
    cluster.run_for(DETECTION_LIMIT);
    let domain = cluster.record(victim).domain.clone();
    let times = (1..plan.nodes).map(network::NodeId).map(|node| {
        let seen = cluster.gone_at(node, victim);
        let time = seen.map_or(DETECTION_LIMIT, |seen| seen.since(crashed));
        (cluster.record(node).domain == domain, time)
    });
    let times: Vec<(bool, time::Duration)> = times.collect();
    let near = times.iter().filter(|(near, _)| *near);
    DetectionTimes {
        domain: near.map(|(_, time)| *time).max().unwrap_or_default(),
        everywhere: times
            .iter()
            .map(|(_, time)| *time)
            .max()
            .unwrap_or_default(),
    }
}
