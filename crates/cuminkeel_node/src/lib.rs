//! The process on an entry VM: takes jobs from callers, and runs its failure
//! domain's pool while it leads.

pub mod coordinator;
pub mod decision_log;
pub mod domain_view;
pub mod explain;
pub mod front;
pub mod hosted_process;
pub mod link_cadence;
pub mod link_frame;
pub mod link_keeper;
pub mod link_listener;
pub mod link_news;
pub mod node_metrics;
pub mod node_state;
pub mod node_tuning;
pub mod peer_feed;
pub mod peer_link;
pub mod peer_news;
pub mod peer_table;
pub mod pool_driver;
pub mod process;
pub mod request_cause;
pub mod store_feed;
