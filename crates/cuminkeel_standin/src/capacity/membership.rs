//! Membership: bytes, processor time and memory of a node by the number of entries.

use std::time;

use cuminkeel_mesh::{capacity, membership};

use super::{CapacityPoint, CapacitySeries};
use crate::load::host;

const SIZES: [usize; 4] = [27, 54, 81, 117];
const DOMAINS: usize = 6;
const DURATION: time::Duration = time::Duration::from_secs(20);

pub(super) fn measure(seed: u64) -> Vec<CapacitySeries> {
    let costs = SIZES.map(|nodes| (nodes, cost(nodes, seed)));
    let series = |figure, value: fn(&capacity::MembershipCost) -> f64| {
        let points = costs
            .iter()
            .map(|(size, cost)| CapacityPoint {
                size: *size,
                value: value(cost),
            })
            .collect();
        CapacitySeries::new("membership", figure, "entries", points)
    };
    vec![
        series("bytes/s per node", |cost| cost.bytes_per_second_per_node),
        series("processor µs/s per node", |cost| {
            cost.cpu_micros_per_node_second
        }),
        series("memory bytes per node", |cost| cost.memory_bytes_per_node),
        series("bytes/s between regions, all nodes", |cost| {
            cost.bytes_per_second_between_regions
        }),
    ]
}

fn cost(nodes: usize, seed: u64) -> capacity::MembershipCost {
    let plan = capacity::MeasurePlan {
        nodes,
        domains: DOMAINS,
        duration: DURATION,
        loss: 0.0,
        seed,
        settings: membership::settings::MembershipSettings::default(),
    };
    let origin = time::Instant::now();
    let mut probes = capacity::MeasureProbes {
        processor: &mut || origin.elapsed(),
        memory: &mut host::resident_bytes,
    };
    capacity::measure(&plan, &mut probes)
}
