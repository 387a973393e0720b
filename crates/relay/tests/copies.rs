//! A copy that follows another one holds the same rows, whoever it follows and whatever was missed.

use bytes::Bytes;
use harrierward_external::{ChangePage, CopyProof, Row, RowChange, SpaceSnapshot};
use harrierward_relay::{CopyReply, SpaceCopy};
use proptest::prelude::*;
use tokio::time::Instant;

fn row(key: u8, revision: u64) -> Row {
    Row {
        key: format!("row-{key}"),
        value: Bytes::from(revision.to_string()),
        revision,
    }
}

fn proof_of(reply: &CopyReply) -> Option<CopyProof> {
    Some(CopyProof {
        as_of: Instant::now(),
        digest: reply.digest,
    })
}

fn page(reply: CopyReply) -> ChangePage {
    ChangePage {
        proof: proof_of(&reply),
        revision: reply.revision,
        store_time_ms: reply.store_time_ms,
        changes: reply.changes,
    }
}

/// Asks as a daemon does: for changes, or for all where these are not known any more.
fn follow(copy: &mut SpaceCopy, source: &SpaceCopy) -> bool {
    let reply = source.reply(copy.revision());
    if !reply.is_full {
        return copy.take_changes(page(reply)).differs;
    }
    let all = source.reply(0);
    let proof = proof_of(&all);
    let rows = all.changes.into_iter().filter_map(|change| {
        Some(Row {
            value: change.value?,
            key: change.key,
            revision: change.revision,
        })
    });
    let update = copy.take_snapshot(SpaceSnapshot {
        rows: rows.collect(),
        revision: all.revision,
        store_time_ms: 0,
        proof,
    });
    if let Some(update) = update {
        copy.prove(&update);
    }
    false
}

fn changes(changes: Vec<RowChange>, revision: u64) -> ChangePage {
    ChangePage {
        changes,
        revision,
        ..ChangePage::default()
    }
}

fn snapshot(rows: Vec<Row>, revision: u64) -> SpaceSnapshot {
    SpaceSnapshot {
        rows,
        revision,
        ..SpaceSnapshot::default()
    }
}

/// A copy of the store that was read whole at the revision 1.
fn first_copy() -> SpaceCopy {
    let mut copy = SpaceCopy::default();
    let mut update = copy
        .take_snapshot(snapshot(vec![row(0, 1)], 1))
        .expect("the first");
    update.as_of = Some(Instant::now());
    copy.prove(&update);
    copy
}

#[derive(Debug, Clone)]
enum Step {
    /// A row is written, or removed.
    Change { key: u8, removed: bool },
    /// The first or the second copy of the store hears what is new.
    Hear { second: bool },
    /// The follower asks one of both.
    Follow { second: bool },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..12u8, any::<bool>()).prop_map(|(key, removed)| Step::Change { key, removed }),
        any::<bool>().prop_map(|second| Step::Hear { second }),
        any::<bool>().prop_map(|second| Step::Follow { second }),
    ]
}

proptest! {
    /// Two copies hear of the store at their own pace; a third goes back and forth between them, and holds in the end what the
    /// store does.
    #[test]
    fn a_follower_of_two_sources_ends_with_the_rows_of_the_store(steps in prop::collection::vec(step(), 1..200)) {
        let mut log: Vec<RowChange> = Vec::new();
        let mut revision = 1;
        let mut sources = [first_copy(), first_copy()];
        let mut follower = SpaceCopy::default();
        let hear = |source: &mut SpaceCopy, log: &[RowChange], revision: u64| {
            let after = source.revision();
            let new = log.iter().filter(|change| change.revision > after);
            source.take_changes(changes(new.cloned().collect(), revision));
        };
        for step in steps {
            match step {
                Step::Change { key, removed } => {
                    revision += 1;
                    let written = row(key, revision);
                    log.push(RowChange {
                        key: written.key,
                        revision,
                        value: (!removed).then_some(written.value),
                    });
                }
                Step::Hear { second } => hear(&mut sources[usize::from(second)], &log, revision),
                Step::Follow { second } => {
                    prop_assert!(!follow(&mut follower, &sources[usize::from(second)]));
                }
            }
        }
        for source in &mut sources {
            hear(source, &log, revision);
            prop_assert!(!follow(&mut follower, source));
            prop_assert_eq!(follower.digest(), source.digest());
            prop_assert_eq!(follower.rows(), source.rows());
        }
    }
}

/// The store's answers may pass over a change; the source's next whole read finds it, and its follower is told of it although the
/// row is older than what the follower has asked after.
#[test]
fn a_row_that_the_source_had_missed_reaches_its_followers() {
    let mut source = first_copy();
    let mut follower = SpaceCopy::default();
    source.take_changes(changes(Vec::new(), 9));
    follow(&mut follower, &source);
    source.take_snapshot(snapshot(vec![row(0, 1), row(1, 5)], 10));
    assert!(!follow(&mut follower, &source));
    assert_eq!(follower.digest(), source.digest());
    assert_eq!(follower.rows(), 2);
}

/// Nothing is newer by its revision, and yet one copy lacks a row: the digest tells.
#[test]
fn a_follower_that_lacks_a_row_notices() {
    let mut source = first_copy();
    let mut follower = SpaceCopy::default();
    follow(&mut follower, &source);
    source.take_changes(changes(Vec::new(), 9));
    follow(&mut follower, &source);
    // Found by a whole read of the same revision.
    source.take_snapshot(snapshot(vec![row(0, 1), row(1, 5)], 9));
    assert!(follow(&mut follower, &source));
}

#[test]
fn a_source_that_forgot_the_changes_says_so() {
    let mut source = first_copy();
    let after = source.revision();
    for number in 0..2_000u64 {
        let written = row(u8::try_from(number % 200).unwrap(), 2 + number);
        let change = RowChange {
            key: written.key,
            revision: written.revision,
            value: Some(written.value),
        };
        source.take_changes(changes(vec![change], 2 + number));
    }
    assert!(source.has_updates(after));
    assert!(source.reply(after).is_full);
    assert!(!source.reply(1_900).is_full);
    assert!(!source.has_updates(source.revision()));
}
