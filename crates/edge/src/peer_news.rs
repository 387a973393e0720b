//! What daemons tell each other of the operator's rows in passing, for those that the store turns away: evacuated zones
//! whole, since they are few, and the version of the configuration, which is fetched from the peer that told of it.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use harrierward_decisions::{DecisionLog, Record};
use harrierward_relay::SpaceUpdate;
use harrierward_serving::{EvacuationState, EvacuationUpdate};
use harrierward_wire::{EvacuatedZone, Evacuations};
use tokio::time::{Instant, sleep, timeout};

use crate::discovery::Discovery;
use crate::peer_rows::{PEER_TIMEOUT, ask_configuration, to_row};
use crate::pool::ConnectionPool;

/// Pause between two looks whether a peer is ahead.
const LOOK: Duration = Duration::from_millis(200);

/// How long peers may be ahead before the store's feed counts as one that has passed over the change: twice what a feed in good
/// order takes beside a slow store, and half of the time in which a configuration is to be in force. Whoever is not asked before
/// costs nothing, since nearly all changes are heard of from the store within this time.
const UNTOLD_FOR: Duration = Duration::from_millis(1_000);

/// Since when peers name versions that this daemon lacks.
#[derive(Debug, Clone, Copy)]
struct Behind {
    /// The version in force here.
    version: u64,
    since: Instant,
}

/// What a peer has that this daemon lacks.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Ahead {
    version: u64,
    /// Address at which it answers control calls.
    address: String,
}

/// The news that passes between daemons.
pub struct PeerNews {
    discovery: Arc<Discovery>,
    ahead: Mutex<Option<Ahead>>,
    behind: Mutex<Option<Behind>>,
    log: DecisionLog,
}

impl PeerNews {
    /// Nothing was heard yet.
    pub fn new(discovery: Arc<Discovery>, log: DecisionLog) -> Self {
        Self {
            discovery,
            ahead: Mutex::default(),
            behind: Mutex::default(),
            log,
        }
    }

    fn ahead(&self) -> std::sync::MutexGuard<'_, Option<Ahead>> {
        self.ahead.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What this daemon tells of evacuations.
    pub fn evacuations(&self) -> Evacuations {
        evacuations_message(&self.discovery.evacuations())
    }

    /// The version that it tells.
    pub fn configuration_version(&self) -> u64 {
        self.discovery.configuration_version()
    }

    /// A peer told what it knows of evacuations.
    pub fn take_evacuations(&self, told: Evacuations, peer: &str) {
        self.discovery
            .take_evacuations(&evacuation_news(told), peer);
    }

    /// A peer has a configuration of this version; `address` is where it answers control calls. While the own proof is
    /// good nobody is asked for a moment: a change that all hear of from the store would be fetched from peers by all. Then a peer
    /// is, since a feed may pass over a change and prove its contact all the same.
    pub fn take_version(&self, version: u64, address: impl FnOnce() -> Option<String>) {
        let own = self.discovery.configuration_version();
        if version <= own || !(self.is_untold(own) || self.discovery.is_stale()) {
            return;
        }
        let mut ahead = self.ahead();
        if ahead.as_ref().is_some_and(|known| known.version >= version) {
            return;
        }
        *ahead = address().map(|address| Ahead { version, address });
    }

    /// True if peers have been ahead of the version in force here for longer than the store's feed takes.
    fn is_untold(&self, own: u64) -> bool {
        let mut behind = self.behind.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let known = behind.filter(|known| known.version == own);
        let since = known.map_or(now, |known| known.since);
        *behind = Some(Behind {
            version: own,
            since,
        });
        now.saturating_duration_since(since) >= UNTOLD_FOR
    }

    /// Fetches newer configurations from peers, for as long as the process runs.
    pub async fn catch_up(self: Arc<Self>, pool: ConnectionPool) {
        loop {
            sleep(LOOK).await;
            let ahead = self.ahead().take();
            if let Some(ahead) = ahead {
                self.fetch(&pool, &ahead).await;
            }
        }
    }

    async fn fetch(&self, pool: &ConnectionPool, ahead: &Ahead) {
        if ahead.version <= self.discovery.configuration_version() {
            return;
        }
        let answer = timeout(PEER_TIMEOUT, ask_configuration(pool, &ahead.address)).await;
        // A peer that does not answer, or is busy with others, is named again by its next notice.
        let configuration = answer.ok().flatten().and_then(|rows| rows.configuration);
        let outcome = if configuration.is_some() {
            "answered"
        } else {
            "no answer"
        };
        self.log.record(&Record::PeerAsked {
            peer: &ahead.address,
            version: ahead.version,
            outcome,
        });
        if let Some(configuration) = configuration {
            let update = SpaceUpdate {
                written: vec![to_row(configuration)],
                ..SpaceUpdate::default()
            };
            self.discovery.take_configuration(&update, "peer");
        }
    }
}

/// The message that carries the news.
pub fn evacuations_message(news: &EvacuationUpdate) -> Evacuations {
    let zones = news.zones.iter().map(|(zone, mark)| EvacuatedZone {
        zone: zone.clone(),
        revision: mark.revision,
        is_over: mark.is_over,
    });
    Evacuations {
        complete_at: news.complete_at,
        zones: zones.collect(),
    }
}

/// The news that a message carries.
pub fn evacuation_news(message: Evacuations) -> EvacuationUpdate {
    let zones = message.zones.into_iter().map(|told| {
        let mark = EvacuationState {
            revision: told.revision,
            is_over: told.is_over,
        };
        (told.zone, mark)
    });
    EvacuationUpdate {
        complete_at: message.complete_at,
        zones: zones.collect::<BTreeMap<String, EvacuationState>>(),
    }
}
