//! Exchange of the operator's rows between daemons, for those cut off from the store: evacuated zones in full, and
//! the configuration's version, whose content is fetched from the peer that announced it.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use harrierward_decisions::{DecisionLog, Record};
use harrierward_relay::SpaceUpdate;
use harrierward_serving::{EvacuationState, EvacuationUpdate};
use harrierward_wire::{EvacuatedZone, Evacuations};
use tokio::time::{Instant, sleep, timeout};

use crate::discovery::Discovery;
use crate::peer_rows::{PEER_TIMEOUT, fetch_configuration, to_row};
use crate::pool::ConnectionPool;

/// Interval at which a newer version announced by a peer is checked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// How long peers may be ahead before the store's feed counts as having skipped the change. A shorter time would
/// fetch from peers what the feed is about to deliver.
const FEED_LAG_LIMIT: Duration = Duration::from_millis(1_000);

/// Since when peers have announced versions that this daemon lacks.
#[derive(Debug, Clone, Copy)]
struct Behind {
    /// Version in force in this daemon.
    version: u64,
    since: Instant,
}

/// A newer version held by a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
struct NewerVersion {
    version: u64,
    /// The peer's control address.
    address: String,
}

/// Sends and receives updates of the operator's rows between daemons.
pub struct PeerUpdates {
    discovery: Arc<Discovery>,
    ahead: Mutex<Option<NewerVersion>>,
    behind: Mutex<Option<Behind>>,
    log: DecisionLog,
}

impl PeerUpdates {
    /// Starts without updates from peers.
    pub fn new(discovery: Arc<Discovery>, log: DecisionLog) -> Self {
        Self {
            discovery,
            ahead: Mutex::default(),
            behind: Mutex::default(),
            log,
        }
    }

    fn ahead(&self) -> std::sync::MutexGuard<'_, Option<NewerVersion>> {
        self.ahead.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the evacuations to send to peers.
    pub fn evacuations(&self) -> Evacuations {
        evacuations_to_message(&self.discovery.evacuations())
    }

    /// Returns the configuration version to announce to peers; 0 if there is none.
    pub fn configuration_version(&self) -> u64 {
        self.discovery.configuration_version()
    }

    /// Merges the evacuations received from a peer.
    pub fn merge_evacuations(&self, received: Evacuations, peer: &str) {
        self.discovery
            .merge_evacuations(&evacuations_from_message(received), peer);
    }

    /// Notes a version announced by a peer whose control address is `address`; ignored unless this daemon's proof is
    /// stale or its feed lags, since a working feed delivers the version itself. A fresh proof alone isn't enough: a
    /// feed that has skipped a change still renews the proof.
    pub fn note_peer_version(&self, version: u64, address: impl FnOnce() -> Option<String>) {
        let own = self.discovery.configuration_version();
        if version <= own || !(self.is_feed_lagging(own) || self.discovery.is_stale()) {
            return;
        }
        let mut ahead = self.ahead();
        if ahead.as_ref().is_some_and(|known| known.version >= version) {
            return;
        }
        *ahead = address().map(|address| NewerVersion { version, address });
    }

    /// True if peers have been ahead of version `own` for longer than the store's feed takes.
    fn is_feed_lagging(&self, own: u64) -> bool {
        let mut behind = self.behind.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let known = behind.filter(|known| known.version == own);
        let since = known.map_or(now, |known| known.since);
        *behind = Some(Behind {
            version: own,
            since,
        });
        now.saturating_duration_since(since) >= FEED_LAG_LIMIT
    }

    /// Fetches newer configurations from peers; never returns.
    pub async fn catch_up(self: Arc<Self>, pool: ConnectionPool) {
        loop {
            sleep(CHECK_INTERVAL).await;
            let ahead = self.ahead().take();
            if let Some(ahead) = ahead {
                self.fetch(&pool, &ahead).await;
            }
        }
    }

    async fn fetch(&self, pool: &ConnectionPool, ahead: &NewerVersion) {
        if ahead.version <= self.discovery.configuration_version() {
            return;
        }
        let response = timeout(PEER_TIMEOUT, fetch_configuration(pool, &ahead.address)).await;
        // A peer that is unresponsive or busy announces the version again in its next notice.
        let configuration = response.ok().flatten().and_then(|rows| rows.configuration);
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
            self.discovery.apply_configuration(&update, "peer");
        }
    }
}

/// Converts evacuations into their message.
pub fn evacuations_to_message(evacuations: &EvacuationUpdate) -> Evacuations {
    let zones = evacuations.zones.iter().map(|(zone, state)| EvacuatedZone {
        zone: zone.clone(),
        revision: state.revision,
        is_over: state.is_over,
    });
    Evacuations {
        complete_at: evacuations.complete_at,
        zones: zones.collect(),
    }
}

/// Converts a message into the evacuations that it carries.
pub fn evacuations_from_message(message: Evacuations) -> EvacuationUpdate {
    let zones = message.zones.into_iter().map(|entry| {
        let state = EvacuationState {
            revision: entry.revision,
            is_over: entry.is_over,
        };
        (entry.zone, state)
    });
    EvacuationUpdate {
        complete_at: message.complete_at,
        zones: zones.collect::<BTreeMap<String, EvacuationState>>(),
    }
}
