//! Arithmetic on units of both resources.

use super::message::ShareUnits;

impl ShareUnits {
    /// No units.
    pub const NONE: Self = Self {
        tasks: 0,
        starts: 0,
    };

    /// Whether there are no units of either.
    pub fn is_none(self) -> bool {
        self == Self::NONE
    }

    /// The lesser of each.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            tasks: self.tasks.min(other.tasks),
            starts: self.starts.min(other.starts),
        }
    }

    /// The greater of each.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            tasks: self.tasks.max(other.tasks),
            starts: self.starts.max(other.starts),
        }
    }

    /// Both together.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            tasks: self.tasks.saturating_add(other.tasks),
            starts: self.starts.saturating_add(other.starts),
        }
    }

    /// What is left, none where `other` is greater.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            tasks: self.tasks.saturating_sub(other.tasks),
            starts: self.starts.saturating_sub(other.starts),
        }
    }
}
