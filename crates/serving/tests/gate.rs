//! Guards against requests sent on the basis of an outdated choice or lease.

mod support;

use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use async_trait::async_trait;
use bytes::Bytes;
use futures::StreamExt;
use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_serving::{
    AttemptFailure, AttemptOptions, AttemptTimeouts, BodyDelimiter, Choice, ChosenBy,
    ExchangeError, Forwarder, ForwarderParts, ForwarderSettings, ItemSlack, KeyTrust, NoQuarantine,
    Prompt, ReleaseReport, Replica, ReplicaClient, ReplicaRecord, ReplicaRequest, ReplicaResponse,
    ReplicaSet, Reply, Route, RouteKind, RouteTable, SelectionCosts, ServingConfiguration,
    ServingRequest, SlotLease, SlotLeases, SlotQuery, SlotReply, WeightedService, WorkClass,
};
use harrierward_tenants::AllowedRegions;
use http::{HeaderMap, Method};
use support::NoLimits;
use tokio::time::Instant;

/// Replicas in the evacuated zone, more than the maximum number of refusals per request.
const EVACUATED_REPLICAS: usize = 6;

/// Request received by a replica: the replica's id, and the address of the prefix cache to copy.
type Sent = (String, Option<String>);

#[derive(Default)]
struct Client {
    sent: Mutex<Vec<Sent>>,
}

impl Client {
    fn sent(&self) -> Vec<Sent> {
        let sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        sent.clone()
    }
}

#[async_trait]
impl ReplicaClient for Client {
    async fn send(&self, request: ReplicaRequest<'_>) -> Result<ReplicaResponse, ExchangeError> {
        let source = request.copy_from.map(str::to_owned);
        let mut sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        sent.push((request.replica.to_owned(), source));
        Ok(ReplicaResponse {
            status: 200,
            request_id: Some(request.request.id.clone()),
            is_first_on_connection: true,
            not_run: false,
            misdirected: None,
            load: None,
            headers: HeaderMap::new(),
            delimiter: BodyDelimiter::Length,
            body: futures::stream::empty().boxed(),
        })
    }
}

/// Coordinator that has not received any evacuation.
struct OutdatedCoordinator {
    replicas: Arc<ReplicaSet>,
    /// True if it reports the whole zone as cold.
    is_all_cold: bool,
}

#[async_trait]
impl SlotLeases for OutdatedCoordinator {
    async fn acquire(&self, query: SlotQuery<'_>) -> SlotReply {
        if self.is_all_cold {
            return SlotReply::AllCold;
        }
        let view = self.replicas.view();
        let in_zone = view.all().filter(|one| one.record.zone == "zone-a");
        let mut remaining = in_zone.filter(|one| !query.excluded.contains(&one.record.id));
        let Some(replica) = remaining.next() else {
            return SlotReply::NoCoordinator;
        };
        SlotReply::Granted {
            choice: choice(replica),
            lease: 1,
        }
    }

    fn acquire_locally(&self, _replica: &Arc<Replica>, _item: Option<ItemSlack>) -> u32 {
        1
    }

    fn release(&self, _lease: u32, _report: ReleaseReport) {}

    fn is_coordinated(&self, _replica: &Replica) -> bool {
        true
    }

    fn is_reported_cold(&self, replica: &Replica) -> bool {
        self.is_all_cold && replica.record.zone == "zone-a"
    }

    fn preempt_item(&self, _replica: &Arc<Replica>) {}
}

fn choice(replica: &Arc<Replica>) -> Choice {
    Choice {
        left_region: None,
        is_probe: false,
        replica: replica.clone(),
        by: ChosenBy::Coordinator,
        load: 0,
        free_permille: 900,
        cold_until: None,
        copy_from: None,
    }
}

fn record(id: &str, zone: &str, region: &str) -> ReplicaRecord {
    ReplicaRecord {
        id: id.to_owned(),
        born_ms: None,
        service: "model".to_owned(),
        version: String::new(),
        address: format!("{id}:80"),
        zone: zone.to_owned(),
        region: region.to_owned(),
        slots: 8,
        draining: false,
        warmup: Duration::ZERO,
    }
}

fn routes() -> RouteTable {
    let route = Route {
        allowed_regions: AllowedRegions::default(),
        name: "ask".to_owned(),
        host: "example".to_owned(),
        prefix: "/ask/".to_owned(),
        kind: RouteKind::Stream { resumable: true },
        services: vec![WeightedService {
            service: "model".to_owned(),
            weight: 1,
        }],
        attempts: 2,
        timeout: Duration::from_secs(5),
        objective: Duration::from_millis(300),
        gap_objective: None,
        priority: 0,
        is_public: false,
    };
    let configuration = ServingConfiguration {
        version: 1,
        routes: vec![route],
        ..ServingConfiguration::default()
    };
    RouteTable::build(configuration, None)
}

struct Fixture {
    forwarder: Forwarder,
    replicas: Arc<ReplicaSet>,
    client: Arc<Client>,
}

fn fixture() -> Fixture {
    fixture_with(false)
}

fn fixture_with(is_all_cold: bool) -> Fixture {
    let replicas = Arc::new(ReplicaSet::default());
    let mut records: Vec<ReplicaRecord> = (0..EVACUATED_REPLICAS)
        .map(|number| record(&format!("a-{number}"), "zone-a", "near"))
        .collect();
    records.push(record("b", "zone-b", "far"));
    replicas.replace(records, |_| 100_000);
    let client = Arc::new(Client::default());
    let forwarder = Forwarder::new(ForwarderParts {
        routes: Arc::new(ArcSwapOption::from_pointee(routes())),
        replicas: replicas.clone(),
        client: client.clone(),
        leases: Arc::new(OutdatedCoordinator {
            replicas: replicas.clone(),
            is_all_cold,
        }),
        rates: Arc::new(NoLimits),
        quarantine: Arc::new(NoQuarantine),
        proof: Arc::default(),
        origins: Arc::new(harrierward_serving::NoOrigins),
        log: DecisionLog::new(LogBounds::default()),
        settings: ForwarderSettings {
            region: String::new(),
            zone: "zone-a".to_owned(),
            costs: SelectionCosts::default(),
            key_trust: KeyTrust::Unbounded,
        },
    });
    Fixture {
        forwarder,
        replicas,
        client,
    }
}

impl Fixture {
    fn evacuate(&self, zone: &str) {
        let zones = HashSet::from([zone.to_owned()]);
        self.replicas.set_evacuated_zones(zones);
    }

    /// Sends a request to a chosen replica.
    async fn send_to(&self, choice: Choice) -> Result<(), AttemptFailure> {
        let lease = SlotLease::new(self.forwarder.leases().clone(), 1);
        let placement = choice.enter(WorkClass::Online, lease);
        let long = Duration::from_secs(1);
        let times = AttemptTimeouts {
            time_left: None,
            stall_timeout: long,
            max_wait: long,
        };
        let options = AttemptOptions {
            failed_before: false,
            resume_after: None,
            fresh_connection: false,
            is_resumable: false,
            number: 1,
            refused_elsewhere: 0,
        };
        let request = request();
        let sent = self
            .forwarder
            .attempt_at(&request, placement, times, options);
        sent.await.map(|_| ())
    }
}

fn request() -> ServingRequest {
    ServingRequest {
        regions: AllowedRegions::default(),
        id: "r".to_owned(),
        host: "example".to_owned(),
        method: Method::POST,
        target: "/ask/x".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        timeout: Some(Duration::from_secs(5)),
        resume_after: None,
        resumes: None,
        version: None,
        prompt: Prompt::default(),
        key: None,
        tenant: None,
    }
}

#[tokio::test]
async fn an_outdated_coordinator_does_not_keep_a_request_from_other_zones() {
    let fixture = fixture();
    fixture.evacuate("zone-a");
    let reply = fixture.forwarder.forward(request(), Instant::now()).await;
    assert!(matches!(reply, Reply::Response(_)), "an answer");
    assert_eq!(fixture.client.sent(), [("b".to_owned(), None)]);
}

/// A daemon that chooses itself must avoid a group that its coordinator reports as cold.
#[tokio::test]
async fn a_daemon_that_chooses_itself_avoids_a_group_that_its_coordinator_reports_cold() {
    let fixture = fixture_with(true);
    let reply = fixture.forwarder.forward(request(), Instant::now()).await;
    assert!(matches!(reply, Reply::Response(_)), "an answer");
    assert_eq!(fixture.client.sent(), [("b".to_owned(), None)]);
}

#[tokio::test]
async fn a_replica_whose_zone_is_evacuated_after_the_choice_gets_nothing() {
    let fixture = fixture();
    let view = fixture.replicas.view();
    let chosen = choice(view.get("a-0").expect("the replica"));
    fixture.evacuate("zone-a");
    let outcome = fixture.send_to(chosen).await;
    assert!(
        matches!(outcome, Err(AttemptFailure::NotRun { refused: None, .. })),
        "{outcome:?}"
    );
    assert!(fixture.client.sent().is_empty());
}

#[tokio::test]
async fn nothing_is_copied_from_an_evacuated_zone() {
    let fixture = fixture();
    let view = fixture.replicas.view();
    let mut chosen = choice(view.get("b").expect("the replica"));
    chosen.copy_from = view.get("a-0").cloned();
    let copies = || fixture.client.sent().into_iter().map(|(_, source)| source);
    fixture.send_to(chosen.clone()).await.expect("an answer");
    fixture.evacuate("zone-a");
    fixture.send_to(chosen).await.expect("an answer");
    let copies: Vec<Option<String>> = copies().collect();
    assert_eq!(copies, [Some("a-0:80".to_owned()), None]);
}

/// Guards against a request that goes on from the prefix cache of a replica whose software version may keep it
/// differently.
#[tokio::test]
async fn nothing_is_copied_from_another_software_version() {
    let fixture = fixture();
    let mut other = record("a-0", "zone-a", "near");
    other.version = "v2".to_owned();
    fixture.replicas.update(vec![other], &[], |_| 100_000);
    let view = fixture.replicas.view();
    let mut chosen = choice(view.get("b").expect("the replica"));
    chosen.copy_from = view.get("a-0").cloned();
    fixture.send_to(chosen).await.expect("an answer");
    assert_eq!(fixture.client.sent(), [("b".to_owned(), None)]);
}

/// Replicas that are listed later, or that vanished and return, must inherit their zone's evacuation.
#[tokio::test]
async fn replicas_listed_later_inherit_the_evacuation_of_their_zone() {
    let fixture = fixture();
    fixture.evacuate("zone-a");
    let later = vec![
        record("a-0", "zone-a", "near"),
        record("new", "zone-a", "near"),
    ];
    fixture.replicas.replace(later, |_| 100_000);
    let view = fixture.replicas.view();
    let any = AllowedRegions::Any;
    assert!(view.all().all(|one| !one.accepts_work()));
    // The replica of the other zone has just vanished from the list and is still used.
    assert!(view.has_usable("model", &any, None));
    assert!(!view.has_usable("model", &AllowedRegions::only(["near".to_owned()]), None));
    fixture
        .replicas
        .set_evacuated_zones(HashSet::from(["zone-a".to_owned(), "zone-b".to_owned()]));
    assert!(!fixture.replicas.view().has_usable("model", &any, None));
    fixture.replicas.set_evacuated_zones(HashSet::new());
    assert!(fixture.replicas.view().all().all(|one| one.accepts_work()));
}
