//! Gossip of crash reports between daemons.

use std::net::SocketAddr;
use std::time::Duration;

use harrierward_quarantine::{
    ContentId, ReplicaInstance, ReportedClearing, ReportedContent, ReportedCrash,
};
use harrierward_wire::{
    CrashNews, CrashedContent, NodeDatagram, ReplicaEnd, encode, node_datagram,
};
use rand::seq::IteratorRandom;
use tokio::time::Instant;

use super::QuarantineService;

/// Gossip fan-out: immediately after a crash or clearing that this daemon observed, and at each tick while reports are
/// new.
const IMMEDIATE_FAN_OUT: usize = 6;
const TICK_FAN_OUT: usize = 3;

/// How long a change is gossiped at each tick.
const CHANGE_WINDOW: Duration = Duration::from_millis(1_500);

/// Ticks between two rounds after [`CHANGE_WINDOW`], for members that missed the earlier ones.
const REPEAT_TICKS: u64 = 5;

/// Most contents in a datagram; with three crashes each it is 1.2 kB, below the usual MTU.
const MAX_CONTENTS: usize = 24;

/// Expected number of members that send their reports to one that has just joined.
const JOIN_FAN_OUT: f64 = 4.0;

impl QuarantineService {
    /// Runs a gossip round: at each tick after a change, less often while any report is unexpired.
    pub(super) fn gossip(&self, tick: u64, now: Instant) {
        let (is_empty, is_new) = {
            let ledger = self.ledger();
            (
                ledger.is_empty(),
                ledger.has_changed_within(CHANGE_WINDOW, now),
            )
        };
        if is_empty {
            return;
        }
        if is_new {
            self.gossip_to(TICK_FAN_OUT);
        } else if tick.is_multiple_of(REPEAT_TICKS) {
            self.gossip_to(1);
        }
    }

    /// Publishes what this daemon observed itself: by gossip immediately, and by its row in the store.
    pub(super) fn publish(&self) {
        self.gossip_to(IMMEDIATE_FAN_OUT);
        self.inner.own_row.schedule_write();
    }

    fn gossip_to(&self, count: usize) {
        let members = self.inner.members.load();
        let chosen = members.iter().choose_multiple(&mut rand::rng(), count);
        self.send(chosen.into_iter().copied());
    }

    /// Sends the reports to each joined member with a probability of [`JOIN_FAN_OUT`] over the number of members.
    pub(super) fn send_to_joined(&self, joined: Vec<SocketAddr>) {
        #[allow(clippy::cast_precision_loss)]
        let share = JOIN_FAN_OUT / self.inner.members.load().len().max(1) as f64;
        let chosen = joined.into_iter().filter(|_| rand::random::<f64>() < share);
        self.send(chosen);
    }

    fn send(&self, addresses: impl Iterator<Item = SocketAddr>) {
        let contents = {
            let ledger = self.ledger();
            let statuses = self.inner.statuses.load();
            ledger.to_announce(&statuses, harrierward_clock::now(), MAX_CONTENTS)
        };
        let Some(socket) = self.inner.socket.get().filter(|_| !contents.is_empty()) else {
            return;
        };
        let datagram = NodeDatagram {
            kind: Some(node_datagram::Kind::CrashNews(to_message(&contents))),
        };
        let bytes = encode(&datagram);
        for address in addresses {
            // Loss is tolerated: later rounds repeat the reports.
            let _ = socket.try_send_to(&bytes, address);
        }
    }

    pub(super) fn merge_reports(&self, reports: &CrashNews, source: &'static str) {
        let contents: Vec<ReportedContent> =
            reports.contents.iter().map(reported_content).collect();
        let now = harrierward_clock::now();
        let is_new = self.ledger().merge(&contents, now);
        if is_new {
            self.update_statuses(source);
        }
        let crashes = contents.iter().flat_map(|content| &content.crashes);
        for instance in crashes.map(|crash| crash.replica) {
            self.note_reported_crash(instance);
        }
    }

    /// Confirms a crash reported by another daemon if connections of this one to the replica broke.
    fn note_reported_crash(&self, instance: ReplicaInstance) {
        if let Some(replica) = self.inner.broken_connections.pending(instance) {
            self.confirm_crash(instance, &replica, "peer");
        }
    }
}

fn to_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

pub(super) fn to_message(contents: &[ReportedContent]) -> CrashNews {
    let contents = contents.iter().map(|reported| CrashedContent {
        content: reported.content.0,
        ends: reported
            .crashes
            .iter()
            .map(|crash| ReplicaEnd {
                replica: crash.replica.0,
                age_ms: to_millis(crash.age),
            })
            .collect(),
        cleared_ms: reported
            .cleared
            .map_or(0, |cleared| to_millis(cleared.age).saturating_add(1)),
        clearing: reported.cleared.map_or(0, |cleared| cleared.number),
    });
    CrashNews {
        contents: contents.collect(),
    }
}

fn reported_content(message: &CrashedContent) -> ReportedContent {
    let crashes = message.ends.iter().map(|crash| ReportedCrash {
        replica: ReplicaInstance(crash.replica),
        age: Duration::from_millis(u64::from(crash.age_ms)),
    });
    let cleared = message.cleared_ms.checked_sub(1);
    ReportedContent {
        content: ContentId(message.content),
        crashes: crashes.collect(),
        cleared: cleared.map(|age_ms| ReportedClearing {
            number: message.clearing,
            age: Duration::from_millis(u64::from(age_ms)),
        }),
    }
}
