//! What daemons tell each other of contents under which replicas ended.

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

/// Members told at once of an end that this daemon saw, and with each tick while there is news. Each tells as many: 520
/// daemons have heard after four rounds.
const TOLD_AT_ONCE: usize = 6;
const TOLD_A_TICK: usize = 3;

/// How long what is new is told with each tick.
const NEWS_FOR: Duration = Duration::from_millis(1_500);

/// Ticks between two tellings after that: one who missed all hears of it within the time in which daemons count as in touch.
const REMINDER_TICKS: u64 = 5;

/// Most contents in a datagram: 1.2 kB at three ends each.
const MOST_TOLD: usize = 24;

/// Members that tell one that has just joined.
const TELL_JOINED: f64 = 4.0;

impl QuarantineService {
    /// Tells some members: often while there is news, now and then for as long as anything is held back.
    pub(super) fn tell_some(&self, tick: u64, now: Instant) {
        let (is_empty, is_new) = {
            let ledger = self.ledger();
            (ledger.is_empty(), ledger.has_changed_within(NEWS_FOR, now))
        };
        if is_empty {
            return;
        }
        if is_new {
            self.tell(TOLD_A_TICK);
        } else if tick.is_multiple_of(REMINDER_TICKS) {
            self.tell(1);
        }
    }

    /// Tells what this daemon saw itself: some members at once, and all that reach the store.
    pub(super) fn make_known(&self) {
        self.tell(TOLD_AT_ONCE);
        self.inner.own_row.set_due();
    }

    fn tell(&self, most: usize) {
        let members = self.inner.members.load();
        let chosen = members.iter().choose_multiple(&mut rand::rng(), most);
        self.send(chosen.into_iter().copied());
    }

    /// Of many members only some tell one that has just joined.
    pub(super) fn tell_joined(&self, joined: Vec<SocketAddr>) {
        #[allow(clippy::cast_precision_loss)]
        let share = TELL_JOINED / self.inner.members.load().len().max(1) as f64;
        let chosen = joined.into_iter().filter(|_| rand::random::<f64>() < share);
        self.send(chosen);
    }

    fn send(&self, addresses: impl Iterator<Item = SocketAddr>) {
        let told = {
            let ledger = self.ledger();
            let standings = self.inner.standings.load();
            ledger.to_announce(&standings, harrierward_clock::now(), MOST_TOLD)
        };
        let Some(socket) = self.inner.socket.get().filter(|_| !told.is_empty()) else {
            return;
        };
        let datagram = NodeDatagram {
            kind: Some(node_datagram::Kind::CrashNews(to_message(&told))),
        };
        let bytes = encode(&datagram);
        for address in addresses {
            // A datagram that is lost is made good by the next telling.
            let _ = socket.try_send_to(&bytes, address);
        }
    }

    pub(super) fn take_news(&self, news: &CrashNews) {
        let told: Vec<ReportedContent> = news.contents.iter().map(told_content).collect();
        let now = harrierward_clock::now();
        let is_news = self.ledger().merge(&told, now);
        if is_news {
            self.judge();
        }
        let ends = told.iter().flat_map(|content| &content.crashes);
        for start in ends.map(|end| end.replica) {
            self.take_end(start);
        }
    }

    /// Another daemon says that a replica has ended to which connections of this one broke.
    fn take_end(&self, start: ReplicaInstance) {
        if let Some(replica) = self.inner.breaks.pending(start) {
            self.confirm(start, &replica, "peer");
        }
    }
}

fn to_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

pub(super) fn to_message(told: &[ReportedContent]) -> CrashNews {
    let contents = told.iter().map(|one| CrashedContent {
        content: one.content.0,
        ends: one
            .crashes
            .iter()
            .map(|end| ReplicaEnd {
                replica: end.replica.0,
                age_ms: to_millis(end.age),
            })
            .collect(),
        cleared_ms: one
            .cleared
            .map_or(0, |cleared| to_millis(cleared.age).saturating_add(1)),
        clearing: one.cleared.map_or(0, |cleared| cleared.number),
    });
    CrashNews {
        contents: contents.collect(),
    }
}

fn told_content(message: &CrashedContent) -> ReportedContent {
    let ends = message.ends.iter().map(|end| ReportedCrash {
        replica: ReplicaInstance(end.replica),
        age: Duration::from_millis(u64::from(end.age_ms)),
    });
    let cleared = message.cleared_ms.checked_sub(1);
    ReportedContent {
        content: ContentId(message.content),
        crashes: ends.collect(),
        cleared: cleared.map(|age_ms| ReportedClearing {
            number: message.clearing,
            age: Duration::from_millis(u64::from(age_ms)),
        }),
    }
}
