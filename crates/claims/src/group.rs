//! Group commit of claims as a pure state machine: many claims share one transaction.
//!
//! Invariant: a claim is granted only on a committed transaction that holds it, or on reading back a row that
//! carries its own attempt id.

use harrierward_external::{Condition, Transaction, TransactionOutcome};
use harrierward_wire::{ClaimRow, encode};

use crate::claim::{Claim, ClaimKey, ClaimOutcome, existing_outcome};

/// A claim that waits for its commit.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingClaim {
    /// Whose request.
    pub key: ClaimKey,
    /// The row to insert.
    pub row: ClaimRow,
}

/// A claim of the group that is decided.
#[derive(Debug, Clone, PartialEq)]
pub struct Resolution {
    /// The claim.
    pub pending: PendingClaim,
    /// What was decided.
    pub outcome: ClaimOutcome,
}

/// Claims that are committed together.
#[derive(Debug, Clone, Default)]
pub struct ClaimGroup {
    pending: Vec<PendingClaim>,
}

impl ClaimGroup {
    /// True if the group holds a claim of this key; another of the same key must wait for the next group.
    pub fn contains(&self, key: &ClaimKey) -> bool {
        self.pending.iter().any(|pending| pending.key == *key)
    }

    /// Adds a claim, whose key the group must not hold yet.
    pub fn add(&mut self, claim: PendingClaim) {
        self.pending.push(claim);
    }

    /// Number of claims not yet decided.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// True if every claim is decided.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// The transaction that would commit all claims of the group.
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

    /// Takes the transaction's outcome; claims that stay undecided go into the next transaction.
    pub fn resolve(&mut self, outcome: TransactionOutcome) -> Vec<Resolution> {
        match outcome {
            TransactionOutcome::Committed { revision } => self
                .pending
                .drain(..)
                .map(|pending| granted(pending, revision))
                .collect(),
            TransactionOutcome::Conflict { key, current } => {
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

    /// Gives up: the claims that are not decided.
    pub fn abandon(&mut self) -> Vec<PendingClaim> {
        std::mem::take(&mut self.pending)
    }
}

fn granted(pending: PendingClaim, revision: u64) -> Resolution {
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
