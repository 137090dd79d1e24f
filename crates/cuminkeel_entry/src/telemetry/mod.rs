//! Logs, metrics and traces of an entry.

mod logs;
mod messages;
mod metrics;
mod traces;

pub use logs::root_logger;
pub use messages::{MessageCounters, MessageCounts};
pub use metrics::{MetricsError, MetricsExport, MetricsSource};
pub use traces::{
    TraceError, TraceExport, TraceSource, end_backend_span, end_span, span_of_job, traceparent,
};
