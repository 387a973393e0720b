//! Injects overlapping faults at random times, then removes all of them.

use std::sync::atomic::Ordering;
use std::time::Duration;

use harrierward_emulator::{EngineHandle, StoreFaults};
use rand::Rng;
use tokio::time::sleep;

use super::gate::GateState;
use super::world::{DAEMONS, World};

/// Number of cases in [`inject`].
const FAULT_KINDS: usize = 12;

/// Injects faults until `until`, then removes all of them.
pub async fn run(world: World, until: Duration) {
    while world.now() < until {
        let pause = world.random(|random| random.random_range(100..3500));
        sleep(Duration::from_millis(pause)).await;
        let kind = world.random(|random| random.random_range(0..FAULT_KINDS));
        tokio::spawn(inject(world.clone(), kind, until));
    }
    heal(&world).await;
}

fn random_engine(world: &World) -> (String, EngineHandle) {
    let index = world.random(|random| random.random_range(0..world.engines.len()));
    let (name, engine) = world.engines.iter().nth(index).expect("there are engines");
    (name.clone(), engine.clone())
}

fn random_millis(world: &World, min: u64, max: u64) -> Duration {
    Duration::from_millis(world.random(|random| random.random_range(min..max)))
}

async fn inject(world: World, kind: usize, until: Duration) {
    match kind {
        0 => lose_daemon(&world, until).await,
        1 => pause_daemon(&world, until).await,
        2 => {
            store_fault(
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
            store_fault(
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
            store_fault(
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
        6 => crash_engine(&world).await,
        7 => freeze_engine(&world, until).await,
        8 => corrupt_event_streams(&world),
        9 => cut_network(&world, until).await,
        10 => stop_daemon(&world).await,
        _ => remove_engine(&world).await,
    }
}

async fn lose_daemon(world: &World, until: Duration) {
    // Keeps another daemon live for the takeover.
    if world.live().len() < DAEMONS {
        return;
    }
    let Ok(daemon) = world.random_daemon() else {
        return;
    };
    world.recorder.fault("daemon lost");
    world.kill(&daemon);
    sleep(random_millis(world, 500, 5000)).await;
    if world.now() < until + Duration::from_secs(5) {
        let _ = world.start_daemon();
    }
}

async fn pause_daemon(world: &World, until: Duration) {
    let Ok(daemon) = world.random_daemon() else {
        return;
    };
    world.recorder.fault("daemon paused");
    daemon.gate.set(GateState::Paused);
    let length = random_millis(world, 200, 20_000);
    sleep(length.min(until.saturating_sub(world.now()))).await;
    daemon.gate.set(GateState::Open);
}

async fn store_fault(world: &World, kind: &'static str, faults: StoreFaults, until: Duration) {
    world.recorder.fault(kind);
    world.platform.faults().set(faults);
    let length = random_millis(world, 300, 12_000);
    sleep(length.min(until.saturating_sub(world.now()))).await;
    world.platform.faults().set(StoreFaults::default());
}

async fn crash_engine(world: &World) {
    let (_, engine) = random_engine(world);
    world.recorder.fault("engine crashed");
    engine.faults().down.store(true, Ordering::Relaxed);
    engine.crash();
    sleep(random_millis(world, 100, 5000)).await;
    engine.faults().down.store(false, Ordering::Relaxed);
}

async fn freeze_engine(world: &World, until: Duration) {
    let (_, engine) = random_engine(world);
    world.recorder.fault("engine frozen");
    engine.faults().frozen.store(true, Ordering::Relaxed);
    let length = random_millis(world, 100, 8000);
    sleep(length.min(until.saturating_sub(world.now()))).await;
    engine.faults().frozen.store(false, Ordering::Relaxed);
}

fn corrupt_event_streams(world: &World) {
    let (_, engine) = random_engine(world);
    world.recorder.fault("crossed, doubled and cut events");
    let faults = engine.faults();
    faults.cross_events.store(20, Ordering::Relaxed);
    faults.repeat_events.store(20, Ordering::Relaxed);
    faults.cut_streams.store(3, Ordering::Relaxed);
}

async fn cut_network(world: &World, until: Duration) {
    let live = world.live();
    if live.len() < 2 {
        return;
    }
    world.recorder.fault("network cut");
    world.network.cut(&live[0].address, &live[1].address);
    world.network.set_loss(0.1);
    let length = random_millis(world, 500, 10_000);
    sleep(length.min(until.saturating_sub(world.now()))).await;
    world.network.heal();
    world.network.set_loss(0.0);
}

/// Starts a replacement, then drains and stops a daemon; records a drain that interrupted work.
async fn stop_daemon(world: &World) {
    if world.live().len() < DAEMONS {
        return;
    }
    let Ok(daemon) = world.random_daemon() else {
        return;
    };
    world.recorder.fault("planned stop");
    let _ = world.start_daemon();
    let is_complete = tokio::select! {
        biased;
        () = daemon.gate.closed() => return,
        is_complete = daemon.node.drain() => is_complete,
    };
    if !is_complete {
        world
            .recorder
            .lock()
            .interrupted_drains
            .push(daemon.member.clone());
    }
    world.kill(&daemon);
}

/// Makes an engine leave for good, at most one of each service.
async fn remove_engine(world: &World) {
    let (name, engine) = random_engine(world);
    let service = name.split('-').next().unwrap_or_default().to_owned();
    let at = world.now();
    {
        let mut history = world.recorder.lock();
        let others = history.leaving_since.keys();
        let same = others.filter(|left| left.starts_with(&service)).count();
        if same > 0 || history.leaving_since.contains_key(&name) {
            return;
        }
        history.leaving_since.insert(name, at);
    }
    world.recorder.fault("engine leaving");
    engine.leave();
}

async fn heal(world: &World) {
    // Lets faults injected just before `until` take effect before they are removed.
    sleep(Duration::from_millis(100)).await;
    world.platform.faults().set(StoreFaults::default());
    world.network.heal();
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
