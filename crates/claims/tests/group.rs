//! Group commit of claims against a table that conflicts: each claim gets one outcome, and a claim is granted only
//! if the stored row carries its attempt id.

use std::collections::BTreeMap;

use harrierward_claims::{ClaimGroup, ClaimKey, ClaimOutcome, PendingClaim};
use harrierward_external::{Condition, Row, Transaction, TransactionOutcome, Write};
use harrierward_wire::{ClaimRow, ClaimState, decode};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

#[derive(Default)]
struct TableModel {
    rows: BTreeMap<String, Row>,
    revision: u64,
}

impl TableModel {
    fn apply(&mut self, transaction: &Transaction) -> TransactionOutcome {
        for condition in &transaction.conditions {
            let Condition::Absent { key } = condition else {
                continue;
            };
            if let Some(row) = self.rows.get(key) {
                return TransactionOutcome::Conflict {
                    key: key.clone(),
                    current: Some(row.clone()),
                    table_revision: self.revision,
                };
            }
        }
        self.revision += 1;
        for write in &transaction.writes {
            if let Write::Put { key, value } = write {
                let row = Row {
                    key: key.clone(),
                    value: value.clone(),
                    revision: self.revision,
                };
                self.rows.insert(key.clone(), row);
            }
        }
        TransactionOutcome::Committed {
            revision: self.revision,
        }
    }
}

fn claim(key: u8, body: u8, attempt: usize) -> PendingClaim {
    PendingClaim {
        key: ClaimKey {
            tenant: "desks".to_owned(),
            key: format!("key-{key}"),
        },
        row: ClaimRow {
            digest: vec![body],
            attempt: format!("attempt-{attempt}"),
            state: ClaimState::Open as i32,
            answer: Vec::new(),
            created_at_ms: 1,
            content_digest: Vec::new(),
        },
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn one_attempt_of_a_key_is_granted(
        requests in prop::collection::vec((0..6u8, 0..2u8, any::<bool>()), 1..40),
        group_size in 1..8usize,
    ) {
        let mut table = TableModel::default();
        let mut granted: BTreeMap<String, String> = BTreeMap::new();
        let mut decided = 0;
        let mut next: Vec<(PendingClaim, bool)> = requests
            .iter()
            .enumerate()
            .map(|(attempt, (key, body, lost))| (claim(*key, *body, attempt), *lost))
            .collect();
        while !next.is_empty() {
            let mut group = ClaimGroup::default();
            let mut deferred = Vec::new();
            let mut response_lost = false;
            for (claim, lost) in next {
                if group.len() >= group_size || group.contains(&claim.key) {
                    deferred.push((claim, lost));
                } else {
                    response_lost |= lost;
                    group.add(claim);
                }
            }
            while !group.is_empty() {
                let outcome = table.apply(&group.transaction());
                if std::mem::take(&mut response_lost) {
                    continue;
                }
                for resolution in group.resolve(outcome) {
                    decided += 1;
                    let key = resolution.pending.key.row_key();
                    let stored: ClaimRow = decode(&table.rows[&key].value).unwrap_or_default();
                    match resolution.outcome {
                        ClaimOutcome::Granted(claim) => {
                            prop_assert_eq!(&stored.attempt, &claim.row.attempt);
                            let earlier = granted.insert(key, claim.row.attempt);
                            prop_assert!(earlier.is_none(), "granted twice");
                        }
                        ClaimOutcome::Mismatch => prop_assert_ne!(stored.digest, resolution.pending.row.digest),
                        ClaimOutcome::Held(holder) => {
                            prop_assert_eq!(&stored.attempt, &holder.attempt);
                            prop_assert_ne!(stored.attempt, resolution.pending.row.attempt);
                        }
                        ClaimOutcome::Completed(_) => prop_assert!(false, "nothing was answered"),
                    }
                }
            }
            next = deferred;
        }
        prop_assert_eq!(decided, requests.len());
    }
}
