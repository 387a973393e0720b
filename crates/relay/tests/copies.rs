//! Guards against copies whose rows diverge from the store's, or from those of the followed peer.

use bytes::Bytes;
use harrierward_external::{ChangePage, FreshnessProof, Row, RowChange, SpaceSnapshot};
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

fn proof_of(reply: &CopyReply) -> Option<FreshnessProof> {
    Some(FreshnessProof {
        peer: "peer".into(),
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

/// Requests changes as a daemon does, or all rows if the source's history doesn't reach back. Returns whether the
/// copies differ.
fn follow(copy: &mut SpaceCopy, source: &SpaceCopy) -> bool {
    let reply = source.reply(copy.revision());
    if !reply.is_full {
        return copy.apply_changes(page(reply)).differs;
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
    let update = copy.apply_snapshot(SpaceSnapshot {
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

/// Returns a copy after a full read of the store at revision 1.
fn first_copy() -> SpaceCopy {
    let mut copy = SpaceCopy::default();
    let mut update = copy
        .apply_snapshot(snapshot(vec![row(0, 1)], 1))
        .expect("the first");
    update.as_of = Some(Instant::now());
    copy.prove(&update);
    copy
}

/// A change that the feed omits is seen as such when a full read brings it, so that operators can tell it from a slow
/// feed.
#[test]
fn a_full_read_tells_what_the_feed_has_omitted() {
    let mut copy = first_copy();
    copy.apply_changes(changes(Vec::new(), 5));
    let update = copy.apply_snapshot(snapshot(vec![row(0, 4), row(1, 6)], 6));
    let update = update.expect("not older than the copy");
    assert_eq!(update.written.len(), 2);
    assert_eq!(update.omitted(), 1, "the row at 6 is newer than the copy");
    assert_eq!(update.revision_before, 5);
}

/// A feed that delivers its changes in order omits none.
#[test]
fn changes_of_a_feed_in_order_are_not_omitted() {
    let mut copy = first_copy();
    copy.apply_changes(changes(Vec::new(), 5));
    let change = RowChange {
        key: "row-0".to_owned(),
        revision: 6,
        value: Some(Bytes::from_static(b"6")),
    };
    let update = copy.apply_changes(changes(vec![change], 7));
    assert_eq!((update.written.len(), update.omitted()), (1, 0));
}

#[derive(Debug, Clone)]
enum Step {
    /// Writes or removes a row.
    Change { key: u8, removed: bool },
    /// Applies the store's changes to the first or the second source.
    UpdateSource { second: bool },
    /// Updates the follower from the first or the second source.
    Follow { second: bool },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..12u8, any::<bool>()).prop_map(|(key, removed)| Step::Change { key, removed }),
        any::<bool>().prop_map(|second| Step::UpdateSource { second }),
        any::<bool>().prop_map(|second| Step::Follow { second }),
    ]
}

proptest! {
    /// A follower that alternates between two sources of different revisions ends with the store's rows.
    #[test]
    fn a_follower_of_two_sources_ends_with_the_rows_of_the_store(steps in prop::collection::vec(step(), 1..200)) {
        let mut log: Vec<RowChange> = Vec::new();
        let mut revision = 1;
        let mut sources = [first_copy(), first_copy()];
        let mut follower = SpaceCopy::default();
        let update_source = |source: &mut SpaceCopy, log: &[RowChange], revision: u64| {
            let after = source.revision();
            let new = log.iter().filter(|change| change.revision > after);
            source.apply_changes(changes(new.cloned().collect(), revision));
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
                Step::UpdateSource { second } => update_source(&mut sources[usize::from(second)], &log, revision),
                Step::Follow { second } => {
                    prop_assert!(!follow(&mut follower, &sources[usize::from(second)]));
                }
            }
        }
        for source in &mut sources {
            update_source(source, &log, revision);
            prop_assert!(!follow(&mut follower, source));
            prop_assert_eq!(follower.digest(), source.digest());
            prop_assert_eq!(follower.rows(), source.rows());
        }
    }
}

/// A change that the store's feed omitted and a full read repaired must reach followers, although its revision is lower
/// than theirs.
#[test]
fn a_row_that_the_source_had_missed_reaches_its_followers() {
    let mut source = first_copy();
    let mut follower = SpaceCopy::default();
    source.apply_changes(changes(Vec::new(), 9));
    follow(&mut follower, &source);
    source.apply_snapshot(snapshot(vec![row(0, 1), row(1, 5)], 10));
    assert!(!follow(&mut follower, &source));
    assert_eq!(follower.digest(), source.digest());
    assert_eq!(follower.rows(), 2);
}

/// A missing row must be detected by the digest even if the revisions are equal.
#[test]
fn a_follower_detects_a_missing_row() {
    let mut source = first_copy();
    let mut follower = SpaceCopy::default();
    follow(&mut follower, &source);
    source.apply_changes(changes(Vec::new(), 9));
    follow(&mut follower, &source);
    // The source obtains the row by a full read of the same revision.
    source.apply_snapshot(snapshot(vec![row(0, 1), row(1, 5)], 9));
    assert!(follow(&mut follower, &source));
}

#[test]
fn a_source_without_the_history_reports_it() {
    let mut source = first_copy();
    let after = source.revision();
    for number in 0..2_000u64 {
        let written = row(u8::try_from(number % 200).unwrap(), 2 + number);
        let change = RowChange {
            key: written.key,
            revision: written.revision,
            value: Some(written.value),
        };
        source.apply_changes(changes(vec![change], 2 + number));
    }
    assert!(source.has_updates(after));
    assert!(source.reply(after).is_full);
    assert!(!source.reply(1_900).is_full);
    assert!(!source.has_updates(source.revision()));
}
