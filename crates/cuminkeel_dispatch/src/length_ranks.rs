//! How long a job is among the recent ones.

/// Classes of length for each doubling.
const CLASSES_PER_DOUBLING: f64 = 2.0;
/// Number of classes of length.
const CLASS_COUNT: usize = 48;
/// Shortest length that is told apart, in seconds.
const SHORTEST_SECS: f64 = 0.001;
/// Weight that earlier jobs keep with each further job.
const KEPT_WEIGHT: f64 = 0.995;

/// Weighted counts of recent jobs by length.
#[derive(Debug)]
pub struct LengthRanks {
    weights: [f64; CLASS_COUNT],
}

impl Default for LengthRanks {
    fn default() -> Self {
        Self {
            weights: [0.0; CLASS_COUNT],
        }
    }
}

impl LengthRanks {
    /// Takes in a job's length in seconds and returns the share of recent jobs
    /// that are shorter, from 0 to 1.
    pub fn observe(&mut self, secs: f64) -> f64 {
        let at = class_of(secs);
        for weight in &mut self.weights {
            *weight *= KEPT_WEIGHT;
        }
        let shorter: f64 = self.weights[..at].iter().sum();
        let all: f64 = self.weights.iter().sum();
        self.weights[at] += 1.0;
        if all > 0.0 { shorter / all } else { 0.0 }
    }
}

fn class_of(secs: f64) -> usize {
    let doublings = (secs.max(SHORTEST_SECS) / SHORTEST_SECS).log2();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "not negative, and cut to the classes"
    )]
    let at = (doublings * CLASSES_PER_DOUBLING) as usize;
    at.min(CLASS_COUNT - 1)
}
