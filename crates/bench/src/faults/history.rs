//! What clients and operators did and saw.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use harrierward_gateway::Execution;

/// How an online request ended for its client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnlineOutcome {
    /// A whole answer.
    Answered {
        /// The text.
        text: String,
    },
    /// An explicit error.
    Refused {
        /// What was said of the execution.
        execution: Execution,
        /// Code of the error.
        code: &'static str,
        /// Text delivered before.
        partial: String,
    },
    /// The connection broke: nothing was said.
    Lost {
        /// Text delivered before.
        partial: String,
    },
}

/// One invocation of an online request.
#[derive(Debug, Clone)]
pub struct OnlineCall {
    /// The prompt; the same for resends of a marked request, else unique.
    pub prompt: String,
    /// Most tokens asked for.
    pub maximum_tokens: u32,
    /// Model.
    pub model: String,
    /// Must run at most once.
    pub marked: bool,
    /// Outcome.
    pub outcome: OnlineOutcome,
}

/// One job as its client knows it.
#[derive(Debug, Clone)]
pub struct JobRecord {
    /// Tenant.
    pub tenant: String,
    /// Model.
    pub model: String,
    /// Prompts by custom id.
    pub prompts: BTreeMap<String, String>,
    /// Custom ids of at-most-once items.
    pub at_most_once: Vec<String>,
    /// Most tokens of each item.
    pub maximum_tokens: u32,
    /// Ids that were acknowledged; all must be the same.
    pub acknowledged: Vec<String>,
    /// When a cancel was acknowledged.
    pub cancel_acknowledged: Option<Duration>,
}

/// An accepted change of configuration.
#[derive(Debug, Clone)]
pub struct ConfigAccepted {
    /// Revision.
    pub revision: u64,
    /// When.
    pub at: Duration,
}

/// Revision that a daemon had in force.
#[derive(Debug, Clone)]
pub struct ConfigSeen {
    /// Daemon.
    pub member: String,
    /// Revision.
    pub revision: u64,
    /// True if it may act on more than the safe plan.
    pub fresh: bool,
    /// When.
    pub at: Duration,
}

/// The whole history.
#[derive(Debug, Default)]
pub struct History {
    /// Online invocations.
    pub online: Vec<OnlineCall>,
    /// Jobs by the client's key.
    pub jobs: BTreeMap<String, JobRecord>,
    /// Accepted changes.
    pub accepted: Vec<ConfigAccepted>,
    /// Revisions seen.
    pub seen: Vec<ConfigSeen>,
    /// When engines said that they leave, by address.
    pub left: BTreeMap<String, Duration>,
    /// Planned stops that cut something off.
    pub cut_stops: Vec<String>,
    /// Faults injected, by kind.
    pub faults: BTreeMap<&'static str, u64>,
}

/// A history that many tasks write.
#[derive(Debug, Clone, Default)]
pub struct Recorder {
    history: Arc<Mutex<History>>,
}

impl Recorder {
    /// Access to the history.
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
