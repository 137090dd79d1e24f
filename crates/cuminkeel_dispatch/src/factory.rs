//! Makes dispatch policies by name.

use std::sync;

use cuminkeel_types::names;
use derive_more::{Display, Error};

use crate::{baseline, event, policy, share, slot_policy};

/// Names that [`policy_by_name`] knows, the product's own first.
pub const POLICY_NAMES: [&str; 4] = ["cuminkeel", "random", "least_known_load", "two_choices"];

/// What a policy needs to know of the place it runs in, and its weights.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicySettings {
    /// This entry, as its siblings see it.
    pub local: event::SiblingEntry,
    /// Failure domain of this entry; only its servers are used.
    pub domain: names::FailureDomain,
    /// Weight of response time, relative to `message_weight`.
    pub response_weight: f64,
    /// Weight of wasted messages, relative to `response_weight`.
    pub message_weight: f64,
}

/// Why no policy could be made.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum PolicyError {
    /// The name is not one of [`POLICY_NAMES`].
    #[display("no dispatch policy is called {name}")]
    UnknownName {
        /// The name asked for.
        name: sync::Arc<str>,
    },
}

/// Makes a policy by its name.
///
/// # Errors
/// [`PolicyError::UnknownName`] if there is no such policy.
pub fn policy_by_name(
    name: &str,
    settings: &PolicySettings,
    gate: Box<dyn share::AllowanceGate>,
    seed: u64,
) -> Result<Box<dyn policy::DispatchPolicy>, PolicyError> {
    let choice = match name {
        "cuminkeel" => return Ok(Box::new(slot_policy::SlotPolicy::new(settings, gate))),
        "least_known_load" => baseline::ServerChoice::LeastKnownLoad,
        "random" => baseline::ServerChoice::Random,
        "two_choices" => baseline::ServerChoice::TwoChoices,
        _ => return Err(PolicyError::UnknownName { name: name.into() }),
    };
    Ok(Box::new(baseline::BaselinePolicy::new(choice, gate, seed)))
}
