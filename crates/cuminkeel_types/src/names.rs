//! Names and identifiers, each with a type of its own.

use std::sync;

use derive_more::Display;
use serde::{Deserialize, Serialize};

macro_rules! shared_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(sync::Arc<str>);

        impl $name {
            /// Wraps a name.
            pub fn new(name: impl Into<sync::Arc<str>>) -> Self {
                Self(name.into())
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self(name.into())
            }
        }
    };
}

shared_name! {
    /// Name of a VM that runs an entry. It stays with the place, not the process.
    VmName
}
shared_name! {
    /// Name of a failure domain, such as `gebze`.
    FailureDomain
}
shared_name! {
    /// Name of a rack within a failure domain.
    RackName
}
shared_name! {
    /// Name of a customer in the customers' list.
    CustomerName
}
shared_name! {
    /// Name of a plan in the plans' list.
    PlanName
}
shared_name! {
    /// Name of a backend server in the VM list.
    ServerName
}
shared_name! {
    /// Name of the partner firm that a VM belongs to.
    PartnerName
}
shared_name! {
    /// Name of a class of tasks with similar run times, such as `price`.
    ClassName
}

/// Identifies one process start of an entry. Drawn at random when the process
/// starts, so a restarted entry is never taken for its predecessor.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[display("{_0:016x}")]
pub struct IncarnationId(pub u64);

/// Identifies a submission. Unguessable, drawn at random by the entry that
/// accepted it.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[display("{_0:032x}")]
pub struct JobId(pub u128);

/// Position of a task within its job, from zero.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
pub struct TaskIndex(pub u32);
