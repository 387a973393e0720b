//! Injects faults at random times, several at once, for a while; then heals everything.

use std::sync::atomic::Ordering;
use std::time::Duration;

use harrierward_emulator::{EngineHandle, StoreFaults};
use rand::Rng;
use tokio::time::sleep;

use super::gate::GateState;
use super::world::{DAEMONS, World};

/// Kinds of fault.
const KINDS: usize = 12;

/// Injects faults until `until`, then heals.
pub async fn run(world: World, until: Duration) {
    while world.now() < until {
        let pause = world.random(|random| random.random_range(100..3500));
        sleep(Duration::from_millis(pause)).await;
        let kind = world.random(|random| random.random_range(0..KINDS));
        tokio::spawn(inject(world.clone(), kind, until));
    }
    heal(&world).await;
}

fn any_engine(world: &World) -> (String, EngineHandle) {
    let index = world.random(|random| random.random_range(0..world.engines.len()));
    let (name, engine) = world.engines.iter().nth(index).expect("there are engines");
    (name.clone(), engine.clone())
}

fn millis(world: &World, least: u64, most: u64) -> Duration {
    Duration::from_millis(world.random(|random| random.random_range(least..most)))
}

async fn inject(world: World, kind: usize, until: Duration) {
    match kind {
        0 => kill(&world, until).await,
        1 => pause(&world, until).await,
        2 => {
            store(
                &world,
                "store down",
                StoreFaults {
                    down: true,
                    ..StoreFaults::default()
                },
                until,
            )
            .await
        }
        3 => {
            store(
                &world,
                "store slow",
                StoreFaults {
                    slow_millis: 600,
                    ..StoreFaults::default()
                },
                until,
            )
            .await
        }
        4 | 5 => {
            store(
                &world,
                "answers lost",
                StoreFaults {
                    lose_answers: 0.3,
                    ..StoreFaults::default()
                },
                until,
            )
            .await
        }
        6 => engine_crash(&world).await,
        7 => engine_freeze(&world, until).await,
        8 => wrong_events(&world),
        9 => cut(&world, until).await,
        10 => stop(&world).await,
        _ => leave(&world).await,
    }
}

async fn kill(world: &World, until: Duration) {
    // One daemon must be left to take over.
    if world.live().len() < DAEMONS {
        return;
    }
    let Ok(daemon) = world.any_daemon() else {
        return;
    };
    world.recorder.fault("daemon lost");
    world.kill(&daemon);
    sleep(millis(world, 500, 5000)).await;
    if world.now() < until + Duration::from_secs(5) {
        let _ = world.start_daemon();
    }
}

async fn pause(world: &World, until: Duration) {
    let Ok(daemon) = world.any_daemon() else {
        return;
    };
    world.recorder.fault("daemon paused");
    daemon.gate.set(GateState::Paused);
    let length = millis(world, 200, 20_000);
    sleep(length.min(until.saturating_sub(world.now()))).await;
    daemon.gate.set(GateState::Open);
}

async fn store(world: &World, kind: &'static str, faults: StoreFaults, until: Duration) {
    world.recorder.fault(kind);
    world.platform.faults().set(faults);
    let length = millis(world, 300, 12_000);
    sleep(length.min(until.saturating_sub(world.now()))).await;
    world.platform.faults().set(StoreFaults::default());
}

async fn engine_crash(world: &World) {
    let (_, engine) = any_engine(world);
    world.recorder.fault("engine crashed");
    engine.faults().down.store(true, Ordering::Relaxed);
    engine.crash();
    sleep(millis(world, 100, 5000)).await;
    engine.faults().down.store(false, Ordering::Relaxed);
}

async fn engine_freeze(world: &World, until: Duration) {
    let (_, engine) = any_engine(world);
    world.recorder.fault("engine frozen");
    engine.faults().frozen.store(true, Ordering::Relaxed);
    let length = millis(world, 100, 8000);
    sleep(length.min(until.saturating_sub(world.now()))).await;
    engine.faults().frozen.store(false, Ordering::Relaxed);
}

fn wrong_events(world: &World) {
    let (_, engine) = any_engine(world);
    world.recorder.fault("crossed, doubled and cut events");
    let faults = engine.faults();
    faults.cross_events.store(20, Ordering::Relaxed);
    faults.repeat_events.store(20, Ordering::Relaxed);
    faults.cut_streams.store(3, Ordering::Relaxed);
}

async fn cut(world: &World, until: Duration) {
    let live = world.live();
    if live.len() < 2 {
        return;
    }
    world.recorder.fault("network cut");
    world.network.cut(&live[0].address, &live[1].address);
    world.network.set_loss(0.1);
    let length = millis(world, 500, 10_000);
    sleep(length.min(until.saturating_sub(world.now()))).await;
    world.network.mend();
    world.network.set_loss(0.0);
}

/// A planned stop: nothing in progress may be cut off.
async fn stop(world: &World) {
    if world.live().len() < DAEMONS {
        return;
    }
    let Ok(daemon) = world.any_daemon() else {
        return;
    };
    world.recorder.fault("planned stop");
    let _ = world.start_daemon();
    let whole = tokio::select! {
        biased;
        () = daemon.gate.closed() => return,
        whole = daemon.node.drain() => whole,
    };
    if !whole {
        world.recorder.lock().cut_stops.push(daemon.member.clone());
    }
    world.kill(&daemon);
}

/// An engine says that it leaves. It stays away, so this happens to few.
async fn leave(world: &World) {
    let (name, engine) = any_engine(world);
    let service = name.split('-').next().unwrap_or_default().to_owned();
    let at = world.now();
    {
        let mut history = world.recorder.lock();
        let others = history.left.keys();
        let same = others.filter(|left| left.starts_with(&service)).count();
        if same > 0 || history.left.contains_key(&name) {
            return;
        }
        history.left.insert(name, at);
    }
    world.recorder.fault("engine leaving");
    engine.leave();
}

async fn heal(world: &World) {
    // Faults end by themselves at `until`; this covers those that had just begun.
    sleep(Duration::from_millis(100)).await;
    world.platform.faults().set(StoreFaults::default());
    world.network.mend();
    world.network.set_loss(0.0);
    for engine in world.engines.values() {
        let faults = engine.faults();
        faults.down.store(false, Ordering::Relaxed);
        faults.frozen.store(false, Ordering::Relaxed);
        faults.cross_events.store(0, Ordering::Relaxed);
        faults.repeat_events.store(0, Ordering::Relaxed);
        faults.cut_streams.store(0, Ordering::Relaxed);
    }
    for daemon in world.live() {
        daemon.gate.set(GateState::Open);
    }
}
