//! Guards against an item that can't be done and is taken for one that waits for slots, and the reverse.

use std::sync::Arc;
use std::time::Duration;

use harrierward_inline_jobs::FruitlessAttempts;
use harrierward_serving::{RefusalScope, Replica, ReplicaRecord, ReplicaRefusal, ReplicaSet};
use tokio::time::{Instant, advance};

const TOKENS: u64 = 1_000;

/// Time in which a full replica would have had a slot.
const LONG: Duration = Duration::from_secs(6);

fn replicas(count: usize) -> Vec<Arc<Replica>> {
    let records = (0..count).map(|number| ReplicaRecord {
        id: format!("i-{number}"),
        born_ms: None,
        service: "model".to_owned(),
        version: String::new(),
        address: format!("127.0.0.1:{}", 9_000 + number),
        zone: "zone".to_owned(),
        region: "region".to_owned(),
        slots: 8,
        draining: false,
        warmup: Duration::ZERO,
    });
    let set = ReplicaSet::default();
    set.replace(records.collect(), |_| 0);
    set.view().usable("model")
}

fn now() -> Instant {
    harrierward_clock::now()
}

fn refusal_by(replica: &Replica) -> ReplicaRefusal {
    ReplicaRefusal {
        scope: RefusalScope::Unclear,
        status: 503,
        replica: replica.hash,
        lease: None,
        had_capacity: true,
        at: now(),
    }
}

/// Records a refusal by each replica, beside other work that each admits before and after.
async fn refuse_beside_other_work(attempts: &mut FruitlessAttempts, replicas: &[Arc<Replica>]) {
    for replica in replicas {
        advance(Duration::from_millis(10)).await;
        replica.note_admitted(TOKENS);
        advance(Duration::from_millis(10)).await;
        attempts.note_refused(replica, refusal_by(replica));
        advance(Duration::from_millis(10)).await;
        replica.note_admitted(TOKENS);
    }
}

#[tokio::test(start_paused = true)]
async fn an_item_refused_while_others_are_admitted_is_refused_alone() {
    let replicas = replicas(5);
    let mut attempts = FruitlessAttempts::default();
    refuse_beside_other_work(&mut attempts, &replicas[..2]).await;
    assert!(!attempts.is_refused_alone(&replicas), "two replicas");
    refuse_beside_other_work(&mut attempts, &replicas[2..3]).await;
    assert!(attempts.is_refused_alone(&replicas));
    assert!(!attempts.is_refused_alone_for_long(&replicas, now()));
    assert!(attempts.is_refused_alone_for_long(&replicas, now() + LONG));
}

/// Guards against items that are given up since replicas were full for a while and then admitted others.
#[tokio::test(start_paused = true)]
async fn an_item_refused_by_replicas_that_were_full_is_not_refused_alone() {
    let replicas = replicas(3);
    let mut attempts = FruitlessAttempts::default();
    for replica in &replicas {
        attempts.note_refused(replica, refusal_by(replica));
    }
    advance(LONG).await;
    for replica in &replicas {
        replica.note_admitted(TOKENS);
    }
    assert!(!attempts.is_refused_alone(&replicas));
    assert!(attempts.is_refused_for_long(&replicas, now()));
}

#[tokio::test(start_paused = true)]
async fn the_last_two_replicas_are_excluded_but_never_all() {
    let replicas = replicas(4);
    let mut attempts = FruitlessAttempts::default();
    for replica in &replicas[..3] {
        attempts.note_refused(replica, refusal_by(replica));
    }
    assert_eq!(attempts.excluded(&replicas), ["i-2", "i-1"]);
    assert_eq!(attempts.excluded(&replicas[2..3]), [""; 0]);
    assert_eq!(attempts.excluded(&replicas[1..3]), ["i-2"]);
}

/// Guards against items that fall behind others because replicas crashed under them.
#[tokio::test(start_paused = true)]
async fn two_broken_runs_are_put_down_to_the_replicas() {
    let mut attempts = FruitlessAttempts::default();
    attempts.note_broken();
    let pause = attempts.pause();
    attempts.note_broken();
    assert_eq!(
        (attempts.pause(), attempts.demotion()),
        (pause, Duration::ZERO)
    );
    attempts.note_broken();
    attempts.note_broken();
    assert!(attempts.pause() > pause && attempts.demotion() > Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn pauses_and_demotion_grow_until_an_event() {
    let replicas = replicas(3);
    let mut attempts = FruitlessAttempts::default();
    let mut last = (Duration::ZERO, Duration::ZERO);
    for _ in 0..6 {
        attempts.note_refused(&replicas[0], refusal_by(&replicas[0]));
        let next = (attempts.pause(), attempts.demotion());
        assert!(next.0 > last.0 && next.1 > last.1, "{next:?}");
        last = next;
    }
    for _ in 0..40 {
        attempts.note_broken();
    }
    assert!(
        attempts.pause() < Duration::from_secs(3),
        "{:?}",
        attempts.pause()
    );
    assert!(attempts.breaks_each_time());
    attempts.clear();
    assert_eq!(attempts.demotion(), Duration::ZERO);
}
