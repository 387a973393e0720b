//! Decisions of a coordinator in a group of two replicas, one of which is ejected.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_edge::SlotService;
use harrierward_serving::{
    AttemptOutcome, Choice, ItemSlack, Location, Prompt, PromptLength, ReleaseReport,
    ReplicaRecord, ReplicaSet, SelectionCosts, SlotLeases, SlotQuery, SlotReply, short_hash,
};
use harrierward_tenants::AllowedRegions;
use harrierward_wire::{HeldSlot, SlotReport, node_datagram::Kind};
use tokio::time::advance;

const SERVICE: &str = "model";
const BAD: &str = "bad";
const GOOD: &str = "good";
const SLOTS: u32 = 4;

const ITEM: ItemSlack = ItemSlack {
    slack: Duration::from_secs(9),
};

/// Longer than the first ejection plus the time that probes are left to batch items.
const EJECTION: Duration = Duration::from_millis(1_100);

fn record(id: &str) -> ReplicaRecord {
    ReplicaRecord {
        born_ms: None,
        region: String::new(),
        warmup: Duration::ZERO,
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        version: String::new(),
        address: format!("{id}:80"),
        zone: "zone-a".to_owned(),
        slots: SLOTS,
        draining: false,
    }
}

struct Group {
    slots: SlotService,
    replicas: Arc<ReplicaSet>,
}

impl Group {
    fn new() -> Self {
        let replicas = Arc::new(ReplicaSet::default());
        replicas.replace(vec![record(BAD), record(GOOD)], |_| 100_000);
        let slots = SlotService::new(
            "daemon".to_owned(),
            Location::new("zone-a", ""),
            replicas.clone(),
            SelectionCosts::default(),
            DecisionLog::new(LogBounds::default()),
        );
        Self { slots, replicas }
    }

    fn complete(&self, replica: &str, outcome: AttemptOutcome, first_event: Duration) {
        let view = self.replicas.view();
        let replica = view.by_hash(short_hash(replica)).expect("listed");
        let lease = self.slots.acquire_locally(replica, None);
        let first_event = Some(first_event).filter(|time| !time.is_zero());
        let report = ReleaseReport {
            outcome,
            first_event,
        };
        self.slots.release(lease, report);
    }

    /// Lets both replicas serve for a while; the bad one then fails until it is ejected.
    async fn eject(&self, good_takes: Duration) {
        for _ in 0..10 {
            // Latencies are compared at most ten times a second.
            advance(Duration::from_millis(110)).await;
            self.complete(BAD, AttemptOutcome::Served, Duration::from_millis(10));
            self.complete(GOOD, AttemptOutcome::Served, good_takes);
        }
        for _ in 0..10 {
            self.complete(BAD, AttemptOutcome::Failed, Duration::ZERO);
        }
    }

    async fn acquire(
        &self,
        item: Option<ItemSlack>,
        max_retry_after: Option<Duration>,
    ) -> SlotReply {
        let query = SlotQuery {
            service: SERVICE,
            prompt: &Prompt::default(),
            length: PromptLength::Uniform,
            excluded: &[],
            regions: &AllowedRegions::Any,
            version: None,
            objective: Duration::from_millis(300),
            item,
            overdue: false,
            may_repeat: true,
            max_retry_after,
        };
        self.slots.acquire(query).await
    }

    async fn choose(&self, item: Option<ItemSlack>) -> Option<Choice> {
        match self.acquire(item, None).await {
            SlotReply::Granted { choice, .. } => Some(choice),
            _ => None,
        }
    }

    /// Reports leases of another daemon at the good replica as held or released.
    fn report(&self, held: std::ops::Range<u32>, released: std::ops::Range<u32>) {
        let held = held.map(|lease| HeldSlot {
            lease,
            replica: short_hash(GOOD),
            batch: false,
            slack_ms: 0,
        });
        let report = SlotReport {
            holder: 7,
            held: held.collect(),
            released: released.collect(),
            ..SlotReport::default()
        };
        let from = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
        assert!(self.slots.receive(Kind::SlotReport(report), from).is_none());
    }
}

#[tokio::test(start_paused = true)]
async fn a_slow_replica_in_service_is_preferred_to_an_ejected_one() {
    let group = Group::new();
    group.eject(Duration::from_millis(2_000)).await;
    for _ in 0..200 {
        for item in [None, Some(ITEM)] {
            let chosen = group.choose(item).await;
            let is_bad = chosen.is_some_and(|choice| choice.replica.record.id == BAD);
            assert!(!is_bad, "item: {}", item.is_some());
        }
    }
}

/// Guards against retry delays that are too short because slots of ejected replicas are counted as completing requests.
#[tokio::test(start_paused = true)]
async fn retry_times_do_not_count_the_slots_of_an_ejected_replica() {
    let group = Group::new();
    // Observation of the group starts with the first request.
    assert!(group.choose(None).await.is_some());
    group.report(0..32, 0..0);
    advance(Duration::from_secs(1)).await;
    group.report(0..0, 0..32);
    group.eject(Duration::from_millis(10)).await;
    group.report(100..100 + 4 * SLOTS, 0..0);
    let limit = Some(Duration::from_secs(60));
    let mut retry_times = Vec::new();
    for _ in 0..2 {
        match group.acquire(None, limit).await {
            SlotReply::RetryLater { after } => retry_times.push(after),
            reply => panic!("{reply:?}"),
        }
    }
    // Held for a second each, four slots complete four requests per second, half of which are available to retries.
    let between = retry_times[1] - retry_times[0];
    assert!(between > Duration::from_millis(400), "{between:?}");
}

/// Guards against recording the capacity of an idle probed replica for its group, which may be full.
#[tokio::test(start_paused = true)]
async fn the_capacity_of_a_probed_replica_is_not_recorded_for_its_group() {
    let group = Group::new();
    group.eject(Duration::from_millis(10)).await;
    advance(EJECTION).await;
    group.report(100..100 + 4 * SLOTS, 0..0);
    let probe = group.choose(Some(ITEM)).await.expect("a probe");
    assert_eq!(probe.replica.record.id, BAD);
    assert!(probe.is_probe);
}
