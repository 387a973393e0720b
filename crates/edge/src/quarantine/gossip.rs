//! Gossip of crash reports between daemons.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use harrierward_quarantine::{
    ContentId, PartId, ReplicaInstance, Reported, ReportedClearing, ReportedCrash, Subject,
};
use harrierward_wire::{
    CrashNews, CrashedContent, CrashedPart, NodeDatagram, ReplicaEnd, encode, node_datagram,
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

/// Most subjects in a datagram; with three crashes each it is 1.2 kB, below the usual MTU.
const DATAGRAM_SUBJECTS: usize = 24;

/// Most subjects that are gossiped in one round. A crash concerns all requests at the replica with all parts of their
/// prompts; which of these is the cause shows only when the crashes that several daemons observe are added up.
const MAX_SUBJECTS: usize = 4 * DATAGRAM_SUBJECTS;

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
        let reports = {
            let ledger = self.ledger();
            let statuses = self.inner.statuses.load();
            ledger.to_announce(&statuses, harrierward_clock::now(), MAX_SUBJECTS)
        };
        let Some(socket) = self.inner.socket.get().filter(|_| !reports.is_empty()) else {
            return;
        };
        let datagrams = reports.chunks(DATAGRAM_SUBJECTS).map(|reports| {
            encode(&NodeDatagram {
                kind: Some(node_datagram::Kind::CrashNews(to_message(reports))),
            })
        });
        let datagrams: Vec<Vec<u8>> = datagrams.collect();
        for address in addresses {
            for datagram in &datagrams {
                // Loss is tolerated: later rounds repeat the reports.
                let _ = socket.try_send_to(datagram, address);
            }
        }
    }

    pub(super) fn merge_reports(&self, reports: &CrashNews, source: &'static str) {
        let contents = reports.contents.iter().map(reported_content);
        let parts = reports.parts.iter().map(reported_part);
        let reported: Vec<Reported> = contents.chain(parts).collect();
        let now = harrierward_clock::now();
        let is_new = {
            let mut ledger = self.ledger();
            let is_new = ledger.merge(&reported, now);
            let parts = reports.parts.iter().map(|report| PartId(report.part));
            self.prove_parts(&mut ledger, parts) | is_new
        };
        if is_new {
            self.update_statuses(source);
        }
        let crashes = reported.iter().flat_map(|one| &one.crashes);
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

pub(super) fn to_message(reports: &[Reported]) -> CrashNews {
    let mut message = CrashNews::default();
    for reported in reports {
        let ends = reported.crashes.iter().map(|crash| ReplicaEnd {
            replica: crash.replica.0,
            age_ms: to_millis(crash.age),
        });
        let ends = ends.collect();
        let cleared_ms = reported
            .cleared
            .map_or(0, |cleared| to_millis(cleared.age).saturating_add(1));
        let clearing = reported.cleared.map_or(0, |cleared| cleared.number);
        match reported.subject {
            Subject::Content(content) => message.contents.push(CrashedContent {
                content: content.0,
                ends,
                cleared_ms,
                clearing,
            }),
            Subject::Part(part) => message.parts.push(CrashedPart {
                part: part.0,
                ends,
                cleared_ms,
                clearing,
                companions: reported.companions.iter().map(|part| part.0).collect(),
            }),
        }
    }
    message
}

fn reported_content(message: &CrashedContent) -> Reported {
    Reported {
        subject: Subject::Content(ContentId(message.content)),
        crashes: reported_crashes(&message.ends),
        cleared: reported_clearing(message.cleared_ms, message.clearing),
        companions: BTreeSet::new(),
    }
}

fn reported_part(message: &CrashedPart) -> Reported {
    Reported {
        subject: Subject::Part(PartId(message.part)),
        crashes: reported_crashes(&message.ends),
        cleared: reported_clearing(message.cleared_ms, message.clearing),
        companions: message.companions.iter().copied().map(PartId).collect(),
    }
}

fn reported_crashes(ends: &[ReplicaEnd]) -> Vec<ReportedCrash> {
    let crashes = ends.iter().map(|crash| ReportedCrash {
        replica: ReplicaInstance(crash.replica),
        age: Duration::from_millis(u64::from(crash.age_ms)),
    });
    crashes.collect()
}

/// `cleared_ms` is the age plus one; 0 means that it wasn't cleared.
fn reported_clearing(cleared_ms: u32, number: u32) -> Option<ReportedClearing> {
    let age_ms = cleared_ms.checked_sub(1)?;
    Some(ReportedClearing {
        number,
        age: Duration::from_millis(u64::from(age_ms)),
    })
}
