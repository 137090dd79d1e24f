//! Fingerprint of a job, to tell a resubmission from a different job.

use cuminkeel_types::job;
use serde::{Deserialize, Serialize};

const DIGEST_BYTES: usize = 16;
const DIGEST_CONTEXT: &str = "cuminkeel 2026 job digest v1";

/// Digest of a job's customer, idempotence and tasks. The deadline is left
/// out: a resubmission may be willing to wait for another time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct JobDigest([u8; DIGEST_BYTES]);

impl JobDigest {
    /// Digest of a job.
    pub fn of(spec: &job::JobSpec) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(DIGEST_CONTEXT);
        update_text(&mut hasher, spec.customer.as_str());
        hasher.update(&[u8::from(spec.idempotent)]);
        for task in &spec.tasks {
            update_text(&mut hasher, task.class.as_str());
            hasher.update(&task.size_millicores.to_le_bytes());
            hasher.update(&task.declared_run_time.as_nanos().to_le_bytes());
            update_text(&mut hasher, &task.payload);
        }
        let mut digest = [0; DIGEST_BYTES];
        hasher.finalize_xof().fill(&mut digest);
        Self(digest)
    }
}

fn update_text(hasher: &mut blake3::Hasher, text: &str) {
    hasher.update(&text.len().to_le_bytes());
    hasher.update(text.as_bytes());
}
