//! Who gives requests their leases at replicas, as the request path sees it.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use harrierward_tenants::AllowedRegions;

use crate::choice::Choice;
use crate::outcome::{Evidence, ReleaseReport};
use crate::profile::PromptLength;
use crate::prompt::Prompt;
use crate::replica::{Replica, WorkClass};

/// What a batch item adds to a question for a lease.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ItemSlack {
    /// Time until the item must run again if it is ended at once.
    pub slack: Duration,
}

/// A question for a lease.
#[derive(Debug, Clone, Copy)]
pub struct SlotQuery<'a> {
    /// Service.
    pub service: &'a str,
    /// The prompt.
    pub prompt: &'a Prompt,
    /// How its length stands among the service's.
    pub length: PromptLength,
    /// Replicas not to be used again.
    pub excluded: &'a [String],
    /// Regions in which it may be served.
    pub regions: &'a AllowedRegions,
    /// Objective of the request, from which the patience with a coordinator follows.
    pub objective: Duration,
    /// Set for a batch item.
    pub item: Option<ItemSlack>,
    /// An online request whose objective has passed: it waits while those that can still be in time take all slots.
    pub overdue: bool,
    /// It may be sent again elsewhere if it fails: a replica that failed may be tried with it.
    pub may_repeat: bool,
    /// Longest time after which the caller of an online request still comes back, if it is told to; `None` if the
    /// request must be placed.
    pub max_retry_after: Option<Duration>,
}

impl SlotQuery<'_> {
    /// Class of the work.
    pub fn class(&self) -> WorkClass {
        match self.item {
            None => WorkClass::Online,
            Some(_) => WorkClass::Batch,
        }
    }
}

/// What became of a question for a lease.
#[derive(Debug)]
pub enum SlotReply {
    /// The coordinator gave this lease out.
    Granted {
        /// The replica.
        choice: Choice,
        /// Number of the lease.
        lease: u32,
    },
    /// The coordinator has no room now for an item or an overdue request.
    NoCapacity,
    /// The request would be late; its caller is to come back.
    RetryLater {
        /// When a slot is expected to be free for it.
        after: Duration,
    },
    /// Nothing was granted: the replicas asked for are cold, and got all that they bear now. The daemon may choose a warm
    /// one itself.
    AllCold,
    /// No coordinator answers: the daemon chooses by what it knows itself.
    NoCoordinator,
}

/// Gives out leases at replicas, and takes them back.
#[async_trait]
pub trait SlotLeases: Send + Sync {
    /// Asks the coordinator of the replicas for a lease.
    async fn acquire(&self, query: SlotQuery<'_>) -> SlotReply;

    /// A lease that this daemon chose itself. Returns its number.
    fn acquire_locally(&self, replica: &Arc<Replica>, item: Option<ItemSlack>) -> u32;

    /// The lease is free again; `end` is what its request saw of the replica. Does not wait.
    fn release(&self, lease: u32, end: ReleaseReport);

    /// True if the coordinator of the replica's group has just said that all of the group are cold, which this daemon may
    /// not have heard from their rows.
    fn is_reported_cold(&self, _replica: &Replica) -> bool {
        false
    }

    /// True if a coordinator that answers grants the replica's slots: it ends items where online requests need them,
    /// and this daemon need not go by its own estimate of what the others have there.
    fn is_coordinated(&self, replica: &Replica) -> bool;

    /// One batch item at the replica is to give its slot back: of this daemon, or of a peer. Does not wait.
    fn preempt_item(&self, replica: &Arc<Replica>);
}

/// A lease that is held for as long as this lives.
pub struct SlotLease {
    leases: Arc<dyn SlotLeases>,
    number: u32,
    evidence: Evidence,
}

impl SlotLease {
    /// Holds a lease that was given out or taken.
    pub fn new(leases: Arc<dyn SlotLeases>, number: u32) -> Self {
        let evidence = Evidence::default();
        Self {
            leases,
            number,
            evidence,
        }
    }

    /// What its request sees of the replica.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// Its number.
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
