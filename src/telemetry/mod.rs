//! Metrics, exported in the Prometheus text format, and loggers.

mod exporter;
mod labels;
mod logger;
mod metrics;

pub use exporter::Telemetry;
pub use labels::{Event, PeerDropReason, RetryReason, StoreCall, StoreOutcome};
pub use logger::{QueuedLines, flushable_json_logger, json_logger, stderr_logger};
pub use metrics::{CustomerMetrics, Metrics};
