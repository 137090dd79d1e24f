//! Dispatcher process on an entry VM: accepts jobs from callers, and runs a server
//! pool of its failure domain while it is a leader.
//!
//! An entry VM is a VM to which the load balancer sends callers; one such process runs on each.
//! Names with `node`, such as `NodeState`, refer to that process. In settings, log lines and
//! metrics, `node` stands for the name of its VM.

pub mod caller_stream;
pub mod claim_targets;
pub mod connection_gate;
pub mod coordinator;
pub mod embedded_process;
pub mod explain;
pub mod frontend;
pub mod http_server;
pub mod job_table;
pub mod link_frame;
pub mod link_interval;
pub mod link_listener;
pub mod link_reconciler;
pub mod listener_gates;
pub mod log_limiter;
pub mod loss_news;
pub mod node_metrics;
pub mod node_state;
pub mod node_tuning;
pub mod peer_discovery;
pub mod peer_link;
pub mod peer_table;
pub mod peer_update;
pub mod pool_driver;
pub mod probe_listener;
pub mod process;
pub mod process_log;
pub mod registry_feed;
pub mod registry_source;
pub mod request_body;
pub mod request_cause;
pub mod send_time;
pub mod sent_state;
pub mod store_feed;
