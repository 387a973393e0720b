//! The decision log: one structured line for each decision that touches a request or changes what a process
//! believes.
//!
//! Why its own crate: on-call engineers have only logs and metrics, so the records are typed, stand in one place,
//! and are written off the request path through a bounded queue that drops (and counts) rather than waits.

mod console;
mod metrics;
mod queue;
mod record;
mod space_metrics;

pub use console::{ConsoleStream, DetachedConsole, DroppedLine};
pub use metrics::DecisionMetrics;
pub use queue::{DECISION_TARGET, DecisionLog, LogBounds, dropped_record};
pub use record::{Importance, Record};
