//! Guards against evacuation states that depend on the order of updates from the store and from peers.

use std::collections::BTreeMap;

use harrierward_serving::{EvacuatedZones, EvacuationRows, EvacuationState, EvacuationUpdate};
use proptest::prelude::*;
use tokio::time::Instant;

const ZONES: [&str; 3] = ["a", "b", "c"];

/// Change of a zone's row; a removal if not `is_written`.
#[derive(Debug, Clone)]
struct Change {
    zone: usize,
    revision: u64,
    is_written: bool,
}

/// Model of the store: all changes so far.
#[derive(Default)]
struct Store {
    changes: Vec<Change>,
    revision: u64,
}

impl Store {
    fn toggle(&mut self, zone: usize) {
        self.revision += 1;
        let is_written = !self.rows().contains_key(&zone);
        self.changes.push(Change {
            zone,
            revision: self.revision,
            is_written,
        });
    }

    fn rows(&self) -> BTreeMap<usize, u64> {
        let mut rows = BTreeMap::new();
        for change in &self.changes {
            if change.is_written {
                rows.insert(change.zone, change.revision);
            } else {
                rows.remove(&change.zone);
            }
        }
        rows
    }
}

/// State under test, or a faulty implementation in which the last update wins.
trait MergedState: Default {
    fn merge(&mut self, update: &EvacuationUpdate);
    fn to_update(&self) -> EvacuationUpdate;
}

impl MergedState for EvacuatedZones {
    fn merge(&mut self, update: &EvacuationUpdate) {
        Self::merge(self, update, Instant::now());
    }

    fn to_update(&self) -> EvacuationUpdate {
        Self::to_update(self)
    }
}

#[derive(Default)]
struct LastUpdateWins(EvacuationUpdate);

impl MergedState for LastUpdateWins {
    fn merge(&mut self, update: &EvacuationUpdate) {
        if update.complete_at > 0 {
            self.0 = update.clone();
        } else {
            self.0.zones.extend(update.zones.clone());
        }
    }

    fn to_update(&self) -> EvacuationUpdate {
        self.0.clone()
    }
}

#[derive(Default)]
struct Daemon<S> {
    state: S,
    rows: EvacuationRows,
    listed: BTreeMap<usize, u64>,
    /// Revision up to which the rows were read or the change feed was followed.
    followed_to: u64,
    /// Delayed updates from peers.
    delayed: Vec<EvacuationUpdate>,
}

impl<S: MergedState> Daemon<S> {
    fn read_all(&mut self, store: &Store) {
        let rows = store.rows();
        let removed: Vec<String> = self
            .listed
            .keys()
            .filter(|zone| !rows.contains_key(zone))
            .map(|zone| ZONES[*zone].to_owned())
            .collect();
        let written = rows
            .iter()
            .filter(|(zone, revision)| self.listed.get(*zone) != Some(revision))
            .map(|(zone, revision)| (ZONES[*zone].to_owned(), *revision))
            .collect();
        let update = self.rows.apply(written, &removed, Some(store.revision));
        self.listed = rows;
        self.followed_to = store.revision;
        self.state.merge(&update);
    }

    /// Follows the change feed; a leaky one skips every other change.
    fn follow(&mut self, store: &Store, is_leaky: bool) {
        let after = self.followed_to;
        let new = store
            .changes
            .iter()
            .filter(|change| change.revision > after);
        for change in new.filter(|change| !is_leaky || change.revision % 2 == 0) {
            let zone = ZONES[change.zone].to_owned();
            let update = if change.is_written {
                self.listed.insert(change.zone, change.revision);
                self.rows.apply(vec![(zone, change.revision)], &[], None)
            } else {
                self.listed.remove(&change.zone);
                self.rows.apply(Vec::new(), &[zone], None)
            };
            self.state.merge(&update);
        }
        self.followed_to = store.revision;
    }
}

#[derive(Debug, Clone)]
enum Step {
    Toggle(usize),
    ReadAll(usize),
    Follow(usize, bool),
    /// Sends the state of one daemon to another.
    Send(usize, usize),
    /// Delivers one of the delayed updates.
    Deliver(usize, usize),
    Restart(usize),
}

const DAEMONS: usize = 3;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..ZONES.len()).prop_map(Step::Toggle),
        1 => (0..DAEMONS).prop_map(Step::ReadAll),
        3 => (0..DAEMONS, any::<bool>()).prop_map(|(daemon, leaky)| Step::Follow(daemon, leaky)),
        4 => (0..DAEMONS, 0..DAEMONS).prop_map(|(from, to)| Step::Send(from, to)),
        4 => (0..DAEMONS, 0..8_usize).prop_map(|(daemon, which)| Step::Deliver(daemon, which)),
        1 => (0..DAEMONS).prop_map(Step::Restart),
    ]
}

fn evacuated(update: &EvacuationUpdate) -> Vec<&str> {
    let zones = update.zones.iter();
    let evacuated = zones.filter(|(_, state)| !state.is_over);
    evacuated.map(|(zone, _)| zone.as_str()).collect()
}

/// Runs the steps; returns the first violation as an error.
fn run<S: MergedState>(steps: &[Step]) -> Result<(), String> {
    let mut store = Store::default();
    store.toggle(0);
    let mut daemons: Vec<Daemon<S>> = (0..DAEMONS).map(|_| Daemon::default()).collect();
    for step in steps {
        let before: Vec<EvacuationUpdate> =
            daemons.iter().map(|one| one.state.to_update()).collect();
        let mut restarted = None;
        match step {
            Step::Toggle(zone) => store.toggle(*zone),
            Step::ReadAll(daemon) => daemons[*daemon].read_all(&store),
            Step::Follow(daemon, is_leaky) => daemons[*daemon].follow(&store, *is_leaky),
            Step::Send(from, to) => {
                let update = daemons[*from].state.to_update();
                daemons[*to].delayed.push(update);
            }
            Step::Deliver(daemon, which) => {
                let daemon = &mut daemons[*daemon];
                if !daemon.delayed.is_empty() {
                    let update = daemon.delayed[which % daemon.delayed.len()].clone();
                    daemon.state.merge(&update);
                }
            }
            Step::Restart(daemon) => {
                daemons[*daemon] = Daemon::default();
                restarted = Some(*daemon);
            }
        }
        for (number, daemon) in daemons.iter().enumerate() {
            if restarted != Some(number) {
                check_monotonic(&before[number], &daemon.state.to_update())?;
            }
            check_complete(&store, &daemon.state.to_update())?;
        }
    }
    daemons[0].read_all(&store);
    let update = daemons[0].state.to_update();
    let rows = store.rows();
    let expected: Vec<&str> = rows.keys().map(|zone| ZONES[*zone]).collect();
    for daemon in &mut daemons {
        daemon.state.merge(&update);
        let stale = std::mem::take(&mut daemon.delayed);
        stale.iter().for_each(|update| daemon.state.merge(update));
        let update = daemon.state.to_update();
        if evacuated(&update) != expected {
            return Err(format!("{update:?} where {expected:?} are evacuated"));
        }
    }
    Ok(())
}

fn check_monotonic(before: &EvacuationUpdate, after: &EvacuationUpdate) -> Result<(), String> {
    for (zone, state) in &before.zones {
        if after.zones.get(zone).is_none_or(|now| now < state) {
            return Err(format!("{zone} went back: {before:?} to {after:?}"));
        }
    }
    Ok(())
}

/// Checks that a state with `complete_at` includes all changes up to that revision.
fn check_complete(store: &Store, update: &EvacuationUpdate) -> Result<(), String> {
    let mut rows = BTreeMap::new();
    let known = store.changes.iter();
    for change in known.filter(|change| change.revision <= update.complete_at) {
        rows.insert(change.zone, change);
    }
    for change in rows.values().filter(|change| change.is_written) {
        let state = update.zones.get(ZONES[change.zone]);
        if state.is_none_or(|state| state.revision < change.revision) {
            return Err(format!("{update:?} misses {change:?}"));
        }
    }
    for (zone, state) in &update.zones {
        let older = !state.is_over && state.revision <= update.complete_at;
        let is_in_force = rows.iter().any(|(number, change)| {
            ZONES[*number] == zone && change.is_written && change.revision == state.revision
        });
        if older && !is_in_force {
            return Err(format!(
                "{zone} is over at {}: {update:?}",
                update.complete_at
            ));
        }
    }
    Ok(())
}

proptest! {
    #[test]
    fn updates_in_any_order_never_revert_a_zone_and_converge(
        steps in prop::collection::vec(step(), 0..40)
    ) {
        let outcome = run::<EvacuatedZones>(&steps);
        prop_assert!(outcome.is_ok(), "{outcome:?}");
    }
}

/// A peer that stalled during an evacuation must not revive it; the faulty implementation fails this check.
#[test]
fn the_check_detects_a_merge_in_which_the_last_update_wins() {
    let steps = [
        Step::ReadAll(1),
        Step::Send(1, 0),
        Step::Toggle(0),
        Step::ReadAll(0),
        Step::Deliver(0, 0),
    ];
    assert_eq!(run::<EvacuatedZones>(&steps), Ok(()));
    assert!(run::<LastUpdateWins>(&steps).is_err());
}

fn update(complete_at: u64, zones: &[(&str, u64, bool)]) -> EvacuationUpdate {
    let states = zones.iter().map(|(zone, revision, is_over)| {
        let state = EvacuationState {
            revision: *revision,
            is_over: *is_over,
        };
        ((*zone).to_owned(), state)
    });
    EvacuationUpdate {
        complete_at,
        zones: states.collect(),
    }
}

#[test]
fn a_zone_that_returns_has_a_return_time_and_may_be_evacuated_again() {
    let now = Instant::now();
    let mut zones = EvacuatedZones::default();
    assert_eq!(zones.returned_at("a"), None);
    let changes = zones.merge(&update(0, &[("a", 5, false)]), now);
    assert!(changes[0].is_evacuated && zones.is_evacuated("a"));
    assert_eq!(zones.returned_at("a"), None);
    let changes = zones.merge(&update(0, &[("a", 5, true)]), now);
    assert!(!changes[0].is_evacuated && !zones.is_evacuated("a"));
    assert_eq!(zones.returned_at("a"), Some(now));
    assert!(zones.merge(&update(0, &[("a", 5, false)]), now).is_empty());
    assert_eq!(zones.merge(&update(0, &[("a", 9, false)]), now).len(), 1);
    assert!(zones.is_evacuated("a"));
}

#[test]
fn the_number_of_tracked_zones_is_bounded() {
    let mut zones = EvacuatedZones::default();
    for revision in 1..1_000 {
        let zone = format!("z{revision}");
        zones.merge(&update(0, &[(&zone, revision, false)]), Instant::now());
        zones.merge(&update(0, &[(&zone, revision, true)]), Instant::now());
    }
    zones.merge(&update(0, &[("a", 2_000, false)]), Instant::now());
    assert!(zones.is_evacuated("a"));
    assert!(zones.to_update().zones.len() <= 64);
}
