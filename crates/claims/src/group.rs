//! Group commit of claims as a pure state machine: many claims share one transaction.
//!
//! Invariant: a claim is granted only if a committed transaction contains it, or if the stored row carries its own
//! attempt id.

use harrierward_external::{Condition, Transaction, TransactionOutcome};
use harrierward_wire::{ClaimRow, encode};

use crate::claim::{Claim, ClaimKey, ClaimOutcome, existing_outcome};

/// A claim that is not yet committed.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingClaim {
    /// Tenant and idempotency key of the request.
    pub key: ClaimKey,
    /// Row to insert under [`ClaimKey::row_key`].
    pub row: ClaimRow,
}

/// A claim of the group with its outcome.
#[derive(Debug, Clone, PartialEq)]
pub struct Resolution {
    /// The claim as it was added to the group.
    pub pending: PendingClaim,
    /// Grant, or the state of the row that was stored already.
    pub outcome: ClaimOutcome,
}

/// Claims that are committed together, at most one for each key.
#[derive(Debug, Clone, Default)]
pub struct ClaimGroup {
    pending: Vec<PendingClaim>,
}

impl ClaimGroup {
    /// True if the group contains a claim of this key; another claim of the key must wait for the next group.
    pub fn contains(&self, key: &ClaimKey) -> bool {
        self.pending.iter().any(|pending| pending.key == *key)
    }

    /// Adds a claim. The group must not contain its key yet.
    pub fn add(&mut self, claim: PendingClaim) {
        self.pending.push(claim);
    }

    /// Returns the number of claims without an outcome.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// True if every claim has its outcome.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns the transaction that inserts the rows of all claims without an outcome.
    pub fn transaction(&self) -> Transaction {
        let mut transaction = Transaction::default();
        for pending in &self.pending {
            let key = pending.key.row_key();
            transaction = transaction
                .require(Condition::Absent { key: key.clone() })
                .put(key, encode(&pending.row));
        }
        transaction
    }

    /// Applies the transaction's outcome. A conflict resolves at most one claim; the others go into the next
    /// transaction.
    pub fn resolve(&mut self, outcome: TransactionOutcome) -> Vec<Resolution> {
        match outcome {
            TransactionOutcome::Committed { revision } => self
                .pending
                .drain(..)
                .map(|pending| grant(pending, revision))
                .collect(),
            TransactionOutcome::Conflict { key, current, .. } => {
                let index = self
                    .pending
                    .iter()
                    .position(|pending| pending.key.row_key() == key);
                let (Some(index), Some(row)) = (index, current) else {
                    return Vec::new();
                };
                let pending = self.pending.swap_remove(index);
                let outcome = existing_outcome(&pending.key, &pending.row, &row);
                vec![Resolution { pending, outcome }]
            }
        }
    }

    /// Removes and returns the claims without an outcome.
    pub fn take_unresolved(&mut self) -> Vec<PendingClaim> {
        std::mem::take(&mut self.pending)
    }
}

fn grant(pending: PendingClaim, revision: u64) -> Resolution {
    let claim = Claim {
        key: pending.key.clone(),
        row: pending.row.clone(),
        revision,
    };
    Resolution {
        pending,
        outcome: ClaimOutcome::Granted(claim),
    }
}
