//! Prints what membership costs at several sizes, one line of JSON for each.
//!
//! Usage: `mesh_capacity [SEED] [SECONDS] [VARIANT] [LOSS] [SIZES...]`, where the
//! variant is `domains`, `flat` (one ring over all entries), `mesh` (heartbeats
//! from everyone to everyone) or `slow-mesh` (the same at two a second).

use std::{env, fs, time};

use cuminkeel_mesh::{capacity, membership::settings};

const DOMAINS: usize = 6;
const PAGE_BYTES: u64 = 4_096;

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let text = |at: usize, default: &'static str| {
        arguments.get(at).map_or(default.to_owned(), Clone::clone)
    };
    let seed = text(0, "1").parse().unwrap_or(1);
    let seconds = text(1, "60").parse().unwrap_or(60);
    let variant = text(2, "domains");
    let loss = text(3, "0").parse().unwrap_or(0.0);
    let sizes = arguments.iter().skip(4);
    let mut sizes: Vec<usize> = sizes.filter_map(|size| size.parse().ok()).collect();
    if sizes.is_empty() {
        sizes = vec![3, 9, 27, 81, 117];
    }
    for nodes in sizes {
        let mut membership = settings::MembershipSettings::default();
        let domains = if variant == "domains" { DOMAINS } else { 1 };
        if variant.ends_with("mesh") {
            membership.observers = nodes;
        }
        if variant == "slow-mesh" {
            membership.heartbeat = time::Duration::from_millis(500);
            membership.probe_after = time::Duration::from_millis(1_050);
            membership.suspect_after = time::Duration::from_millis(1_400);
        }
        let plan = capacity::MeasurePlan {
            nodes,
            domains: domains.min(nodes),
            duration: time::Duration::from_secs(seconds),
            loss,
            seed,
            settings: membership,
        };
        let origin = time::Instant::now();
        let mut probes = capacity::MeasureProbes {
            processor: &mut || origin.elapsed(),
            memory: &mut resident_bytes,
        };
        let cost = capacity::measure(&plan, &mut probes);
        println!(
            "{{\"variant\":\"{variant}\",\"nodes\":{nodes},\"seed\":{seed},\"loss\":{loss},\
             \"bytes_per_second\":{:.1},\"messages_per_second\":{:.2},\
             \"region_bytes_per_second\":{:.0},\"cpu_micros_per_second\":{:.1},\
             \"memory_bytes\":{:.0},\"detection_ms\":{:.0},\"spread_ms\":{:.0},\
             \"false_suspicions\":{},\"false_declarations\":{},\"node_days\":{:.4}}}",
            cost.bytes_per_second_per_node,
            cost.messages_per_second_per_node,
            cost.bytes_per_second_between_regions,
            cost.cpu_micros_per_node_second,
            cost.memory_bytes_per_node,
            cost.detection_ms,
            cost.spread_ms,
            cost.false_suspicions,
            cost.false_declarations,
            cost.node_days,
        );
    }
}

fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * PAGE_BYTES
}
