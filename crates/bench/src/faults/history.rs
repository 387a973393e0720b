//! History of client and operator calls, for the checker.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use harrierward_gateway::Execution;

/// Outcome of an online request as its client received it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnlineOutcome {
    /// A complete response.
    Answered {
        /// Text of the response.
        text: String,
    },
    /// An error response.
    Refused {
        /// Execution status that the error reported.
        execution: Execution,
        /// Error code.
        code: &'static str,
        /// Text delivered before.
        partial: String,
    },
    /// The connection broke without a response or in the middle of one.
    Lost {
        /// Text delivered before.
        partial: String,
    },
}

/// One invocation of an online request.
#[derive(Debug, Clone)]
pub struct OnlineCall {
    /// Prompt: the same for all resends of an idempotent request, otherwise unique.
    pub prompt: String,
    /// Requested maximum of tokens.
    pub maximum_tokens: u32,
    /// Model that was requested.
    pub model: String,
    /// Whether the request must run at most once.
    pub idempotent: bool,
    /// What the client received.
    pub outcome: OnlineOutcome,
}

/// A submitted job and what its client received.
#[derive(Debug, Clone)]
pub struct JobRecord {
    /// Tenant that submitted it.
    pub tenant: String,
    /// Model that all its items request.
    pub model: String,
    /// Prompts of the items by custom id.
    pub prompts: BTreeMap<String, String>,
    /// Custom ids of at-most-once items.
    pub at_most_once: Vec<String>,
    /// Maximum of tokens of each item.
    pub maximum_tokens: u32,
    /// Job id of each acknowledgement; all must be equal.
    pub acknowledged: Vec<String>,
    /// When the cancellation was first acknowledged; `None` if it never was.
    pub cancel_acknowledged: Option<Duration>,
}

/// An accepted change of configuration.
#[derive(Debug, Clone)]
pub struct AcceptedConfig {
    /// Revision that the change produced.
    pub revision: u64,
    /// When the client received the acceptance.
    pub at: Duration,
}

/// Configuration status of a daemon at one time.
#[derive(Debug, Clone)]
pub struct ObservedConfig {
    /// Member id of the daemon.
    pub member: String,
    /// Revision in force.
    pub revision: u64,
    /// True if the daemon considers its configuration fresh; if not, it lends no capacity.
    pub fresh: bool,
    /// When it was polled.
    pub at: Duration,
}

/// Everything that clients, operators and fault injection recorded.
#[derive(Debug, Default)]
pub struct History {
    /// Online calls, resends included.
    pub online: Vec<OnlineCall>,
    /// Jobs by client key.
    pub jobs: BTreeMap<String, JobRecord>,
    /// Accepted configuration changes.
    pub accepted: Vec<AcceptedConfig>,
    /// Polled configuration status of daemons, in order of time.
    pub observed: Vec<ObservedConfig>,
    /// When engines announced that they leave, by address.
    pub leaving_since: BTreeMap<String, Duration>,
    /// Member ids of daemons whose drain interrupted work.
    pub interrupted_drains: Vec<String>,
    /// Number of injected faults by kind.
    pub faults: BTreeMap<&'static str, u64>,
}

/// Shared [`History`]; clones refer to the same one.
#[derive(Debug, Clone, Default)]
pub struct Recorder {
    history: Arc<Mutex<History>>,
}

impl Recorder {
    /// Locks the history.
    pub fn lock(&self) -> MutexGuard<'_, History> {
        self.history
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Counts an injected fault.
    pub fn fault(&self, kind: &'static str) {
        *self.lock().faults.entry(kind).or_default() += 1;
    }
}
