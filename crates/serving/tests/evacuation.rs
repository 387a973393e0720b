//! Evacuated zones, as daemons learn of them from the store and from each other.

use std::collections::BTreeMap;

use harrierward_serving::{EvacuatedZones, EvacuationRows, EvacuationState, EvacuationUpdate};
use proptest::prelude::*;
use tokio::time::Instant;

const ZONES: [&str; 3] = ["a", "b", "c"];

/// One change in the store; `None` takes the row away.
#[derive(Debug, Clone)]
struct Change {
    zone: usize,
    revision: u64,
    is_written: bool,
}

/// The store: all changes so far.
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

/// What a daemon believes: the real thing, or one that believes whoever spoke last.
trait Belief: Default {
    fn merge(&mut self, news: &EvacuationUpdate);
    fn news(&self) -> EvacuationUpdate;
}

impl Belief for EvacuatedZones {
    fn merge(&mut self, news: &EvacuationUpdate) {
        Self::merge(self, news, Instant::now());
    }

    fn news(&self) -> EvacuationUpdate {
        Self::to_update(self)
    }
}

#[derive(Default)]
struct LastWordWins(EvacuationUpdate);

impl Belief for LastWordWins {
    fn merge(&mut self, news: &EvacuationUpdate) {
        if news.complete_at > 0 {
            self.0 = news.clone();
        } else {
            self.0.zones.extend(news.zones.clone());
        }
    }

    fn news(&self) -> EvacuationUpdate {
        self.0.clone()
    }
}

#[derive(Default)]
struct Daemon<B> {
    belief: B,
    rows: EvacuationRows,
    listed: BTreeMap<usize, u64>,
    fed_to: u64,
    /// Words of peers on the way.
    late: Vec<EvacuationUpdate>,
}

impl<B: Belief> Daemon<B> {
    fn read_all(&mut self, store: &Store) {
        let rows = store.rows();
        let gone: Vec<String> = self
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
        let news = self.rows.apply(written, &gone, Some(store.revision));
        self.listed = rows;
        self.fed_to = store.revision;
        self.belief.merge(&news);
    }

    /// Follows the feed, which may leave out every other change.
    fn follow(&mut self, store: &Store, is_leaky: bool) {
        let after = self.fed_to;
        let new = store
            .changes
            .iter()
            .filter(|change| change.revision > after);
        for change in new.filter(|change| !is_leaky || change.revision % 2 == 0) {
            let zone = ZONES[change.zone].to_owned();
            let news = if change.is_written {
                self.listed.insert(change.zone, change.revision);
                self.rows.apply(vec![(zone, change.revision)], &[], None)
            } else {
                self.listed.remove(&change.zone);
                self.rows.apply(Vec::new(), &[zone], None)
            };
            self.belief.merge(&news);
        }
        self.fed_to = store.revision;
    }
}

#[derive(Debug, Clone)]
enum Step {
    Toggle(usize),
    ReadAll(usize),
    Follow(usize, bool),
    /// A daemon's word sets out for another one.
    Tell(usize, usize),
    /// A word that is on the way arrives; which one.
    Hear(usize, usize),
    Restart(usize),
}

const DAEMONS: usize = 3;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..ZONES.len()).prop_map(Step::Toggle),
        1 => (0..DAEMONS).prop_map(Step::ReadAll),
        3 => (0..DAEMONS, any::<bool>()).prop_map(|(daemon, leaky)| Step::Follow(daemon, leaky)),
        4 => (0..DAEMONS, 0..DAEMONS).prop_map(|(from, to)| Step::Tell(from, to)),
        4 => (0..DAEMONS, 0..8_usize).prop_map(|(daemon, which)| Step::Hear(daemon, which)),
        1 => (0..DAEMONS).prop_map(Step::Restart),
    ]
}

fn evacuated(news: &EvacuationUpdate) -> Vec<&str> {
    let zones = news.zones.iter();
    let standing = zones.filter(|(_, mark)| !mark.is_over);
    standing.map(|(zone, _)| zone.as_str()).collect()
}

/// What is wrong with a run; `Ok` if nothing is.
fn play<B: Belief>(steps: &[Step]) -> Result<(), String> {
    let mut store = Store::default();
    store.toggle(0);
    let mut daemons: Vec<Daemon<B>> = (0..DAEMONS).map(|_| Daemon::default()).collect();
    for step in steps {
        let before: Vec<EvacuationUpdate> = daemons.iter().map(|one| one.belief.news()).collect();
        let mut restarted = None;
        match step {
            Step::Toggle(zone) => store.toggle(*zone),
            Step::ReadAll(daemon) => daemons[*daemon].read_all(&store),
            Step::Follow(daemon, is_leaky) => daemons[*daemon].follow(&store, *is_leaky),
            Step::Tell(from, to) => {
                let word = daemons[*from].belief.news();
                daemons[*to].late.push(word);
            }
            Step::Hear(daemon, which) => {
                let daemon = &mut daemons[*daemon];
                if !daemon.late.is_empty() {
                    let word = daemon.late[which % daemon.late.len()].clone();
                    daemon.belief.merge(&word);
                }
            }
            Step::Restart(daemon) => {
                daemons[*daemon] = Daemon::default();
                restarted = Some(*daemon);
            }
        }
        for (number, daemon) in daemons.iter().enumerate() {
            if restarted != Some(number) {
                check_forward(&before[number], &daemon.belief.news())?;
            }
            check_complete(&store, &daemon.belief.news())?;
        }
    }
    daemons[0].read_all(&store);
    let word = daemons[0].belief.news();
    let rows = store.rows();
    let truth: Vec<&str> = rows.keys().map(|zone| ZONES[*zone]).collect();
    for daemon in &mut daemons {
        daemon.belief.merge(&word);
        let stale = std::mem::take(&mut daemon.late);
        stale.iter().for_each(|word| daemon.belief.merge(word));
        let news = daemon.belief.news();
        if evacuated(&news) != truth {
            return Err(format!("{news:?} where {truth:?} are evacuated"));
        }
    }
    Ok(())
}

fn check_forward(before: &EvacuationUpdate, after: &EvacuationUpdate) -> Result<(), String> {
    for (zone, mark) in &before.zones {
        if after.zones.get(zone).is_none_or(|now| now < mark) {
            return Err(format!("{zone} went back: {before:?} to {after:?}"));
        }
    }
    Ok(())
}

/// Whoever says that it knows all up to a revision does.
fn check_complete(store: &Store, news: &EvacuationUpdate) -> Result<(), String> {
    let mut then = BTreeMap::new();
    let known = store.changes.iter();
    for change in known.filter(|change| change.revision <= news.complete_at) {
        then.insert(change.zone, change);
    }
    for change in then.values().filter(|change| change.is_written) {
        let mark = news.zones.get(ZONES[change.zone]);
        if mark.is_none_or(|mark| mark.revision < change.revision) {
            return Err(format!("{news:?} misses {change:?}"));
        }
    }
    for (zone, mark) in &news.zones {
        let older = !mark.is_over && mark.revision <= news.complete_at;
        let stands = then.iter().any(|(number, change)| {
            ZONES[*number] == zone && change.is_written && change.revision == mark.revision
        });
        if older && !stands {
            return Err(format!("{zone} is over at {}: {news:?}", news.complete_at));
        }
    }
    Ok(())
}

proptest! {
    #[test]
    fn whatever_order_news_comes_in_nothing_goes_back_and_all_end_at_the_truth(
        steps in prop::collection::vec(step(), 0..40)
    ) {
        let outcome = play::<EvacuatedZones>(&steps);
        prop_assert!(outcome.is_ok(), "{outcome:?}");
    }
}

/// A peer that froze while a zone was evacuated tells of it after the end.
#[test]
fn the_check_finds_out_a_daemon_that_believes_whoever_spoke_last() {
    let steps = [
        Step::ReadAll(1),
        Step::Tell(1, 0),
        Step::Toggle(0),
        Step::ReadAll(0),
        Step::Hear(0, 0),
    ];
    assert_eq!(play::<EvacuatedZones>(&steps), Ok(()));
    assert!(play::<LastWordWins>(&steps).is_err());
}

fn news(complete_at: u64, zones: &[(&str, u64, bool)]) -> EvacuationUpdate {
    let marks = zones.iter().map(|(zone, revision, is_over)| {
        let mark = EvacuationState {
            revision: *revision,
            is_over: *is_over,
        };
        ((*zone).to_owned(), mark)
    });
    EvacuationUpdate {
        complete_at,
        zones: marks.collect(),
    }
}

#[test]
fn a_zone_that_comes_back_says_since_when_and_may_be_evacuated_again() {
    let now = Instant::now();
    let mut zones = EvacuatedZones::default();
    assert_eq!(zones.returned_at("a"), None);
    let changes = zones.merge(&news(0, &[("a", 5, false)]), now);
    assert!(changes[0].is_evacuated && zones.is_evacuated("a"));
    assert_eq!(zones.returned_at("a"), None);
    let changes = zones.merge(&news(0, &[("a", 5, true)]), now);
    assert!(!changes[0].is_evacuated && !zones.is_evacuated("a"));
    assert_eq!(zones.returned_at("a"), Some(now));
    assert!(zones.merge(&news(0, &[("a", 5, false)]), now).is_empty());
    assert_eq!(zones.merge(&news(0, &[("a", 9, false)]), now).len(), 1);
    assert!(zones.is_evacuated("a"));
}

#[test]
fn made_up_names_do_not_pile_up() {
    let mut zones = EvacuatedZones::default();
    for revision in 1..1_000 {
        let zone = format!("z{revision}");
        zones.merge(&news(0, &[(&zone, revision, false)]), Instant::now());
        zones.merge(&news(0, &[(&zone, revision, true)]), Instant::now());
    }
    zones.merge(&news(0, &[("a", 2_000, false)]), Instant::now());
    assert!(zones.is_evacuated("a"));
    assert!(zones.news().zones.len() <= 64);
}
