//! Responses without a length or chunks, which end with their connection, and what follows for their replica.

use std::sync::Arc;
use std::time::Duration;

use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_edge::{ConnectionPool, PoolSettings, QuarantineService};
use harrierward_quarantine::{ContentId, Status};
use harrierward_serving::{Quarantine, Replica, ReplicaRecord, ReplicaSet, WorkClass};
use harrierward_wire::{CrashNews, CrashedContent, ReplicaEnd, node_datagram::Kind};

const CONTENT: ContentId = ContentId(5);

fn replica_set() -> Arc<ReplicaSet> {
    let record = ReplicaRecord {
        born_ms: None,
        region: String::new(),
        warmup: Duration::ZERO,
        id: "replica".to_owned(),
        service: "model".to_owned(),
        version: String::new(),
        address: "10.0.0.1:80".to_owned(),
        zone: "zone".to_owned(),
        slots: 4,
        draining: false,
    };
    let replicas = ReplicaSet::default();
    replicas.replace(vec![record], |_| 100_000);
    Arc::new(replicas)
}

fn quarantine(replicas: &Arc<ReplicaSet>) -> (QuarantineService, Arc<Replica>) {
    let log = DecisionLog::new(LogBounds::default());
    let pool = ConnectionPool::new(PoolSettings::default(), log.clone());
    let quarantine = QuarantineService::new("own".to_owned(), replicas.clone(), pool, log);
    let replica = replicas.view().get("replica").expect("listed").clone();
    (quarantine, replica)
}

/// Guards against a replica that is taken for crashed, and used by nobody, since its entry lapses after responses which
/// ended with their connections.
#[tokio::test]
async fn a_replica_whose_entry_goes_after_a_closed_response_has_not_crashed() {
    let replicas = replica_set();
    let (quarantine, replica) = quarantine(&replicas);
    quarantine.note_closed(&CONTENT.into(), WorkClass::Online, &replica);
    replicas.replace(Vec::new(), |_| 100_000);
    quarantine.tick();
    assert!(!replica.has_crashed());
}

/// Guards against evidence that is lost since the same content had a response before that ended with its connection.
#[tokio::test]
async fn a_connection_that_breaks_after_a_closed_response_counts() {
    let replicas = replica_set();
    let (quarantine, replica) = quarantine(&replicas);
    quarantine.note_closed(&CONTENT.into(), WorkClass::Online, &replica);
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    quarantine.note_disconnect(&CONTENT.into(), WorkClass::Online, &replica);
    let reports = CrashNews {
        contents: vec![CrashedContent {
            content: 6,
            ends: vec![ReplicaEnd {
                replica: replica.hash,
                age_ms: 0,
            }],
            ..CrashedContent::default()
        }],
        ..CrashNews::default()
    };
    assert!(quarantine.receive(Kind::CrashNews(reports)).is_none());
    let status = quarantine.status(&CONTENT.into());
    assert_eq!(status, Status::Suspect { crashes: 1 });
}
