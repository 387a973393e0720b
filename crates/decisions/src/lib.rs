//! The decision log: one structured line for each decision about a request or change of what a process knows.
//!
//! Records are typed and written off the request path through a bounded queue, which drops and counts lines rather
//! than block.

mod console;
mod metrics;
mod queue;
mod record;
mod registration;
mod space_metrics;

pub use console::{ConsoleStream, DroppedLine, NonBlockingConsole};
pub use metrics::DecisionMetrics;
pub use queue::{DECISION_TARGET, DecisionLog, LogBounds, dropped_record};
pub use record::{BodySummary, Importance, Record, RequestAtCrash};
