//! Guards the choice of a replica: prefix affinity, preemption, reserved slots, cold replicas and regions.

mod support;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use async_trait::async_trait;
use bytes::Bytes;
use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_serving::{
    Candidate, CrossRegionReason, ExchangeError, Forwarder, ForwarderParts, ForwarderSettings,
    ItemSlack, KeyTrust, NoQuarantine, Prompt, PromptPart, ReleaseReport, Replica, ReplicaClient,
    ReplicaRecord, ReplicaRequest, ReplicaResponse, ReplicaSet, SelectionCosts, Separation,
    ServingRequest, SlotLeases, SlotQuery, SlotReply, cost, reserved_slots,
};
use harrierward_tenants::AllowedRegions;
use http::{HeaderMap, Method};
use support::NoLimits;
use tokio::time::Instant;

/// More replicas than the maximum number of candidates.
const REPLICAS: usize = 120;

const ZONE: &str = "zone-a";

struct NoClient;

#[async_trait]
impl ReplicaClient for NoClient {
    async fn send(&self, request: ReplicaRequest<'_>) -> Result<ReplicaResponse, ExchangeError> {
        Err(ExchangeError::NotSent {
            step: "test",
            peer: request.address.to_owned(),
            detail: "no client".to_owned(),
        })
    }
}

/// Leases without a responsive coordinator; counts requested preemptions and leases held.
#[derive(Default)]
struct NoCoordinators {
    preemptions: AtomicUsize,
    held: AtomicUsize,
}

#[async_trait]
impl SlotLeases for NoCoordinators {
    async fn acquire(&self, _query: SlotQuery<'_>) -> SlotReply {
        SlotReply::NoCoordinator
    }

    fn acquire_locally(&self, _replica: &Arc<Replica>, _item: Option<ItemSlack>) -> u32 {
        self.held.fetch_add(1, Ordering::Relaxed);
        1
    }

    fn release(&self, _lease: u32, _report: ReleaseReport) {
        self.held.fetch_sub(1, Ordering::Relaxed);
    }

    fn is_coordinated(&self, _replica: &Replica) -> bool {
        false
    }

    fn preempt_item(&self, _replica: &Arc<Replica>) {
        self.preemptions.fetch_add(1, Ordering::Relaxed);
    }
}

fn forwarder() -> Forwarder {
    forwarder_with_leases(Arc::default())
}

fn forwarder_with_leases(leases: Arc<NoCoordinators>) -> Forwarder {
    forwarder_with(leases, (0..REPLICAS).map(record).collect())
}

fn record(number: usize) -> ReplicaRecord {
    ReplicaRecord {
        born_ms: None,
        region: String::new(),
        warmup: Duration::ZERO,
        id: format!("replica-{number}"),
        service: "model".to_owned(),
        version: String::new(),
        address: format!("10.0.0.{number}:80"),
        zone: ZONE.to_owned(),
        slots: 8,
        draining: false,
    }
}

fn forwarder_with(leases: Arc<NoCoordinators>, records: Vec<ReplicaRecord>) -> Forwarder {
    let replicas = ReplicaSet::default();
    replicas.replace(records, |_| 100_000);
    Forwarder::new(ForwarderParts {
        routes: Arc::new(ArcSwapOption::empty()),
        replicas: Arc::new(replicas),
        client: Arc::new(NoClient),
        leases,
        rates: Arc::new(NoLimits),
        quarantine: Arc::new(NoQuarantine),
        proof: Arc::default(),
        origins: Arc::new(harrierward_serving::NoOrigins),
        log: DecisionLog::new(LogBounds::default()),
        settings: ForwarderSettings {
            zone: ZONE.to_owned(),
            region: String::new(),
            costs: SelectionCosts::default(),
            key_trust: KeyTrust::Unbounded,
        },
    })
}

fn request(shared_part: u64) -> ServingRequest {
    let parts = vec![
        PromptPart {
            id: shared_part,
            tokens: 6_000,
        },
        PromptPart {
            id: rand::random(),
            tokens: 500,
        },
    ];
    ServingRequest {
        regions: AllowedRegions::default(),
        id: "r".to_owned(),
        host: "example".to_owned(),
        method: Method::POST,
        target: "/ask/x".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        timeout: None,
        resume_after: None,
        resumes: None,
        version: None,
        prompt: Prompt {
            parts,
            tokens: 6_500,
            output_tokens: 100,
        },
        key: None,
        tenant: None,
    }
}

const OBJECTIVE: Duration = Duration::from_millis(300);

#[tokio::test]
async fn daemons_send_prompts_that_share_a_part_to_the_same_replica_however_many_there_are() {
    for part in 0..20 {
        let mut chosen: HashMap<String, usize> = HashMap::new();
        // Each daemon receives one request and knows nothing of the others'.
        for _ in 0..10 {
            let forwarder = forwarder();
            let request = request(part);
            let placement = forwarder.place(&request, "model", &[], OBJECTIVE, None);
            let placement = placement.await.expect("a replica");
            let id = placement.choice.replica.record.id.clone();
            *chosen.entry(id).or_default() += 1;
        }
        let max = chosen.values().max().copied().unwrap_or_default();
        assert_eq!(max, 10, "part {part}: {chosen:?}");
    }
}

/// Number of preemptions requested when a request goes to replicas with these counts of peers.
async fn preemptions_requested(item: Option<ItemSlack>, online: u32, batch: u32) -> usize {
    let leases = Arc::new(NoCoordinators::default());
    let forwarder = forwarder_with_leases(leases.clone());
    for replica in forwarder.replicas().view().all() {
        replica.set_peer_counts(online, batch);
    }
    let request = request(1);
    let placement = forwarder
        .place(&request, "model", &[], OBJECTIVE, item)
        .await;
    let placed = usize::from(placement.is_some());
    assert_eq!(leases.held.load(Ordering::Relaxed), placed);
    drop(placement);
    assert_eq!(
        leases.held.load(Ordering::Relaxed),
        0,
        "a lease is still held"
    );
    leases.preemptions.load(Ordering::Relaxed)
}

#[tokio::test]
async fn without_a_coordinator_an_online_request_preempts_an_item_where_items_hold_the_last_slots()
{
    let item = ItemSlack {
        slack: Duration::from_secs(1),
    };
    assert_eq!(preemptions_requested(None, 3, 5).await, 1);
    assert_eq!(preemptions_requested(None, 3, 4).await, 0);
    assert_eq!(preemptions_requested(None, 9, 0).await, 0);
    assert_eq!(preemptions_requested(Some(item), 3, 5).await, 0);
    assert_eq!(preemptions_requested(Some(item), 3, 2).await, 0);
}

#[tokio::test]
async fn items_leave_slots_free_for_as_many_requests_as_online_varies_by() {
    let item = ItemSlack {
        slack: Duration::from_secs(1),
    };
    let online = u32::try_from(REPLICAS).expect("a small number") * 8;
    let reserved = reserved_slots(online);
    assert!(
        (25..40).contains(&reserved),
        "the root of {online}: {reserved}"
    );
    for (free, has_capacity) in [(reserved / 2, false), (reserved * 2, true)] {
        let forwarder = forwarder();
        let view = forwarder.replicas().view();
        for (number, replica) in (0..).zip(view.all()) {
            replica.set_peer_counts(if number < free { 7 } else { 8 }, 0);
        }
        let request = request(1);
        let placement = forwarder.place(&request, "model", &[], OBJECTIVE, Some(item));
        assert_eq!(placement.await.is_some(), has_capacity, "{free} slots free");
    }
}

#[test]
fn a_replica_full_of_batch_items_is_better_than_one_full_of_online_requests() {
    let costs = SelectionCosts::default();
    let full = Candidate {
        load: 8,
        preemptible: 0,
        slots: 8,
        uncached_shared_tokens: 0,
        preferred: false,
        own_zone: true,
        own_region: true,
        connected: false,
        separation: Separation::Fits,
        suspected: false,
    };
    let of_batch = Candidate {
        preemptible: 4,
        ..full
    };
    let free = Candidate { load: 4, ..full };
    assert!(cost(&costs, &of_batch) < cost(&costs, &full));
    assert!(cost(&costs, &free) < cost(&costs, &of_batch));
}

/// A connection must decide only between replicas of similar load, not outweigh the wait for a slot.
#[test]
fn a_kept_connection_is_worth_less_than_a_free_slot() {
    let costs = SelectionCosts::default();
    let idle = Candidate {
        load: 2,
        preemptible: 0,
        slots: 8,
        uncached_shared_tokens: 0,
        preferred: false,
        own_zone: true,
        own_region: true,
        connected: false,
        separation: Separation::Fits,
        suspected: false,
    };
    let connected = Candidate {
        connected: true,
        ..idle
    };
    let full = Candidate {
        load: 8,
        ..connected
    };
    assert!(cost(&costs, &connected) < cost(&costs, &idle));
    assert!(cost(&costs, &idle) < cost(&costs, &full));
    let far = Candidate {
        own_zone: false,
        ..connected
    };
    assert!(cost(&costs, &idle) < cost(&costs, &far), "zones first");
}

/// Without a coordinator requests at a cold replica are not counted, so it must get none.
#[tokio::test]
async fn without_a_coordinator_nothing_goes_to_a_cold_replica() {
    const WARM: usize = 3;
    let forwarder = forwarder();
    let view = forwarder.replicas().view();
    let until = Instant::now() + Duration::from_secs(60);
    for replica in view.all().skip(WARM) {
        replica.set_cold_until(until);
    }
    let item = Some(ItemSlack {
        slack: Duration::from_secs(9),
    });
    for number in 0..100 {
        let request = request(number % 7);
        let item = item.filter(|_| number % 2 == 0);
        let placement = forwarder.place(&request, "model", &[], OBJECTIVE, item);
        let placement = placement.await.expect("a warm one");
        assert!(!placement.choice.replica.is_cold(Instant::now()));
    }
    for replica in view.all() {
        replica.set_cold_until(until);
    }
    let request = request(1);
    let placement = forwarder.place(&request, "model", &[], OBJECTIVE, None);
    assert!(placement.await.is_none(), "all are cold");
}

/// With more replicas than candidates, requests must not leave the region while a replica there responds, and items
/// never.
#[tokio::test]
async fn a_daemon_that_chooses_itself_stays_in_its_region_while_a_replica_there_responds() {
    let in_region = |number: usize| {
        let own = number.is_multiple_of(3);
        let (zone, region) = if own { (ZONE, "") } else { ("far", "far") };
        ReplicaRecord {
            zone: zone.to_owned(),
            region: region.to_owned(),
            ..record(number)
        }
    };
    let forwarder = forwarder_with(Arc::default(), (0..24).map(in_region).collect());
    let mut held = Vec::new();
    for number in 0..64 {
        let request = request(number);
        let placement = forwarder.place(&request, "model", &[], OBJECTIVE, None);
        let placement = placement.await.expect("a replica");
        assert!(placement.choice.replica.record.region.is_empty());
        assert_eq!(placement.choice.left_region, None);
        held.push(placement);
    }
    let view = forwarder.replicas().view();
    let own = view.all().filter(|one| one.record.region.is_empty());
    own.for_each(|replica| replica.suspect());
    let request = request(1);
    let away = forwarder.place(&request, "model", &[], OBJECTIVE, None);
    let away = away.await.expect("a replica of another region");
    assert_eq!(away.choice.replica.record.region, "far");
    assert_eq!(away.choice.left_region, Some(CrossRegionReason::NoReplica));
    let item = ItemSlack {
        slack: Duration::from_secs(9),
    };
    let item = forwarder.place(&request, "model", &[], OBJECTIVE, Some(item));
    assert!(item.await.is_none(), "an item left its region");
}
