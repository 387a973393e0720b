//! Guards against older configurations, replicas and evacuations replacing newer ones.

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
async fn an_older_configuration_is_ignored() {
    let fixture = Fixture::new();
    let apply = |version: &str, revision| {
        let update = written(vec![row("op", version, revision)]);
        fixture.discovery.apply_configuration(&update, "test");
    };
    apply("7", 10);
    // A late read of an older configuration, at a higher revision.
    apply("5", 11);
    assert_eq!(fixture.version(), Some(7));
    apply("9", 12);
    assert_eq!(fixture.version(), Some(9));
}

#[tokio::test]
async fn the_first_read_of_the_store_replaces_replicas_from_a_peer() {
    let fixture = Fixture::new();
    let configuration = written(vec![row("op", "1", 1)]);
    fixture
        .discovery
        .apply_configuration(&configuration, "peer");
    let from_peer = [row("gone", "1:1", 3), row("stays", "1:2", 4)];
    fixture.discovery.apply_peer_replicas(&from_peer);
    assert!(fixture.discovery.is_complete());
    assert_eq!(fixture.replica_ids(), ["gone", "stays"]);

    let from_store = written(vec![row("stays", "1:2", 4), row("new", "1:3", 9)]);
    fixture.discovery.apply_replicas(&from_store);
    assert_eq!(fixture.replica_ids(), ["new", "stays"]);

    // Later rows of a peer change nothing.
    fixture.discovery.apply_peer_replicas(&from_peer);
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
fn a_stale_full_read_reverts_nothing() {
    let mut copy = SpaceCopy::default();
    let first = snapshot(10, vec![row("a", "1", 8), row("b", "1", 9)]);
    assert!(copy.apply_snapshot(first).is_some());
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
    assert_eq!(copy.apply_changes(changes).removed, ["a"]);
    let stale = snapshot(11, vec![row("a", "1", 8), row("b", "1", 9)]);
    assert!(copy.apply_snapshot(stale).is_none());
    assert_eq!(copy.revision(), 12);
}

#[tokio::test]
async fn a_replica_that_is_removed_within_the_page_that_lists_it_is_not_listed() {
    let fixture = Fixture::new();
    let mut copy = SpaceCopy::default();
    let first = snapshot(10, vec![row("stays", "1:1", 8)]);
    let first = copy.apply_snapshot(first).expect("the first read");
    fixture.discovery.apply_replicas(&first);
    let page = ChangePage {
        changes: vec![
            change("left", Some("1:2"), 11),
            change("again", Some("1:3"), 12),
            change("left", None, 13),
            change("again", None, 14),
            change("again", Some("1:4"), 15),
        ],
        revision: 15,
        store_time_ms: 2,
        proof: None,
    };
    fixture.discovery.apply_replicas(&copy.apply_changes(page));
    assert_eq!(fixture.replica_ids(), ["again", "stays"]);
}

#[test]
fn a_full_read_recovers_changes_that_the_feed_skipped() {
    let mut copy = SpaceCopy::default();
    copy.apply_snapshot(snapshot(10, vec![row("a", "1", 8), row("b", "1", 9)]));
    // The store's feed skipped revision 11.
    copy.apply_changes(ChangePage {
        changes: Vec::new(),
        revision: 14,
        store_time_ms: 2,
        proof: None,
    });
    let full_read = snapshot(15, vec![row("a", "1", 8), row("c", "1", 11)]);
    let update = copy.apply_snapshot(full_read).expect("the read is newer");
    assert_eq!(update.removed, ["b"]);
    let keys: Vec<&str> = update.written.iter().map(|row| row.key.as_str()).collect();
    assert_eq!(keys, ["c"]);
}

/// A listed replica may turn cold at any time, also when its row was removed and written again.
#[tokio::test]
async fn the_newest_row_decides_whether_a_listed_replica_is_cold() {
    let fixture = Fixture::new();
    let configuration = written(vec![row("op", "1", 1)]);
    let apply = |value: &str, revision| {
        let update = written(vec![row("one", value, revision)]);
        fixture.discovery.apply_replicas(&update);
    };
    let is_cold = || {
        let view = fixture.replicas.view();
        view.get("one").expect("listed").is_cold(Instant::now())
    };
    apply("1:1", 2);
    assert!(!is_cold());
    fixture
        .discovery
        .apply_configuration(&configuration, "test");
    let view = fixture.replicas.view();
    let replica = view.get("one").expect("listed");
    assert_eq!(replica.service_warmup(), Some(WARMUP));
    apply("1:1 6000", 3);
    assert!(is_cold(), "it turned cold");
    apply("1:1 0", 4);
    assert!(!is_cold(), "it is warm again");
    fixture.discovery.apply_replicas(&SpaceUpdate {
        removed: vec!["one".to_owned()],
        ..SpaceUpdate::default()
    });
    apply("1:1 5900", 5);
    assert!(is_cold(), "it came back cold");
    let view = fixture.replicas.view();
    let replica = view.get("one").expect("listed");
    assert_eq!(replica.service_warmup(), Some(WARMUP));
}

/// Guards against a log line for each row of a cold replica, whose remaining warmup differs in each.
#[tokio::test]
async fn a_change_of_the_warmup_time_alone_is_not_logged() {
    let fixture = Fixture::new();
    let apply = |value: &str, revision| {
        let update = written(vec![row("one", value, revision)]);
        fixture.discovery.apply_replicas(&update);
    };
    apply("1:1", 2);
    let lines = fixture.log.queued_lines();
    apply("1:1 6000", 3);
    apply("1:1 4800", 4);
    assert_eq!(fixture.log.queued_lines(), lines);
    apply("1:2 3600", 5);
    assert_eq!(fixture.log.queued_lines(), lines + 1, "its address is new");
}

/// A page of a full read may be newer than the read's revision, so that the next read may be older than a row in it.
#[tokio::test]
async fn a_read_that_is_older_than_an_evacuation_does_not_end_it() {
    let mut daemon = EvacuationFixture::new();
    daemon.read_all(10, vec![row("op", "1", 5), row(EVACUATION, "", 12)]);
    daemon.read_all(11, vec![row("op", "1", 5)]);
    assert!(daemon.is_evacuated());
    daemon.read_all(13, vec![row("op", "1", 5)]);
    assert!(!daemon.is_evacuated());
}

/// Maximum number of zones whose evacuations a daemon keeps.
const MAX_ZONES: usize = 64;

const EVACUATION: &str = "evacuate/zone";

fn change(key: &str, value: Option<&str>, revision: u64) -> RowChange {
    RowChange {
        key: key.to_owned(),
        revision,
        value: value.map(|text| Bytes::copy_from_slice(text.as_bytes())),
    }
}

/// A daemon with one replica and a copy of the configuration's space.
struct EvacuationFixture {
    fixture: Fixture,
    copy: SpaceCopy,
}

impl EvacuationFixture {
    fn new() -> Self {
        let fixture = Fixture::new();
        let replicas = written(vec![row("replica", "1:1", 3)]);
        fixture.discovery.apply_replicas(&replicas);
        Self {
            fixture,
            copy: SpaceCopy::default(),
        }
    }

    fn read_all(&mut self, revision: u64, rows: Vec<Row>) {
        if let Some(update) = self.copy.apply_snapshot(snapshot(revision, rows)) {
            self.fixture.discovery.apply_configuration(&update, "store");
        }
    }

    fn follow(&mut self, revision: u64, changes: Vec<RowChange>) {
        let update = self.copy.apply_changes(ChangePage {
            changes,
            revision,
            store_time_ms: 2,
            proof: None,
        });
        self.fixture.discovery.apply_configuration(&update, "store");
    }

    fn receive_from(&self, peer: &EvacuationFixture) {
        let evacuations = peer.fixture.discovery.evacuations();
        self.fixture
            .discovery
            .merge_evacuations(&evacuations, "peer");
    }

    fn is_evacuated(&self) -> bool {
        let view = self.fixture.replicas.view();
        view.all().all(|replica| replica.is_zone_evacuated())
    }

    /// Returns the value of a metric; `None` if it is absent.
    fn metric(&self, name: &str) -> Option<String> {
        let text = String::from_utf8(self.fixture.log.metrics_text()).ok()?;
        let mut lines = text.lines().filter_map(|line| line.strip_prefix(name));
        lines.next().map(|value| value.trim().to_owned())
    }
}

#[tokio::test]
async fn an_evacuation_survives_stale_reads_and_lost_history_until_its_row_is_removed() {
    let mut daemon = EvacuationFixture::new();
    daemon.read_all(10, vec![row("op", "1", 5)]);
    daemon.follow(12, vec![change(EVACUATION, Some(""), 12)]);
    assert!(daemon.is_evacuated());
    // A read older than the evacuation, after the feed's history was lost.
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
async fn the_last_change_of_a_row_within_one_page_is_applied() {
    let mut daemon = EvacuationFixture::new();
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
async fn evacuations_and_their_ends_from_peers_are_not_reverted_by_older_updates() {
    let (mut attached, mut stale, cut_off) = (
        EvacuationFixture::new(),
        EvacuationFixture::new(),
        EvacuationFixture::new(),
    );
    attached.read_all(10, vec![row(EVACUATION, "", 9)]);
    stale.read_all(10, vec![row(EVACUATION, "", 9)]);
    cut_off.receive_from(&attached);
    assert!(cut_off.is_evacuated());
    attached.follow(12, vec![change(EVACUATION, None, 12)]);
    cut_off.receive_from(&attached);
    cut_off.receive_from(&stale);
    assert!(!cut_off.is_evacuated());
    attached.follow(15, vec![change(EVACUATION, Some(""), 15)]);
    cut_off.receive_from(&attached);
    assert!(cut_off.is_evacuated());
    // This daemon has read the store after the old row was removed.
    let mut new_daemon = EvacuationFixture::new();
    new_daemon.read_all(13, Vec::new());
    new_daemon.receive_from(&stale);
    assert!(!new_daemon.is_evacuated());
    // A daemon that merges its update has the same information.
    let starting = EvacuationFixture::new();
    starting.receive_from(&new_daemon);
    starting.receive_from(&stale);
    assert!(!starting.is_evacuated());
}

#[tokio::test]
async fn the_metrics_list_each_evacuated_zone_and_unknown_zones_have_no_effect() {
    let mut daemon = EvacuationFixture::new();
    daemon.read_all(10, vec![row("evacuate/nowhere", "", 9)]);
    assert!(!daemon.is_evacuated());
    let metric_name = |zone: &str| format!("harrierward_zone_evacuated{{zone=\"{zone}\"}}");
    assert_eq!(daemon.metric(&metric_name("nowhere")).as_deref(), Some("1"));
    daemon.follow(12, vec![change(EVACUATION, Some(""), 12)]);
    assert_eq!(daemon.metric(&metric_name("zone")).as_deref(), Some("1"));
    daemon.follow(13, vec![change(EVACUATION, None, 13)]);
    assert_eq!(daemon.metric(&metric_name("zone")).as_deref(), Some("0"));
}

/// Guards against an evacuation that is ignored without a log line because the zone limit is reached.
#[tokio::test]
async fn an_evacuation_beyond_the_zone_limit_is_logged() {
    let mut daemon = EvacuationFixture::new();
    let unknown_zones = (0..MAX_ZONES).map(|number| row(&format!("evacuate/z{number}"), "", 9));
    daemon.read_all(10, unknown_zones.collect());
    let lines = daemon.fixture.log.queued_lines();
    daemon.follow(12, vec![change(EVACUATION, Some(""), 12)]);
    assert!(!daemon.is_evacuated());
    assert_eq!(daemon.fixture.log.queued_lines(), lines + 1);
    // Its zone is evacuated once there is capacity and all rows are read again.
    daemon.follow(13, vec![change("evacuate/z0", None, 13)]);
    let mut rows: Vec<Row> = (1..MAX_ZONES)
        .map(|number| row(&format!("evacuate/z{number}"), "", 9))
        .collect();
    rows.push(row(EVACUATION, "", 12));
    daemon.read_all(14, rows);
    assert!(daemon.is_evacuated());
}

#[tokio::test(start_paused = true)]
async fn the_metrics_count_requests_that_still_run_in_an_evacuated_zone() {
    let mut daemon = EvacuationFixture::new();
    daemon.read_all(10, vec![row(EVACUATION, "", 9)]);
    let view = daemon.fixture.replicas.view();
    let replica = view.get("replica").expect("the replica");
    let running = replica.enter(harrierward_serving::WorkClass::Online, None);
    let name = "harrierward_evacuated_zone_requests{zone=\"zone\"}";
    let discovery = Arc::new(daemon.fixture.discovery);
    let log = daemon.fixture.log.clone();
    let metric = || {
        let text = String::from_utf8(log.metrics_text()).expect("text");
        let mut lines = text.lines().filter_map(|line| line.strip_prefix(name));
        lines.next().map(|value| value.trim().to_owned())
    };
    let reporting = tokio::spawn(discovery.report_evacuated_zones());
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(metric().as_deref(), Some("1"));
    drop(running);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(metric().as_deref(), Some("0"));
    reporting.abort();
}
