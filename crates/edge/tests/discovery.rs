//! What a daemon believes only moves forward, whoever tells it.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_edge::{Discovery, DiscoverySource, ServerControl, SpaceCopy, SpaceUpdate};
use harrierward_external::{ChangePage, Row, RowChange, SpaceSnapshot};
use harrierward_serving::{
    ReplicaRecord, ReplicaSet, Service, ServingConfiguration, SharedRoutes, Warmup,
};
use tokio::time::Instant;

const WARMUP: Warmup = Warmup {
    lasts: Duration::from_secs(6),
    per_second: 2.0,
};

/// Rows whose content is a number: the version, or the address of the replica named by the key, and after a space for
/// how many milliseconds it stays cold.
struct PlainSource;

impl DiscoverySource for PlainSource {
    fn configuration_space(&self) -> &'static str {
        "configuration"
    }

    fn replica_space(&self) -> &'static str {
        "replicas"
    }

    fn configuration_of(&self, row: &Row) -> Result<Option<ServingConfiguration>, String> {
        let text = String::from_utf8_lossy(&row.value);
        let version = text.parse().map_err(|_| format!("version: {text:?}"))?;
        Ok(Some(ServingConfiguration {
            version,
            services: vec![Service {
                name: "service".to_owned(),
                slots: 4,
                memory_tokens: 0,
                connections: 0,
                warmup: Some(WARMUP),
            }],
            ..ServingConfiguration::default()
        }))
    }

    fn replica_of(&self, row: &Row) -> Option<ReplicaRecord> {
        let text = String::from_utf8(row.value.to_vec()).ok()?;
        let (address, warmup_ms) = text.split_once(' ').unwrap_or((&text, "0"));
        Some(ReplicaRecord {
            region: String::new(),
            warmup: Duration::from_millis(warmup_ms.parse().ok()?),
            id: row.key.clone(),
            service: "service".to_owned(),
            address: address.to_owned(),
            zone: "zone".to_owned(),
            slots: 4,
            draining: false,
        })
    }
}

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
}

impl Fixture {
    fn new() -> Self {
        let routes: SharedRoutes = Arc::new(ArcSwapOption::empty());
        let replicas = Arc::new(ReplicaSet::default());
        let discovery = Discovery::new(
            Arc::new(PlainSource),
            routes.clone(),
            replicas.clone(),
            Arc::new(ServerControl::default()),
            Arc::default(),
            DecisionLog::new(LogBounds::default()),
        );
        Self {
            discovery,
            routes,
            replicas,
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
