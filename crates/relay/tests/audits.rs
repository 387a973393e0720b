//! Guards against copies that keep a row which the store has changed, since the feed omitted the change.

use std::collections::{BTreeMap, HashSet};
use std::time::Duration;

use bytes::Bytes;
use harrierward_external::{ChangePage, Row, RowChange, RowVersion, SpaceSnapshot};
use harrierward_relay::{
    AuditComparison, AuditState, Auditor, Reading, RepairScope, SpaceCopy, UpdateSource,
    audit_interval, audit_rank, is_audit_due,
};
use proptest::prelude::*;
use tokio::time::Instant;

fn key(number: u8) -> String {
    format!("row-{number}")
}

/// The store's rows, with the history of their changes.
#[derive(Debug, Default)]
struct Store {
    rows: BTreeMap<String, u64>,
    history: Vec<RowChange>,
    revision: u64,
}

impl Store {
    fn change(&mut self, number: u8, is_removal: bool) {
        let key = key(number);
        if is_removal && !self.rows.contains_key(&key) {
            return;
        }
        self.revision += 1;
        let value = (!is_removal).then(|| Bytes::from(self.revision.to_string()));
        if is_removal {
            self.rows.remove(&key);
        } else {
            self.rows.insert(key.clone(), self.revision);
        }
        self.history.push(RowChange {
            key,
            revision: self.revision,
            value,
        });
    }

    /// Returns the changes after a revision; `omits` some of them.
    fn feed(&self, after: u64, omits: &HashSet<u64>) -> ChangePage {
        let newer = self.history.iter();
        let newer = newer.filter(|change| change.revision > after);
        let told = newer.filter(|change| !omits.contains(&change.revision));
        ChangePage {
            changes: told.cloned().collect(),
            revision: self.revision,
            ..ChangePage::default()
        }
    }

    fn read(&self) -> SpaceSnapshot {
        let rows = self.rows.iter().map(|(key, revision)| Row {
            key: key.clone(),
            value: Bytes::from(revision.to_string()),
            revision: *revision,
        });
        SpaceSnapshot {
            rows: rows.collect(),
            revision: self.revision,
            ..SpaceSnapshot::default()
        }
    }

    fn check(&self, versions: &[RowVersion]) -> Vec<RowChange> {
        let changed = versions.iter().filter(|known| {
            let current = self.rows.get(&known.key).copied().unwrap_or(0);
            current != known.revision
        });
        let changed = changed.map(|known| {
            let current = self.rows.get(&known.key).copied();
            RowChange {
                key: known.key.clone(),
                revision: current.unwrap_or(self.revision),
                value: current.map(|revision| Bytes::from(revision.to_string())),
            }
        });
        changed.collect()
    }
}

fn read(copy: &mut SpaceCopy, store: &Store) {
    if let Some(mut update) = copy.apply_snapshot(store.read()) {
        update.as_of = Some(Instant::now());
        copy.prove(&update);
    }
}

/// Compares the copy with the store's current state, and applies what differs.
fn audit(copy: &mut SpaceCopy, store: &Store) {
    let changes = store.check(&copy.versions(&[]));
    copy.apply_missing(changes, Reading::Audit, UpdateSource::Store);
}

/// Requests what the audited copy has, as a daemon does.
fn repair(copy: &mut SpaceCopy, audited: &SpaceCopy, scope: RepairScope, store: &Store) {
    let source = UpdateSource::Peer("auditor".into());
    let after = match scope {
        RepairScope::ChangesAfter(revision) => revision,
        RepairScope::AllRows => 0,
    };
    let reply = audited.reply(after);
    if reply.is_full && after > 0 {
        return;
    }
    let listed: HashSet<String> = reply.changes.iter().map(|one| one.key.clone()).collect();
    copy.apply_missing(reply.changes, Reading::Repair, source);
    if scope == RepairScope::AllRows {
        let mut unlisted = copy.versions(&[]);
        unlisted.retain(|row| !listed.contains(&row.key));
        let changes = store.check(&unlisted);
        copy.apply_missing(changes, Reading::Audit, UpdateSource::Store);
    }
}

/// Time after which no repair is delayed by earlier ones.
const PAUSE: Duration = Duration::from_secs(60);

/// Audits the first copy and repairs the others; those that differ tell the auditor, which may lack a row.
fn audit_and_repair(
    copies: &mut [SpaceCopy],
    states: &mut [AuditState],
    store: &Store,
    now: &mut Instant,
) {
    let [auditor, others @ ..] = copies else {
        return;
    };
    let [auditor_state, other_states @ ..] = states else {
        return;
    };
    for _ in 0..4 {
        audit(auditor, store);
        let statement = auditor.statement();
        auditor_state.note_equal(statement.revision, *now);
        for (copy, state) in others.iter_mut().zip(other_states.iter_mut()) {
            *now += PAUSE;
            repair_if_due(copy, state, auditor, store, *now);
            if copy.compare(&statement) == Some(AuditComparison::Equal) {
                state.note_equal(statement.revision, *now);
            }
            let is_ahead = copy.is_ahead_of(&statement);
            state.must_tell_auditor(is_ahead, *now);
            if state.must_tell_auditor(is_ahead, *now + PAUSE) {
                *now += PAUSE;
                repair_if_due(auditor, auditor_state, copy, store, *now);
            }
        }
    }
}

/// Compares a copy with that of a peer, and repairs it.
fn repair_if_due(
    copy: &mut SpaceCopy,
    state: &mut AuditState,
    peer: &SpaceCopy,
    store: &Store,
    now: Instant,
) {
    let statement = peer.statement();
    let Some(comparison) = copy.compare(&statement) else {
        return;
    };
    let Some(due) = state.repair(comparison, now) else {
        return;
    };
    repair(copy, peer, due.scope, store);
    let is_equal = copy.compare(&statement) == Some(AuditComparison::Equal);
    state.note_repaired(!is_equal, now);
}

/// Returns the rows of a copy that aren't as in the store.
fn outdated(copy: &SpaceCopy, store: &Store) -> Vec<RowVersion> {
    let held = copy.versions(&[]).into_iter();
    let is_current = |row: &RowVersion| store.rows.get(&row.key) == Some(&row.revision);
    held.filter(|row| !is_current(row)).collect()
}

#[derive(Debug, Clone)]
enum Step {
    /// Writes or removes a row.
    Change { key: u8, is_removal: bool },
    /// Delivers the feed to one of the copies; it may omit the changes.
    Feed { copy: usize, omits: bool },
    /// Reads the store in full into one of the copies.
    Read { copy: usize },
    /// Audits the first copy, and lets the others repair theirs.
    Audit,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0_u8..6, any::<bool>()).prop_map(|(key, is_removal)| Step::Change { key, is_removal }),
        4 => (0_usize..3, any::<bool>()).prop_map(|(copy, omits)| Step::Feed { copy, omits }),
        1 => (0_usize..3).prop_map(|copy| Step::Read { copy }),
        2 => Just(Step::Audit),
    ]
}

proptest! {
    /// After a few audits and the repairs that follow, no copy holds a row that the store has changed or removed before,
    /// whatever the feeds omitted and whenever they delivered.
    #[test]
    fn no_copy_keeps_a_row_that_changed_before_an_audit(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut store = Store::default();
        let mut copies = [SpaceCopy::default(), SpaceCopy::default(), SpaceCopy::default()];
        let mut states = [AuditState::default(), AuditState::default(), AuditState::default()];
        for number in 0..3 {
            store.change(number, false);
        }
        for copy in &mut copies {
            read(copy, &store);
        }
        let mut now = Instant::now();
        for step in steps.into_iter().chain([Step::Audit]) {
            match step {
                Step::Change { key, is_removal } => store.change(key, is_removal),
                Step::Feed { copy, omits } => {
                    let all = (0..=store.revision).filter(|_| omits).collect();
                    let page = store.feed(copies[copy].revision(), &all);
                    copies[copy].apply_changes(page);
                }
                Step::Read { copy } => read(&mut copies[copy], &store),
                Step::Audit => {
                    audit_and_repair(&mut copies, &mut states, &store, &mut now);
                    for copy in &copies {
                        prop_assert_eq!(outdated(copy, &store), []);
                    }
                }
            }
        }
    }

    /// The digest at an earlier revision is that of the copy at that time, so that a copy which is ahead of an audited
    /// one isn't considered different.
    #[test]
    fn a_copy_that_is_ahead_equals_an_audited_one(
        before in prop::collection::vec((0_u8..6, any::<bool>()), 1..20),
        after in prop::collection::vec((0_u8..6, any::<bool>()), 0..20),
    ) {
        let mut store = Store::default();
        store.change(0, false);
        let mut audited = SpaceCopy::default();
        let mut ahead = SpaceCopy::default();
        read(&mut audited, &store);
        read(&mut ahead, &store);
        for (key, is_removal) in before {
            store.change(key, is_removal);
        }
        for copy in [&mut audited, &mut ahead] {
            let page = store.feed(copy.revision(), &HashSet::new());
            copy.apply_changes(page);
        }
        for (key, is_removal) in after {
            store.change(key, is_removal);
        }
        ahead.apply_changes(store.feed(ahead.revision(), &HashSet::new()));
        prop_assert_eq!(ahead.compare(&audited.statement()), Some(AuditComparison::Equal));
    }
}

/// A copy whose feed has passed the last change without it is repaired at once; one whose feed may be on its way isn't.
#[test]
fn an_omitted_change_is_told_from_one_that_is_on_its_way() {
    let mut store = Store::default();
    store.change(0, false);
    let mut auditor = SpaceCopy::default();
    let mut omitting = SpaceCopy::default();
    let mut waiting = SpaceCopy::default();
    for copy in [&mut auditor, &mut omitting, &mut waiting] {
        read(copy, &store);
    }
    store.change(0, false);
    omitting.apply_changes(store.feed(1, &HashSet::from([2])));
    audit(&mut auditor, &store);
    let statement = auditor.statement();
    assert_eq!(
        omitting.compare(&statement),
        Some(AuditComparison::Incomplete)
    );
    assert_eq!(waiting.compare(&statement), Some(AuditComparison::Behind));
}

/// An older state of a removed row, from a source that is behind, must not bring the row back.
#[test]
fn a_row_that_an_audit_found_gone_is_not_brought_back_by_a_read_that_is_behind() {
    let mut store = Store::default();
    store.change(0, false);
    store.change(1, false);
    let mut copy = SpaceCopy::default();
    read(&mut copy, &store);
    let behind = store.read();
    store.change(0, true);
    audit(&mut copy, &store);
    let update = copy.apply_snapshot(behind).expect("as new as the copy");
    assert!(update.is_empty(), "{update:?}");
    assert_eq!(outdated(&copy, &store), []);
}

/// Repairs that bring nothing get rarer, and request all rows.
#[test]
fn vain_repairs_request_more_and_get_rarer() {
    let mut state = AuditState::default();
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let scope = |state: &AuditState, ms| {
        let repair = state.repair(AuditComparison::Incomplete, at(ms));
        repair.map(|repair| repair.scope)
    };
    state.note_equal(7, start);
    assert_eq!(scope(&state, 0), Some(RepairScope::ChangesAfter(7)));
    state.note_repaired(true, start);
    assert_eq!(scope(&state, 300), None);
    assert_eq!(scope(&state, 500), Some(RepairScope::AllRows));
    state.note_repaired(true, at(500));
    assert_eq!(scope(&state, 1_200), None);
    assert_eq!(scope(&state, 1_400), Some(RepairScope::AllRows));
}

/// An auditor that lacks a row can't audit it, and is told by those that hold it, unless it gets the row by itself.
#[test]
fn an_auditor_is_told_of_changes_that_it_does_not_announce() {
    let mut state = AuditState::default();
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    assert!(!state.must_tell_auditor(true, start));
    assert!(!state.must_tell_auditor(true, at(900)));
    assert!(!state.must_tell_auditor(false, at(950)));
    assert!(!state.must_tell_auditor(true, at(1_100)));
    assert!(state.must_tell_auditor(true, at(2_100)));
}

fn staying(id: &str) -> Auditor<'_> {
    Auditor {
        id,
        is_leaving: false,
    }
}

/// One member audits; the next one does if it is silent, soon enough for the shortest bound.
#[test]
fn the_next_member_audits_once_the_first_is_silent() {
    let members = ["a", "b", "c", "d"];
    let rank = |own: &str| {
        let others = members.into_iter().filter(|id| *id != own).map(staying);
        audit_rank("replicas", staying(own), others).expect("few members")
    };
    let ranks: HashSet<usize> = members.into_iter().map(rank).collect();
    assert_eq!(ranks, HashSet::from([0, 1, 2, 3]));
    let last = Instant::now();
    let interval = audit_interval(89, 76);
    let due = |rank, ms| is_audit_due(rank, interval, last, last + Duration::from_millis(ms));
    assert!(due(0, 400) && !due(0, 399));
    assert!(due(1, 600) && !due(1, 599));
    assert!(due(3, 1_000) && !due(3, 999));
    assert!(audit_interval(10_000, 985) <= Duration::from_millis(2_000));
}

/// A member that leaves audits only if none of those is left that stay.
#[test]
fn leaving_members_audit_after_all_others() {
    let auditors = ["a", "b", "c", "d"].map(|id| Auditor {
        id,
        is_leaving: id < "c",
    });
    let rank = |own: Auditor<'_>| {
        let others = auditors.into_iter().filter(|one| *one != own);
        audit_rank("replicas", own, others).expect("few members")
    };
    for auditor in auditors {
        assert_eq!(rank(auditor) >= 2, auditor.is_leaving, "{auditor:?}");
    }
}
