//! What a daemon believes only moves forward, whoever tells it.

mod support;

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_edge::{Discovery, ServerControl};
use harrierward_external::{ChangePage, Row, RowChange, SpaceSnapshot};
use harrierward_relay::{SpaceCopy, SpaceUpdate};
use harrierward_serving::{ReplicaSet, SharedRoutes};
use support::{PlainSource, WARMUP};
use tokio::time::Instant;

fn row(key: &str, value: &str, revision: u64) -> Row {
    Row {
        key: key.to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
        revision,
    }
}

fn written(rows: Vec<Row>) -> SpaceUpdate {
    SpaceUpdate {
        written: rows,
        ..SpaceUpdate::default()
    }
}

struct Fixture {
    discovery: Discovery,
    routes: SharedRoutes,
    replicas: Arc<ReplicaSet>,
    log: DecisionLog,
}

impl Fixture {
    fn new() -> Self {
        let routes: SharedRoutes = Arc::new(ArcSwapOption::empty());
        let replicas = Arc::new(ReplicaSet::default());
        let log = DecisionLog::new(LogBounds::default());
        let discovery = Discovery::new(
            Arc::new(PlainSource),
            routes.clone(),
            replicas.clone(),
            Arc::new(ServerControl::default()),
            Arc::default(),
            log.clone(),
        );
        Self {
            discovery,
            routes,
            replicas,
            log,
        }
    }

    fn version(&self) -> Option<u64> {
        let table = self.routes.load_full()?;
        Some(table.configuration.version)
    }

    fn replica_ids(&self) -> Vec<String> {
        let view = self.replicas.view();
        let mut ids: Vec<String> = view.all().map(|one| one.record.id.clone()).collect();
        ids.sort();
        ids
    }
}

#[tokio::test]
async fn a_configuration_never_goes_back() {
    let fixture = Fixture::new();
    let take = |version: &str, revision| {
        let update = written(vec![row("op", version, revision)]);
        fixture.discovery.take_configuration(&update, "test");
    };
    take("7", 10);
    // A late read of an older row, under whatever revision.
    take("5", 11);
    assert_eq!(fixture.version(), Some(7));
    take("9", 12);
    assert_eq!(fixture.version(), Some(9));
}

#[tokio::test]
async fn the_stores_first_word_replaces_a_peers_replicas() {
    let fixture = Fixture::new();
    let configuration = written(vec![row("op", "1", 1)]);
    fixture.discovery.take_configuration(&configuration, "peer");
    let of_peer = [row("gone", "1:1", 3), row("stays", "1:2", 4)];
    fixture.discovery.take_replicas_of_peer(&of_peer);
    assert!(fixture.discovery.is_complete());
    assert_eq!(fixture.replica_ids(), ["gone", "stays"]);

    let of_store = written(vec![row("stays", "1:2", 4), row("new", "1:3", 9)]);
    fixture.discovery.take_replicas(&of_store);
    assert_eq!(fixture.replica_ids(), ["new", "stays"]);

    // A peer's word that comes later changes nothing.
    fixture.discovery.take_replicas_of_peer(&of_peer);
    assert_eq!(fixture.replica_ids(), ["new", "stays"]);
}

fn snapshot(revision: u64, rows: Vec<Row>) -> SpaceSnapshot {
    SpaceSnapshot {
        rows,
        revision,
        store_time_ms: 1,
        proof: None,
    }
}

#[test]
fn a_stale_whole_read_takes_nothing_back() {
    let mut copy = SpaceCopy::default();
    let first = snapshot(10, vec![row("a", "1", 8), row("b", "1", 9)]);
    assert!(copy.take_snapshot(first).is_some());
    let changes = ChangePage {
        changes: vec![RowChange {
            key: "a".to_owned(),
            revision: 12,
            value: None,
        }],
        revision: 12,
        store_time_ms: 2,
        proof: None,
    };
    assert_eq!(copy.take_changes(changes).removed, ["a"]);
    let stale = snapshot(11, vec![row("a", "1", 8), row("b", "1", 9)]);
    assert!(copy.take_snapshot(stale).is_none());
    assert_eq!(copy.revision(), 12);
}

#[test]
fn a_whole_read_brings_what_the_changes_left_out() {
    let mut copy = SpaceCopy::default();
    copy.take_snapshot(snapshot(10, vec![row("a", "1", 8), row("b", "1", 9)]));
    // The store told nothing of revision 11 and went on.
    copy.take_changes(ChangePage {
        changes: Vec::new(),
        revision: 14,
        store_time_ms: 2,
        proof: None,
    });
    let whole = snapshot(15, vec![row("a", "1", 8), row("c", "1", 11)]);
    let update = copy.take_snapshot(whole).expect("the read is newer");
    assert_eq!(update.removed, ["b"]);
    let keys: Vec<&str> = update.written.iter().map(|row| row.key.as_str()).collect();
    assert_eq!(keys, ["c"]);
}

/// A replica that is listed may turn cold again at any moment, also one whose row went and came back.
#[tokio::test]
async fn the_newest_row_tells_whether_a_listed_replica_is_cold() {
    let fixture = Fixture::new();
    let configuration = written(vec![row("op", "1", 1)]);
    let take = |value: &str, revision| {
        let update = written(vec![row("one", value, revision)]);
        fixture.discovery.take_replicas(&update);
    };
    let is_cold = || {
        let view = fixture.replicas.view();
        view.get("one").expect("listed").is_cold(Instant::now())
    };
    take("1:1", 2);
    assert!(!is_cold());
    fixture.discovery.take_configuration(&configuration, "test");
    let view = fixture.replicas.view();
    let replica = view.get("one").expect("listed");
    assert_eq!(replica.service_warmup(), Some(WARMUP));
    take("1:1 6000", 3);
    assert!(is_cold(), "it turned cold");
    take("1:1 0", 4);
    assert!(!is_cold(), "it is warm again");
    fixture.discovery.take_replicas(&SpaceUpdate {
        removed: vec!["one".to_owned()],
        ..SpaceUpdate::default()
    });
    take("1:1 5900", 5);
    assert!(is_cold(), "it came back cold");
    let view = fixture.replicas.view();
    let replica = view.get("one").expect("listed");
    assert_eq!(replica.service_warmup(), Some(WARMUP));
}

/// Each row of a cold replica tells another time, and all daemons see all rows.
#[tokio::test]
async fn the_time_that_a_replica_stays_cold_is_no_line_of_its_own() {
    let fixture = Fixture::new();
    let take = |value: &str, revision| {
        let update = written(vec![row("one", value, revision)]);
        fixture.discovery.take_replicas(&update);
    };
    take("1:1", 2);
    let lines = fixture.log.held_lines();
    take("1:1 6000", 3);
    take("1:1 4800", 4);
    assert_eq!(fixture.log.held_lines(), lines);
    take("1:2 3600", 5);
    assert_eq!(fixture.log.held_lines(), lines + 1, "its address is new");
}

/// A page of a whole read may be newer than the read as a whole, so that the next read may be older than a row in it.
#[tokio::test]
async fn a_read_that_is_older_than_an_evacuation_does_not_end_it() {
    let mut daemon = Evacuated::new();
    daemon.read_all(10, vec![row("op", "1", 5), row(EVACUATION, "", 12)]);
    daemon.read_all(11, vec![row("op", "1", 5)]);
    assert!(daemon.is_evacuated());
    daemon.read_all(13, vec![row("op", "1", 5)]);
    assert!(!daemon.is_evacuated());
}

/// Zones of which daemons keep something.
const MOST_ZONES: usize = 64;

const EVACUATION: &str = "evacuate/zone";

fn change(key: &str, value: Option<&str>, revision: u64) -> RowChange {
    RowChange {
        key: key.to_owned(),
        revision,
        value: value.map(|text| Bytes::copy_from_slice(text.as_bytes())),
    }
}

/// A daemon with one replica, and its copy of the configuration's space.
struct Evacuated {
    fixture: Fixture,
    copy: SpaceCopy,
}

impl Evacuated {
    fn new() -> Self {
        let fixture = Fixture::new();
        let replicas = written(vec![row("replica", "1:1", 3)]);
        fixture.discovery.take_replicas(&replicas);
        Self {
            fixture,
            copy: SpaceCopy::default(),
        }
    }

    fn read_all(&mut self, revision: u64, rows: Vec<Row>) {
        if let Some(update) = self.copy.take_snapshot(snapshot(revision, rows)) {
            self.fixture.discovery.take_configuration(&update, "store");
        }
    }

    fn follow(&mut self, revision: u64, changes: Vec<RowChange>) {
        let update = self.copy.take_changes(ChangePage {
            changes,
            revision,
            store_time_ms: 2,
            proof: None,
        });
        self.fixture.discovery.take_configuration(&update, "store");
    }

    fn hear(&self, peer: &Evacuated) {
        let news = peer.fixture.discovery.evacuations();
        self.fixture.discovery.take_evacuations(&news, "peer");
    }

    fn is_evacuated(&self) -> bool {
        let view = self.fixture.replicas.view();
        view.all().all(|replica| replica.is_zone_evacuated())
    }

    /// A figure on the metrics; `None` if it is not there.
    fn figure(&self, name: &str) -> Option<String> {
        let text = String::from_utf8(self.fixture.log.metrics_text()).ok()?;
        let mut lines = text.lines().filter_map(|line| line.strip_prefix(name));
        lines.next().map(|value| value.trim().to_owned())
    }
}

#[tokio::test]
async fn an_evacuation_holds_through_stale_reads_and_lost_history_until_its_row_is_gone() {
    let mut daemon = Evacuated::new();
    daemon.read_all(10, vec![row("op", "1", 5)]);
    daemon.follow(12, vec![change(EVACUATION, Some(""), 12)]);
    assert!(daemon.is_evacuated());
    // A read from before, after the history was lost.
    daemon.read_all(11, vec![row("op", "1", 5)]);
    assert!(daemon.is_evacuated());
    daemon.read_all(14, vec![row("op", "1", 5), row(EVACUATION, "", 12)]);
    assert!(daemon.is_evacuated());
    assert!(daemon.fixture.discovery.zone_returned_at("zone").is_none());
    daemon.read_all(20, vec![row("op", "1", 5)]);
    assert!(!daemon.is_evacuated());
    assert!(daemon.fixture.discovery.zone_returned_at("zone").is_some());
}

#[tokio::test]
async fn a_row_that_goes_and_comes_back_within_one_page_is_there() {
    let mut daemon = Evacuated::new();
    daemon.read_all(10, vec![row(EVACUATION, "", 9)]);
    let changes = vec![
        change(EVACUATION, None, 11),
        change(EVACUATION, Some(""), 12),
    ];
    daemon.follow(12, changes);
    assert!(daemon.is_evacuated());
    let changes = vec![
        change(EVACUATION, Some(""), 13),
        change(EVACUATION, None, 14),
    ];
    daemon.follow(14, changes);
    assert!(!daemon.is_evacuated());
}

#[tokio::test]
async fn peers_tell_of_evacuations_and_their_end_and_an_older_word_undoes_neither() {
    let (mut served, mut frozen, away) = (Evacuated::new(), Evacuated::new(), Evacuated::new());
    served.read_all(10, vec![row(EVACUATION, "", 9)]);
    frozen.read_all(10, vec![row(EVACUATION, "", 9)]);
    away.hear(&served);
    assert!(away.is_evacuated());
    served.follow(12, vec![change(EVACUATION, None, 12)]);
    away.hear(&served);
    away.hear(&frozen);
    assert!(!away.is_evacuated());
    served.follow(15, vec![change(EVACUATION, Some(""), 15)]);
    away.hear(&served);
    assert!(away.is_evacuated());
    // One that started in between has read that the old row is not there.
    let mut young = Evacuated::new();
    young.read_all(13, Vec::new());
    young.hear(&frozen);
    assert!(!young.is_evacuated());
    // Whoever hears of it from that one knows as much.
    let starting = Evacuated::new();
    starting.hear(&young);
    starting.hear(&frozen);
    assert!(!starting.is_evacuated());
}

#[tokio::test]
async fn operators_see_each_zone_and_a_name_that_is_none_moves_nothing() {
    let mut daemon = Evacuated::new();
    daemon.read_all(10, vec![row("evacuate/nowhere", "", 9)]);
    assert!(!daemon.is_evacuated());
    let of = |zone: &str| format!("harrierward_zone_evacuated{{zone=\"{zone}\"}}");
    assert_eq!(daemon.figure(&of("nowhere")).as_deref(), Some("1"));
    daemon.follow(12, vec![change(EVACUATION, Some(""), 12)]);
    assert_eq!(daemon.figure(&of("zone")).as_deref(), Some("1"));
    daemon.follow(13, vec![change(EVACUATION, None, 13)]);
    assert_eq!(daemon.figure(&of("zone")).as_deref(), Some("0"));
}

/// So many rows with made-up names leave no room for a further zone, which must not stay unsaid.
#[tokio::test]
async fn operators_see_a_row_that_found_no_room() {
    let mut daemon = Evacuated::new();
    let made_up = (0..MOST_ZONES).map(|number| row(&format!("evacuate/z{number}"), "", 9));
    daemon.read_all(10, made_up.collect());
    let lines = daemon.fixture.log.held_lines();
    daemon.follow(12, vec![change(EVACUATION, Some(""), 12)]);
    assert!(!daemon.is_evacuated());
    assert_eq!(daemon.fixture.log.held_lines(), lines + 1);
    // Its zone is taken out of service as soon as there is room and all rows are read again.
    daemon.follow(13, vec![change("evacuate/z0", None, 13)]);
    let mut rows: Vec<Row> = (1..MOST_ZONES)
        .map(|number| row(&format!("evacuate/z{number}"), "", 9))
        .collect();
    rows.push(row(EVACUATION, "", 12));
    daemon.read_all(14, rows);
    assert!(daemon.is_evacuated());
}

#[tokio::test(start_paused = true)]
async fn operators_see_what_still_runs_in_an_evacuated_zone() {
    let mut daemon = Evacuated::new();
    daemon.read_all(10, vec![row(EVACUATION, "", 9)]);
    let view = daemon.fixture.replicas.view();
    let replica = view.get("replica").expect("the replica");
    let running = replica.enter(harrierward_serving::WorkClass::Online, None);
    let name = "harrierward_evacuated_zone_requests{zone=\"zone\"}";
    let discovery = Arc::new(daemon.fixture.discovery);
    let log = daemon.fixture.log.clone();
    let figure = || {
        let text = String::from_utf8(log.metrics_text()).expect("text");
        let mut lines = text.lines().filter_map(|line| line.strip_prefix(name));
        lines.next().map(|value| value.trim().to_owned())
    };
    let watching = tokio::spawn(discovery.watch_evacuated());
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(figure().as_deref(), Some("1"));
    drop(running);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(figure().as_deref(), Some("0"));
    watching.abort();
}
