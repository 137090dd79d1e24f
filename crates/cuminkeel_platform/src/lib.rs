//! The platform as cuminkeel sees it: an append-only log, a lagging list of
//! VMs and lagging usage reports.

pub mod border;
