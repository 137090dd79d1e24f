//! Identity and bounds of an outcome ledger.

use std::time;

use cuminkeel_types::names;

use crate::{key, rules};

/// Bounds on time and memory. Safety rests on none of them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LedgerLimits {
    /// Most keys handed out by one request.
    pub keys_per_request: u32,
    /// Time in which the authority opens a key that it has issued.
    pub key_lifetime: time::Duration,
    /// Time after a key's expiry for which its fate is remembered.
    pub record_retention: time::Duration,
    /// Time for which a finished job's answer is kept for resubmissions.
    pub answer_retention: time::Duration,
    /// Bytes of kept answers.
    pub answer_bytes: usize,
    /// Most keys whose fate is remembered by their authority.
    pub key_records: usize,
    /// Most keys remembered as a witness, for each authority.
    pub witness_marks: usize,
    /// Most authorities remembered as a witness.
    pub witness_authorities: usize,
    /// Most farewells of other processes kept.
    pub farewells: usize,
    /// Most keys of one authority listed in a hand-over or a farewell.
    pub listed_keys: usize,
    /// Most requests of other entries that wait for one key.
    pub remote_waiters: usize,
    /// Longest wait for a witness before the key is closed.
    pub open_wait: time::Duration,
    /// Silence of a peer that is no longer a member before it counts as gone.
    pub silence_wait: time::Duration,
    /// First interval between two transmissions of one message.
    pub resend_first: time::Duration,
    /// Longest interval between two transmissions of one message.
    pub resend_longest: time::Duration,
    /// Interval between inquiries about an accepted request.
    pub ask_interval: time::Duration,
    /// Time before a deadline kept free for passing an answer on.
    pub relay_margin: time::Duration,
    /// Time before a deadline at which a silent authority's key is closed at the witness.
    pub last_resort: time::Duration,
    /// Time after a deadline in which the dispatch policy's own answer is awaited.
    pub dispatch_grace: time::Duration,
    /// Longest wait for receipts of a hand-over, and of a farewell.
    pub handover_wait: time::Duration,
    /// Interval between two removals of old records.
    pub purge_interval: time::Duration,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            keys_per_request: 1_000,
            key_lifetime: time::Duration::from_mins(5),
            record_retention: time::Duration::from_mins(5),
            answer_retention: time::Duration::from_mins(2),
            answer_bytes: 8 * 1024 * 1024,
            key_records: 32_768,
            witness_marks: 16_384,
            witness_authorities: 65_536,
            farewells: 64,
            listed_keys: 4_096,
            remote_waiters: 32,
            open_wait: time::Duration::from_secs(1),
            silence_wait: time::Duration::from_millis(100),
            resend_first: time::Duration::from_millis(25),
            resend_longest: time::Duration::from_millis(400),
            ask_interval: time::Duration::from_secs(1),
            relay_margin: time::Duration::from_millis(10),
            last_resort: time::Duration::from_millis(200),
            dispatch_grace: time::Duration::from_millis(20),
            handover_wait: time::Duration::from_secs(3),
            purge_interval: time::Duration::from_secs(10),
        }
    }
}

/// Identity and bounds of one ledger.
#[derive(Clone, Debug)]
pub struct LedgerSettings {
    /// This process.
    pub incarnation: names::IncarnationId,
    /// Rack of this entry; a witness in another rack is preferred.
    pub rack: names::RackName,
    /// Seals and checks submission keys.
    pub sealer: key::KeySealer,
    /// Bounds.
    pub limits: LedgerLimits,
    /// Safety rules; always whole in a product.
    #[doc(hidden)]
    pub rules: rules::RuleSet,
}

impl LedgerSettings {
    /// Settings with default bounds.
    pub fn new(incarnation: names::IncarnationId, rack: names::RackName, mesh_key: &[u8]) -> Self {
        Self {
            incarnation,
            rack,
            sealer: key::KeySealer::new(mesh_key),
            limits: LedgerLimits::default(),
            rules: rules::RuleSet::whole(),
        }
    }

    /// Takes keys sealed with another mesh key too, while the mesh changes keys.
    #[must_use]
    pub fn accept_mesh_key(mut self, mesh_key: &[u8]) -> Self {
        self.sealer = self.sealer.accept(mesh_key);
        self
    }
}
