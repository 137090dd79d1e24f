//! Locks that outlive a panic of another holder.

use std::sync;

/// Locks `mutex`, also after a holder panicked.
pub(crate) fn lock<Value>(mutex: &sync::Mutex<Value>) -> sync::MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
