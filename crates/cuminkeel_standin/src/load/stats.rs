//! Small statistics over the results of a run.

use std::time;

/// Jain's fairness index: 1 if all shares are equal, 1/n if one has all.
///
/// R. Jain, D. Chiu, W. Hawe: A Quantitative Measure of Fairness and
/// Discrimination for Resource Allocation in Shared Computer Systems, 1984.
pub fn jain_index(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    if squares == 0.0 {
        return 1.0;
    }
    sum * sum / (shares.len() as f64 * squares)
}

/// Quantiles of ratios and times with three significant digits.
#[derive(Debug)]
pub struct ValueHistogram {
    histogram: hdrhistogram::Histogram<u64>,
}

/// Units of the histogram in 1.0.
const UNITS_PER_ONE: f64 = 1_000_000.0;
/// Significant decimal digits of the histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

impl ValueHistogram {
    /// A histogram of `values`; those below zero count as zero.
    pub fn of(values: impl IntoIterator<Item = f64>) -> Self {
        let mut histogram = hdrhistogram::Histogram::new(SIGNIFICANT_DIGITS)
            .unwrap_or_else(|_| unreachable!("three digits are allowed"));
        for value in values {
            let units = time::Duration::from_secs_f64(value.max(0.0)).as_micros();
            // A histogram that resizes itself takes every value.
            let _resized = histogram.record(u64::try_from(units).unwrap_or(u64::MAX));
        }
        Self { histogram }
    }

    /// The value that `share` of all values do not exceed; none without values.
    pub fn quantile(&self, share: f64) -> Option<f64> {
        match self.histogram.len() {
            0 => None,
            _ => Some(self.histogram.value_at_quantile(share) as f64 / UNITS_PER_ONE),
        }
    }

    /// The largest value; none without values.
    pub fn max(&self) -> Option<f64> {
        self.quantile(1.0)
    }
}

/// Most intervals that hold one point of time together, and the sum of their
/// lengths. Each interval is a start and an end in seconds.
pub fn concurrency(intervals: &[(f64, f64)]) -> (u32, f64) {
    let mut changes: Vec<(f64, i32)> = Vec::with_capacity(intervals.len() * 2);
    for (start, end) in intervals {
        changes.push((*start, 1));
        changes.push((*end, -1));
    }
    // An end counts before a start at the same time.
    changes.sort_unstable_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)));
    let mut open = 0_i32;
    let mut peak = 0_i32;
    for (_, change) in changes {
        open += change;
        peak = peak.max(open);
    }
    let total = intervals.iter().map(|(start, end)| end - start).sum();
    (u32::try_from(peak).unwrap_or_default(), total)
}

/// Most points within any window of one second. Points are sorted, in seconds.
pub fn peak_per_second(points: &[f64]) -> usize {
    let mut first = 0;
    let mut peak = 0;
    for (last, point) in points.iter().enumerate() {
        while point - points[first] >= 1.0 {
            first += 1;
        }
        peak = peak.max(last - first + 1);
    }
    peak
}
