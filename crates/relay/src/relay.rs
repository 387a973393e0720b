//! Reads of the store's spaces, from the store or from the copy of a peer in the zone.

mod reading;

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use harrierward_decisions::{DecisionLog, Record};
use harrierward_external::WatchedTable;
use tokio::time::Instant;

use crate::peer_copies::{PeerCopies, RelayReply, SpaceRequest};
use crate::shared_space::SharedSpace;
use crate::sources::{RelayMode, Source, SourceFailure, Sources};
use crate::tree::RelayPeer;

/// Maximum time for which a peer holds a request; bounds how much the proof ages per step down the tree.
pub(crate) const MAX_HOLD: Duration = Duration::from_secs(1);

/// Coalescing interval of followers and readers; changes in between are relayed together at each step of the tree.
const RELAY_INTERVAL: Duration = Duration::from_millis(200);

/// A table that reads spaces along the zone's tree, with a shared copy of each space.
pub struct Relay {
    store: Arc<dyn WatchedTable>,
    peers: Arc<dyn PeerCopies>,
    spaces: HashMap<&'static str, Arc<SharedSpace>>,
    state: Mutex<State>,
    log: DecisionLog,
}

struct State {
    sources: Sources,
    /// Id of the last source by space; empty for the store.
    last_source: HashMap<String, String>,
    /// Time of the last reply of a peer, by space.
    last_peer_reply: HashMap<String, Instant>,
    /// Spaces and sources whose failure was logged and that haven't replied since.
    failing: HashSet<(String, Source)>,
    /// Until when a space without a copy waits for starting peers.
    start_deadlines: HashMap<String, Instant>,
    logged_mode: Option<(RelayMode, bool)>,
}

impl Relay {
    /// Creates a relay without known members.
    pub fn new(
        own: &str,
        store: Arc<dyn WatchedTable>,
        peers: Arc<dyn PeerCopies>,
        spaces: &[&'static str],
        log: DecisionLog,
    ) -> Self {
        let spaces = spaces.iter().map(|space| (*space, Arc::default()));
        Self {
            store,
            peers,
            spaces: spaces.collect(),
            state: Mutex::new(State {
                sources: Sources::new(own, harrierward_clock::now()),
                last_source: HashMap::new(),
                last_peer_reply: HashMap::new(),
                failing: HashSet::new(),
                start_deadlines: HashMap::new(),
                logged_mode: None,
            }),
            log,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the shared copy of a space; `None` if the space isn't relayed.
    pub fn space(&self, space: &str) -> Option<&Arc<SharedSpace>> {
        self.spaces.get(space)
    }

    /// Updates the members of the own zone that may be followed, and the number of members of the whole fleet.
    pub fn set_members(&self, zone: &[RelayPeer], fleet: usize) {
        let now = harrierward_clock::now();
        let mut state = self.lock();
        state.sources.set_members(zone, fleet, now);
        state.failing.retain(|(_, source)| match source {
            Source::Store => true,
            Source::Peer(peer) => zone.contains(peer),
        });
        let mode = state.sources.mode(now);
        let is_reader = state.sources.is_reader();
        if mode == RelayMode::Unsettled || state.logged_mode == Some((mode, is_reader)) {
            return;
        }
        state.logged_mode = Some((mode, is_reader));
        drop(state);
        self.log.record(&Record::RelayMode {
            mode: if mode == RelayMode::Relayed {
                "relayed"
            } else {
                "direct"
            },
            zone_members: zone.len(),
            is_reader,
        });
    }

    fn mode(&self) -> RelayMode {
        self.lock().sources.mode(harrierward_clock::now())
    }

    /// True if spaces are read along the zone's tree.
    pub fn is_relaying(&self) -> bool {
        self.mode() == RelayMode::Relayed
    }

    /// True if a peer sent the last update of a space.
    pub fn is_follower(&self, space: &str) -> bool {
        let state = self.lock();
        let by = state.last_source.get(space);
        by.is_some_and(|by| !by.is_empty())
    }

    /// Returns the coalescing interval of followers and of the zone's reader; `None` if it depends on the fleet's size.
    pub fn interval(&self, space: &str) -> Option<Duration> {
        let is_reader = self.is_relaying() && self.lock().sources.is_reader();
        (is_reader || self.is_follower(space)).then_some(RELAY_INTERVAL)
    }

    fn note_success(&self, space: &str, source: &Source) {
        let name = match source {
            Source::Store => "",
            Source::Peer(peer) => &peer.id,
        };
        let before = {
            let mut state = self.lock();
            state.start_deadlines.remove(space);
            if !state.failing.is_empty() {
                state.failing.remove(&(space.to_owned(), source.clone()));
            }
            if matches!(source, Source::Peer(_)) {
                let now = harrierward_clock::now();
                state.last_peer_reply.insert(space.to_owned(), now);
            }
            if state.last_source.get(space).is_some_and(|by| by == name) {
                return;
            }
            let before = state.last_source.insert(space.to_owned(), name.to_owned());
            if before.is_none() && name.is_empty() {
                return;
            }
            before
        };
        let (revision, age) = self.copy_state(space);
        self.log.record(&Record::SpaceSource {
            space,
            source: source_name(source),
            before: before
                .as_deref()
                .map_or("", |by| if by.is_empty() { "store" } else { by }),
            revision,
            proof_age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        });
    }

    async fn request_peer(
        &self,
        space: &str,
        after: u64,
        peer: &RelayPeer,
        hold: Duration,
    ) -> RelayReply {
        let (_, known_age) = self.copy_state(space);
        let request = SpaceRequest {
            space: space.to_owned(),
            after,
            hold,
            known_age,
        };
        self.peers.request(peer, request).await
    }

    /// Returns the revision of the own copy, and the age of its proof.
    fn copy_state(&self, space: &str) -> (u64, Option<Duration>) {
        let Some(shared) = self.space(space) else {
            return (0, None);
        };
        let copy = shared.copy();
        (copy.revision(), copy.as_of().map(harrierward_clock::age))
    }

    fn note_failure(&self, space: &str, source: &Source, failure: SourceFailure, cause: &str) {
        let now = harrierward_clock::now();
        let is_new = {
            let mut state = self.lock();
            state.sources.note_failure(source, failure, now);
            state.failing.insert((space.to_owned(), source.clone()))
        };
        if !is_new {
            return;
        }
        self.log.record(&Record::SpaceSourceFailed {
            space,
            source: source_name(source),
            cause,
        });
    }
}

fn source_name(source: &Source) -> &str {
    match source {
        Source::Store => "store",
        Source::Peer(peer) => &peer.id,
    }
}
