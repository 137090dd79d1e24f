//! Sums over servers ordered by speed, kept current slot by slot.

/// Buckets per unit of logarithmic speed factor.
const BUCKETS_PER_UNIT: f64 = 16.0;
/// Number of buckets; the middle one is the average server.
const BUCKET_COUNT: usize = 96;

/// Number of a speed bucket; smaller is faster.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SpeedBucket(u8);

impl SpeedBucket {
    /// The bucket of the fastest servers.
    pub const FASTEST: Self = Self(0);

    /// The next slower bucket.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// The bucket of servers that take `ratio` times the run time.
    #[must_use]
    pub fn slower_by(self, ratio: f64) -> Self {
        Self::of(self.factor().ln() + ratio.ln())
    }

    /// The bucket of a factor given in logarithm.
    pub fn of(log_factor: f64) -> Self {
        let middle = BUCKET_COUNT as f64 / 2.0;
        let at = (log_factor * BUCKETS_PER_UNIT + middle).round();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "clamped to the buckets"
        )]
        let at = at.clamp(0.0, (BUCKET_COUNT - 1) as f64) as u8;
        Self(at)
    }

    /// The factor in the middle of the bucket: run time relative to an average server.
    pub fn factor(self) -> f64 {
        let middle = BUCKET_COUNT as f64 / 2.0;
        ((f64::from(self.0) - middle) / BUCKETS_PER_UNIT).exp()
    }
}

/// Slots of servers of some speed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BucketSlots {
    /// Slots that may be used.
    pub usable: u32,
    /// Slots in use.
    pub running: u32,
}

impl BucketSlots {
    /// Slots that are not in use.
    pub fn free(&self) -> u32 {
        self.usable.saturating_sub(self.running)
    }
}

/// Usable and running slots by speed.
#[derive(Debug)]
pub struct SpeedBuckets {
    slots: [BucketSlots; BUCKET_COUNT],
    speeds: [f64; BUCKET_COUNT],
}

/// What the servers faster than a given one promise.
#[derive(Clone, Copy, Debug, Default)]
pub struct FasterServers {
    /// Slots that come free there, in average tasks per average run time.
    pub release_rate: f64,
    /// Their mean run time relative to an average server, by rate of release.
    pub factor: f64,
}

impl Default for SpeedBuckets {
    fn default() -> Self {
        let mut speeds = [1.0; BUCKET_COUNT];
        for (at, speed) in (0_u8..).zip(speeds.iter_mut()) {
            *speed = 1.0 / SpeedBucket(at).factor();
        }
        Self {
            slots: [BucketSlots::default(); BUCKET_COUNT],
            speeds,
        }
    }
}

impl SpeedBuckets {
    /// Adds a server's slots to a bucket.
    pub fn add(&mut self, bucket: SpeedBucket, usable: u32, running: u32) {
        let slots = &mut self.slots[usize::from(bucket.0)];
        slots.usable += usable;
        slots.running += running;
    }

    /// Takes a server's slots out of a bucket.
    pub fn subtract(&mut self, bucket: SpeedBucket, usable: u32, running: u32) {
        let slots = &mut self.slots[usize::from(bucket.0)];
        slots.usable -= usable;
        slots.running -= running;
    }

    /// Work done per second when all usable slots run, in seconds of an average slot.
    pub fn capacity(&self) -> f64 {
        let pairs = self.slots.iter().zip(&self.speeds);
        pairs
            .map(|(slots, speed)| f64::from(slots.usable) * speed)
            .sum()
    }

    /// Usable slots of all servers.
    pub fn usable(&self) -> u32 {
        self.slots.iter().map(|slots| slots.usable).sum()
    }

    /// Slots of the servers in `bucket` and the faster ones.
    pub fn up_to(&self, bucket: SpeedBucket) -> BucketSlots {
        let faster = &self.slots[..=usize::from(bucket.0).min(BUCKET_COUNT - 1)];
        faster
            .iter()
            .fold(BucketSlots::default(), |sum, slots| BucketSlots {
                usable: sum.usable + slots.usable,
                running: sum.running + slots.running,
            })
    }

    /// Run time of the fastest usable servers relative to an average server.
    pub fn best_factor(&self) -> f64 {
        let pairs = self.slots.iter().zip(&self.speeds);
        let best = pairs
            .filter(|(slots, _)| slots.usable > 0)
            .map(|(_, speed)| 1.0 / speed);
        { best }.next().unwrap_or(1.0)
    }

    /// Running tasks of all servers.
    pub fn running(&self) -> u32 {
        self.slots.iter().map(|slots| slots.running).sum()
    }

    /// What the servers promise that take at most `ratio` times the run time of
    /// a server in `bucket`.
    pub fn faster(&self, bucket: SpeedBucket, ratio: f64) -> FasterServers {
        let limit = bucket.factor() * ratio;
        let pairs = self.slots.iter().zip(&self.speeds);
        let faster = pairs
            .take(usize::from(bucket.0))
            .filter(|(slots, speed)| slots.running > 0 && 1.0 / **speed <= limit);
        let mut rate = 0.0;
        let mut running = 0.0;
        for (slots, speed) in faster {
            rate += f64::from(slots.running) * speed;
            running += f64::from(slots.running);
        }
        FasterServers {
            release_rate: rate,
            factor: if rate > 0.0 { running / rate } else { 1.0 },
        }
    }
}
