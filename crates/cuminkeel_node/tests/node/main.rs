//! Tests of processes on the emulated platform, connected over the loopback interface, and of
//! single components of a process.

mod components;
mod connection_gate;
mod crashes;
mod evacuation;
mod false_fences;
mod frame_compatibility;
mod frontend;
mod job_size;
mod logs;
mod odd_entries;
mod offers;
mod peers;
mod pipelined_requests;
mod platform_faults;
mod recovery;
mod registry_logs;
mod registry_reads;
mod registry_relays;
mod request_causes;
mod resent_jobs;
mod shards;
mod test_platform;
