//! A group of two replicas one of which is ejected, at the daemon that coordinates it.

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

/// Longer than the first absence and what a probe waits for items.
const ABSENCE: Duration = Duration::from_millis(1_100);

fn record(id: &str) -> ReplicaRecord {
    ReplicaRecord {
        born_ms: None,
        region: String::new(),
        warmup: Duration::ZERO,
        id: id.to_owned(),
        service: SERVICE.to_owned(),
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

    fn end(&self, replica: &str, verdict: AttemptOutcome, first_event: Duration) {
        let view = self.replicas.view();
        let replica = view.by_hash(short_hash(replica)).expect("listed");
        let lease = self.slots.acquire_locally(replica, None);
        let first_event = Some(first_event).filter(|time| !time.is_zero());
        let end = ReleaseReport {
            outcome: verdict,
            first_event,
        };
        self.slots.release(lease, end);
    }

    /// Both served for a while; the bad one then fails until it is out.
    async fn eject(&self, good_takes: Duration) {
        for _ in 0..10 {
            // Times are compared ten times a second at the most.
            advance(Duration::from_millis(110)).await;
            self.end(BAD, AttemptOutcome::Served, Duration::from_millis(10));
            self.end(GOOD, AttemptOutcome::Served, good_takes);
        }
        for _ in 0..10 {
            self.end(BAD, AttemptOutcome::Failed, Duration::ZERO);
        }
    }

    async fn ask(&self, item: Option<ItemSlack>, may_return: Option<Duration>) -> SlotReply {
        let query = SlotQuery {
            service: SERVICE,
            prompt: &Prompt::default(),
            length: PromptLength::Uniform,
            excluded: &[],
            regions: &AllowedRegions::Any,
            objective: Duration::from_millis(300),
            item,
            overdue: false,
            may_repeat: true,
            max_retry_after: may_return,
        };
        self.slots.acquire(query).await
    }

    async fn choose(&self, item: Option<ItemSlack>) -> Option<Choice> {
        match self.ask(item, None).await {
            SlotReply::Granted { choice, .. } => Some(choice),
            _ => None,
        }
    }

    /// Another daemon's requests at the good replica begin; those that it names no more have ended.
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
async fn a_slow_replica_in_service_goes_before_an_ejected_one() {
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

/// Slots that take no work end none: callers would be told to come back too soon.
#[tokio::test(start_paused = true)]
async fn the_slots_of_an_ejected_replica_do_not_count_for_callers_who_are_to_come_back() {
    let group = Group::new();
    // What is observed begins with the first question.
    assert!(group.choose(None).await.is_some());
    group.report(0..32, 0..0);
    advance(Duration::from_secs(1)).await;
    group.report(0..0, 0..32);
    group.eject(Duration::from_millis(10)).await;
    group.report(100..100 + 4 * SLOTS, 0..0);
    let longest = Some(Duration::from_secs(60));
    let mut told = Vec::new();
    for _ in 0..2 {
        match group.ask(None, longest).await {
            SlotReply::RetryLater { after } => told.push(after),
            answer => panic!("{answer:?}"),
        }
    }
    // Held for a second each, four slots end four requests a second, of which two come anew.
    let between = told[1] - told[0];
    assert!(between > Duration::from_millis(400), "{between:?}");
}

/// The replica that is tried is empty; its group may be full.
#[tokio::test(start_paused = true)]
async fn the_room_at_a_probe_is_not_taken_for_the_groups() {
    let group = Group::new();
    group.eject(Duration::from_millis(10)).await;
    advance(ABSENCE).await;
    group.report(100..100 + 4 * SLOTS, 0..0);
    let probe = group.choose(Some(ITEM)).await.expect("a probe");
    assert_eq!(probe.replica.record.id, BAD);
    assert!(probe.is_probe);
}
