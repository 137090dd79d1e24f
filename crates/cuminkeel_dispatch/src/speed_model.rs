//! Learns how long tasks run, by class and by server, from own observations.
//!
//! The model is additive in logarithms: `ln(run time) = class + server +
//! interaction`. The server's part is shared by all classes, so that one class
//! informs the others; the interaction is shrunk towards zero until it is known
//! well. All parts are exponentially weighted means whose weights start as plain
//! means.

use std::{collections, time};

use cuminkeel_types::names;
use smallvec::SmallVec;

/// Most classes that are learnt apart; further ones share the last entry.
const MAX_CLASSES: usize = 256;
/// Run time assumed for a class that was never seen.
const UNKNOWN_RUN_SECS: f64 = 0.3;
/// Smallest run time that is learnt from.
const MIN_RUN_SECS: f64 = 0.000_1;
/// Weight of a new observation in a class that is known well.
const CLASS_WEIGHT: f64 = 0.02;
/// Weight of a new observation of a server that is known well.
const SERVER_WEIGHT: f64 = 0.06;
/// Excess over the expected run time, in logarithm, that counts as a surprise.
const SURPRISE: f64 = 1.0;
/// Surprises in a row from which a server is taken to have slowed down.
const SURPRISES_IN_ROW: u32 = 3;
/// Weight of a new observation of a server that has slowed down.
const SLOWED_WEIGHT: f64 = 0.4;
/// Weight of a new observation of a class on one server.
const INTERACTION_WEIGHT: f64 = 0.05;
/// Observations at which half of a server's learnt factor counts.
const SERVER_SHRINK: f64 = 3.0;
/// Observations at which half of a learnt interaction counts.
const INTERACTION_SHRINK: f64 = 20.0;
/// Advantage, in logarithm, of a server that was never observed.
const EXPLORE_BONUS: f64 = 0.25;
/// Observations of a class before its shortest run time proves a deadline impossible.
const MIN_SHORTEST_COUNT: u32 = 50;
/// Share of the shortest run time seen that counts as impossible.
const SHORTEST_MARGIN: f64 = 0.8;
/// Largest learnt factor, in logarithm, either way.
const MAX_FACTOR: f64 = 4.0;

/// Number of a class within one [`SpeedModel`].
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClassIndex(u16);

#[derive(Clone, Debug, Default)]
struct ClassSpeed {
    count: u32,
    log_mean: f64,
    mean_secs: f64,
    shortest_secs: f64,
}

/// What is learnt of one server.
#[derive(Clone, Debug, Default)]
pub struct ServerSpeed {
    count: f64,
    log_factor: f64,
    slow_in_row: u32,
    interactions: SmallVec<[Interaction; 4]>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Interaction {
    count: f64,
    log_factor: f64,
}

impl ServerSpeed {
    /// The server's factor in logarithm; 0 is average, larger is slower.
    pub fn log_factor(&self) -> f64 {
        self.log_factor * self.count / (self.count + SERVER_SHRINK)
    }

    /// The factor by which free servers are ordered: servers that are known
    /// little are favoured for a few tasks.
    pub fn optimistic_factor(&self) -> f64 {
        self.log_factor() - EXPLORE_BONUS / (1.0 + self.count)
    }

    /// The factor for one class in logarithm.
    pub fn class_factor(&self, class: ClassIndex) -> f64 {
        let interaction = self
            .interactions
            .get(usize::from(class.0))
            .copied()
            .unwrap_or_default();
        let known = interaction.count / (interaction.count + INTERACTION_SHRINK);
        self.log_factor() + interaction.log_factor * known
    }

    /// Lets old observations count for less, so that a server that was slow
    /// is tried again.
    pub fn forget(&mut self, kept: f64) {
        self.count *= kept;
    }

    fn observe(&mut self, class: ClassIndex, log_residual: f64) {
        let error = log_residual - self.log_factor;
        self.slow_in_row = if error > SURPRISE {
            self.slow_in_row + 1
        } else {
            0
        };
        let slowed_down = self.slow_in_row >= SURPRISES_IN_ROW;
        let known = if slowed_down {
            SLOWED_WEIGHT
        } else {
            SERVER_WEIGHT
        };
        let weight = (1.0 / (self.count + 2.0)).max(known);
        self.log_factor = (self.log_factor + weight * error).clamp(-MAX_FACTOR, MAX_FACTOR);
        self.count += 1.0;
        let at = usize::from(class.0);
        if self.interactions.len() <= at {
            self.interactions.resize(at + 1, Interaction::default());
        }
        let interaction = &mut self.interactions[at];
        let weight = (1.0 / (interaction.count + 2.0)).max(INTERACTION_WEIGHT);
        let error = log_residual - self.log_factor - interaction.log_factor;
        interaction.log_factor += weight * error;
        interaction.count += 1.0;
    }
}

/// Run times of all classes, relative to an average server.
#[derive(Debug, Default)]
pub struct SpeedModel {
    classes: Vec<ClassSpeed>,
    by_name: collections::HashMap<names::ClassName, ClassIndex>,
    mix_secs: f64,
    mix_count: u32,
}

impl SpeedModel {
    /// The number of a class; a new one for a name not seen before.
    pub fn class(&mut self, name: &names::ClassName) -> ClassIndex {
        let class = self.find(name);
        if self.by_name.contains_key(name) {
            return class;
        }
        if self.classes.len() < MAX_CLASSES {
            self.classes.push(ClassSpeed::default());
            self.by_name.insert(name.clone(), class);
        }
        class
    }

    /// The number of a class that [`SpeedModel::class`] was asked for before.
    pub fn find(&self, name: &names::ClassName) -> ClassIndex {
        if let Some(class) = self.by_name.get(name) {
            return *class;
        }
        let last = self.classes.len().min(MAX_CLASSES - 1);
        ClassIndex(u16::try_from(last).unwrap_or(u16::MAX))
    }

    /// Takes in the run time of a task that was done. Failures never come here.
    /// `effect` is the part of its logarithm that the declared time explains.
    pub fn observe(
        &mut self,
        class: ClassIndex,
        server: &mut ServerSpeed,
        run: time::Duration,
        effect: f64,
    ) {
        let Some(known) = self.classes.get_mut(usize::from(class.0)) else {
            return;
        };
        let secs = run.as_secs_f64().max(MIN_RUN_SECS);
        let weight = (1.0 / (f64::from(known.count) + 1.0)).max(CLASS_WEIGHT);
        let factor = server.log_factor();
        known.log_mean += weight * (secs.ln() - factor - known.log_mean);
        let at_average = secs / factor.exp();
        known.mean_secs += weight * (at_average - known.mean_secs);
        known.shortest_secs = match known.count {
            0 => secs,
            _ => known.shortest_secs.min(secs),
        };
        known.count = known.count.saturating_add(1);
        server.observe(class, secs.ln() - effect - known.log_mean);
        let weight = (1.0 / (f64::from(self.mix_count) + 1.0)).max(CLASS_WEIGHT);
        self.mix_secs += weight * (at_average - self.mix_secs);
        self.mix_count = self.mix_count.saturating_add(1);
    }

    /// Expected run time of a class on an average server, in seconds.
    pub fn mean_secs(&self, class: ClassIndex) -> f64 {
        match self.classes.get(usize::from(class.0)) {
            Some(known) if known.count > 0 => known.mean_secs,
            _ => self.mix_secs(),
        }
    }

    /// Expected run time of a class on one server, in seconds.
    pub fn run_secs(&self, class: ClassIndex, server: &ServerSpeed) -> f64 {
        self.mean_secs(class) * server.class_factor(class).exp()
    }

    /// Mean run time over the classes as they come, on an average server, in seconds.
    pub fn mix_secs(&self) -> f64 {
        match self.mix_count {
            0 => UNKNOWN_RUN_SECS,
            _ => self.mix_secs,
        }
    }

    /// A run time below which no task of the class has ended, in seconds; none
    /// if too few were seen.
    pub fn impossible_secs(&self, class: ClassIndex) -> Option<f64> {
        let known = self.classes.get(usize::from(class.0))?;
        (known.count >= MIN_SHORTEST_COUNT).then_some(known.shortest_secs * SHORTEST_MARGIN)
    }
}
