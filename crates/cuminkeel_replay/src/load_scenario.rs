//! Scenarios of experiments: the load of one or several failure domains, with the faults of their servers.
//!
//! The scenarios with several domains are those of customers whose servers hold two or three tasks: three
//! domains of 16 servers at about four fifths of their slots on an ordinary day, and three of 48 servers.

use std::time;

use cuminkeel_dispatch::settings;
use serde::Deserialize;

use crate::{domain_replay, fake_server, load_pattern, replay_report, replay_tally};

/// Policies of one variant in an experiment.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct ScenarioPolicies {
    /// Policies of all pools.
    pub pool: settings::PoolPolicies,
    /// Policy on offers to other failure domains.
    pub spillover: domain_replay::SpilloverPolicy,
}

/// Load and faults of one or several failure domains.
#[derive(Clone, Debug)]
pub struct LoadScenario {
    /// Name shown in reports.
    pub name: &'static str,
    domains: Vec<domain_replay::DomainSpec>,
}

impl LoadScenario {
    /// Replays the scenario. One domain is replayed without coordinators.
    pub fn replay(&self, policies: ScenarioPolicies) -> replay_tally::ReplayReport {
        match &self.domains[..] {
            [domain] => replay_report::replay(&domain.pattern, policies.pool),
            domains => {
                domain_replay::replay_domains(domains, policies.pool, policies.spillover).replay
            }
        }
    }

    /// Returns an upper bound on the worth that any policies can earn, as a share of the worth offered.
    pub fn worth_bound(&self) -> f64 {
        let patterns: Vec<_> = self.domains.iter().map(|domain| &domain.pattern).collect();
        replay_report::worth_bound(&patterns)
    }
}

/// Returns all scenarios with this seed: the patterns of one domain, and those of several.
pub fn all_scenarios(seed: u64) -> Vec<LoadScenario> {
    let patterns = replay_report::draw_all(
        &replay_report::worst_pattern_specs(seed),
        &replay_report::shortage_specs(seed),
    );
    let single_domains = patterns.into_iter().map(|pattern| LoadScenario {
        name: pattern.name,
        domains: vec![domain_spec(pattern)],
    });
    single_domains
        .chain(DOMAIN_SCENARIOS.iter().map(|spec| spec.draw(seed)))
        .collect()
}

/// Arrivals per second in one domain on an ordinary day.
const USUAL_JOBS_PER_S: f64 = 47.0;
/// Capacity of a shrunk server, in percent of its usual one.
const SHRUNK_PERCENT: u32 = 55;
/// Factor on the run times of slow servers.
const SLOW_FACTOR: f64 = 6.5;
/// Distance between the seeds of two domains.
const SEED_STEP: u64 = 1_000;

/// Scenario of three domains, whose shortage lasts for the whole pattern.
#[derive(Clone, Copy, Debug)]
struct DomainScenarioSpec {
    name: &'static str,
    /// Size of each domain.
    size: usize,
    mix: load_pattern::LoadMix,
    /// Factor on the arrivals of each domain.
    load_factors: [f64; 3],
    /// Number of servers of each domain that are gone.
    gone_servers: [usize; 3],
    /// Number of servers of each domain with a changed mode or capacity.
    changed_servers: usize,
    change: ServerChange,
    /// Class with a burst and its factor.
    burst: Option<(Option<usize>, f64)>,
}

/// Change of some servers for the whole pattern.
#[derive(Clone, Copy, Debug)]
enum ServerChange {
    Shrunk,
    Slow,
}

/// Size of a domain with 48 servers.
const LARGE_SIZE: usize = 3;
/// Load of three large domains whose ordinary load differs.
const LARGE_LOAD: DomainLoad = DomainLoad([0.66, 0.54, 0.71]);

/// Factors on the arrivals of three domains.
#[derive(Clone, Copy, Debug)]
struct DomainLoad([f64; 3]);

impl DomainLoad {
    const fn scaled(self, factors: [f64; 3]) -> [f64; 3] {
        let [first, second, third] = self.0;
        [first * factors[0], second * factors[1], third * factors[2]]
    }
}

/// Class of jobs with the most tasks.
const WIDEST_CLASS: usize = 0;

const DOMAIN_SCENARIOS: [DomainScenarioSpec; 7] = [
    DomainScenarioSpec {
        name: "domains: shared overload, servers shrunk",
        size: 1,
        mix: load_pattern::ORDER_DESK_MIX,
        load_factors: [2.2, 2.2, 2.2],
        gone_servers: [2, 1, 2],
        changed_servers: 4,
        change: ServerChange::Shrunk,
        burst: None,
    },
    DomainScenarioSpec {
        name: "domains: one crowded",
        size: 1,
        mix: load_pattern::ORDER_DESK_MIX,
        load_factors: [2.6, 0.95, 0.95],
        gone_servers: [3, 2, 2],
        changed_servers: 0,
        change: ServerChange::Shrunk,
        burst: None,
    },
    DomainScenarioSpec {
        name: "domains: burst of wide jobs, servers slow",
        size: 1,
        mix: load_pattern::ORDER_DESK_MIX,
        load_factors: [1.0, 1.0, 1.0],
        gone_servers: [0, 0, 0],
        changed_servers: 3,
        change: ServerChange::Slow,
        burst: Some((Some(WIDEST_CLASS), 3.5)),
    },
    DomainScenarioSpec {
        name: "domains: burst, servers shrunk",
        size: 1,
        mix: load_pattern::ORDER_DESK_MIX,
        load_factors: [1.0, 1.0, 1.0],
        gone_servers: [0, 0, 0],
        changed_servers: 4,
        change: ServerChange::Shrunk,
        burst: Some((None, 1.4)),
    },
    DomainScenarioSpec {
        name: "large domains: shared overload",
        size: LARGE_SIZE,
        mix: load_pattern::SHIFTED_MIX,
        load_factors: LARGE_LOAD.scaled([2.2, 2.2, 2.2]),
        gone_servers: [7, 7, 7],
        changed_servers: 0,
        change: ServerChange::Slow,
        burst: None,
    },
    DomainScenarioSpec {
        name: "large domains: burst of wide jobs, servers slow",
        size: LARGE_SIZE,
        mix: load_pattern::SHIFTED_MIX,
        load_factors: LARGE_LOAD.scaled([1.0, 1.0, 1.0]),
        gone_servers: [0, 0, 0],
        changed_servers: 7,
        change: ServerChange::Slow,
        burst: Some((Some(WIDEST_CLASS), 5.0)),
    },
    DomainScenarioSpec {
        name: "large domains: one crowded",
        size: LARGE_SIZE,
        mix: load_pattern::SHIFTED_MIX,
        load_factors: LARGE_LOAD.scaled([2.6, 1.0, 1.0]),
        gone_servers: [0, 0, 0],
        changed_servers: 0,
        change: ServerChange::Slow,
        burst: None,
    },
];

impl DomainScenarioSpec {
    fn draw(&self, seed: u64) -> LoadScenario {
        let domains = (0_u64..).zip(self.load_factors).zip(self.gone_servers);
        LoadScenario {
            name: self.name,
            domains: domains
                .map(|((number, load_factor), gone)| {
                    let pattern_spec = load_pattern::PatternSpec {
                        name: self.name,
                        seed: seed + number * SEED_STEP,
                        jobs_per_s: USUAL_JOBS_PER_S * load_factor,
                        size: self.size,
                        mix: self.mix,
                        burst: self.burst,
                        faulty_servers: None,
                        always_failing_share: 0.0,
                    };
                    let mut pattern = load_pattern::draw(&pattern_spec);
                    self.change_servers(&mut pattern, gone);
                    domain_spec(pattern)
                })
                .collect(),
        }
    }

    /// Changes servers of both kinds: steps of five and seven reach all.
    fn change_servers(&self, pattern: &mut load_pattern::LoadPattern, gone: usize) {
        let at = time::Duration::ZERO;
        let server_count = pattern.servers.len();
        let gone_servers = (0..gone).map(|number| number * 5 % server_count);
        pattern
            .mode_changes
            .extend(gone_servers.map(|server| load_pattern::ServerModeChange {
                at,
                server,
                mode: fake_server::ServerMode::Unreachable,
            }));
        for number in 0..self.changed_servers {
            let round = number / load_pattern::SERVERS_PER_UNIT;
            let server = (3 + number * 7 + round) % server_count;
            match self.change {
                ServerChange::Shrunk => {
                    let cpu_millis =
                        pattern.servers[server].entry.cpu_millis * SHRUNK_PERCENT / 100;
                    pattern.capacity_changes.push(load_pattern::CapacityChange {
                        at,
                        server,
                        cpu_millis,
                    });
                }
                ServerChange::Slow => {
                    pattern.mode_changes.push(load_pattern::ServerModeChange {
                        at,
                        server,
                        mode: fake_server::ServerMode::Slow(SLOW_FACTOR),
                    });
                }
            }
        }
    }
}

fn domain_spec(pattern: load_pattern::LoadPattern) -> domain_replay::DomainSpec {
    domain_replay::DomainSpec {
        pattern,
        evacuated_at: None,
    }
}
