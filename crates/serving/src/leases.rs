//! Leases of replica slots, as the request path uses them.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use harrierward_tenants::AllowedRegions;

use crate::choice::Choice;
use crate::outcome::{AttemptOutcome, Evidence, ReleaseReport};
use crate::profile::PromptLength;
use crate::prompt::Prompt;
use crate::replica::{Replica, WorkClass};
use harrierward_stream_origins::SoftwareVersion;

/// Batch-specific part of a [`SlotQuery`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ItemSlack {
    /// Time until the item must run again if it is preempted at once.
    pub slack: Duration,
}

/// Request for a lease.
#[derive(Debug, Clone, Copy)]
pub struct SlotQuery<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Prompt, for prefix affinity.
    pub prompt: &'a Prompt,
    /// Length class of the prompt within its service.
    pub length: PromptLength,
    /// Ids of replicas not to be used again.
    pub excluded: &'a [String],
    /// Regions in which the request may be served.
    pub regions: &'a AllowedRegions,
    /// The only software version that may serve it; `None` if any may.
    pub version: Option<SoftwareVersion>,
    /// Objective of the request, from which the timeout of the coordinator's reply is derived.
    pub objective: Duration,
    /// Set for batch items only.
    pub item: Option<ItemSlack>,
    /// True for an online request past its objective, which waits while requests that can still meet theirs take all
    /// slots.
    pub overdue: bool,
    /// True if the request can be retried elsewhere, so that it may probe an ejected replica.
    pub may_repeat: bool,
    /// Longest delay after which the caller would still retry; `None` if the request must be placed.
    pub max_retry_after: Option<Duration>,
}

impl SlotQuery<'_> {
    /// Returns the class of the work.
    pub fn class(&self) -> WorkClass {
        match self.item {
            None => WorkClass::Online,
            Some(_) => WorkClass::Batch,
        }
    }
}

/// Result of [`SlotLeases::acquire`].
#[derive(Debug)]
pub enum SlotReply {
    /// The coordinator granted a lease.
    Granted {
        /// Replica of the lease.
        choice: Choice,
        /// Number of the lease.
        lease: u32,
    },
    /// The coordinator has no free capacity for an item or an overdue request.
    NoCapacity,
    /// The request would miss its objective; its caller shall retry.
    RetryLater {
        /// Time until a slot is expected to be free for it.
        after: Duration,
    },
    /// All queried replicas are cold and get as many requests as they sustain. The daemon may choose a warm one
    /// itself.
    AllCold,
    /// No coordinator replies; the daemon chooses a replica itself.
    NoCoordinator,
}

/// Grants and releases leases of replica slots.
#[async_trait]
pub trait SlotLeases: Send + Sync {
    /// Requests a lease from the coordinator of the replicas.
    async fn acquire(&self, query: SlotQuery<'_>) -> SlotReply;

    /// Records a lease for a replica that this daemon chose itself. Returns its number.
    fn acquire_locally(&self, replica: &Arc<Replica>, item: Option<ItemSlack>) -> u32;

    /// Releases a lease and reports the outcome of its request. Does not block.
    fn release(&self, lease: u32, report: ReleaseReport);

    /// Reports an outcome that was not known yet when the lease was released. Does not block.
    fn report_outcome(&self, _lease: u32, _replica: u32, _outcome: AttemptOutcome) {}

    /// True if the coordinator recently reported the replica's whole group as cold, which its rows may not show yet.
    fn is_reported_cold(&self, _replica: &Replica) -> bool {
        false
    }

    /// True if a responsive coordinator grants the replica's slots. It preempts items when online requests need their
    /// slots.
    fn is_coordinated(&self, replica: &Replica) -> bool;

    /// Preempts one batch item at the replica, of this daemon or of a peer. Does not block.
    fn preempt_item(&self, replica: &Arc<Replica>);
}

/// Guard of a lease; releases it when dropped.
pub struct SlotLease {
    leases: Arc<dyn SlotLeases>,
    number: u32,
    evidence: Evidence,
}

impl SlotLease {
    /// Creates the guard of a lease that was granted or recorded locally.
    pub fn new(leases: Arc<dyn SlotLeases>, number: u32) -> Self {
        let evidence = Evidence::default();
        Self {
            leases,
            number,
            evidence,
        }
    }

    /// Returns the observations about the replica, reported on release.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// Returns the number of the lease.
    pub fn number(&self) -> u32 {
        self.number
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        self.leases.release(self.number, self.evidence.report());
    }
}

impl std::fmt::Debug for SlotLease {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_tuple("SlotLease")
            .field(&self.number)
            .finish()
    }
}
