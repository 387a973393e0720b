//! The store's spaces as a daemon reads them: at the store, or from the copy of a peer of its zone.

mod reading;

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use harrierward_decisions::{DecisionLog, Record};
use harrierward_external::WatchedTable;
use tokio::time::Instant;

use crate::peer_copies::{PeerAnswer, PeerCopies, SpaceAsk};
use crate::shared_space::SharedSpace;
use crate::sources::{RelayMode, Source, SourceFailure, Sources};
use crate::tree::RelayPeer;

/// How long a peer holds a question: the age of what it tells grows by no more on the way.
pub(crate) const HOLD: Duration = Duration::from_secs(1);

/// Least time between two questions of one space after one that brought changes: what is gathered meanwhile comes at once, on
/// each of the few steps down the tree.
const RELAYED_INTERVAL: Duration = Duration::from_millis(200);

/// Where the spaces are read, and the copies that were read.
pub struct Relay {
    store: Arc<dyn WatchedTable>,
    peers: Arc<dyn PeerCopies>,
    spaces: HashMap<&'static str, Arc<SharedSpace>>,
    state: Mutex<State>,
    log: DecisionLog,
}

struct State {
    sources: Sources,
    /// Who answered last, by space: empty for the store.
    answered_by: HashMap<String, String>,
    /// When a peer last answered, by space.
    peer_answered_at: HashMap<String, Instant>,
    /// Spaces and sources whose failure was told, and that have not served since.
    failing: HashSet<(String, Source)>,
    /// Until when a space that was never read waits for peers.
    patience: HashMap<String, Instant>,
    logged_mode: Option<(RelayMode, bool)>,
}

impl Relay {
    /// The spaces of a daemon that knows nobody yet.
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
                answered_by: HashMap::new(),
                peer_answered_at: HashMap::new(),
                failing: HashSet::new(),
                patience: HashMap::new(),
                logged_mode: None,
            }),
            log,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The copy of a space; `None` for one that is not handed on.
    pub fn space(&self, space: &str) -> Option<&Arc<SharedSpace>> {
        self.spaces.get(space)
    }

    /// Takes the members of the own zone that may be followed, and the size of the fleet.
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

    /// True if spaces come along the zone's tree.
    pub fn is_relaying(&self) -> bool {
        self.mode() == RelayMode::Relayed
    }

    /// True if a space comes from a peer at present.
    pub fn is_follower(&self, space: &str) -> bool {
        let state = self.lock();
        let by = state.answered_by.get(space);
        by.is_some_and(|by| !by.is_empty())
    }

    /// Least time between two answers with changes, if the fleet's size does not tell it: for followers, and for who reads for
    /// them.
    pub fn interval(&self, space: &str) -> Option<Duration> {
        let is_reader = self.is_relaying() && self.lock().sources.is_reader();
        (is_reader || self.is_follower(space)).then_some(RELAYED_INTERVAL)
    }

    fn note_answer(&self, space: &str, source: &Source) {
        let name = match source {
            Source::Store => "",
            Source::Peer(peer) => &peer.id,
        };
        let before = {
            let mut state = self.lock();
            state.patience.remove(space);
            if !state.failing.is_empty() {
                state.failing.remove(&(space.to_owned(), source.clone()));
            }
            if matches!(source, Source::Peer(_)) {
                let now = harrierward_clock::now();
                state.peer_answered_at.insert(space.to_owned(), now);
            }
            if state.answered_by.get(space).is_some_and(|by| by == name) {
                return;
            }
            let before = state.answered_by.insert(space.to_owned(), name.to_owned());
            if before.is_none() && name.is_empty() {
                return;
            }
            before
        };
        let (revision, age) = self.known(space);
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

    async fn ask(&self, space: &str, after: u64, peer: &RelayPeer, hold: Duration) -> PeerAnswer {
        let (_, known_age) = self.known(space);
        let ask = SpaceAsk {
            space: space.to_owned(),
            after,
            hold,
            known_age,
        };
        self.peers.ask(peer, ask).await
    }

    /// Revision and age of the own copy.
    fn known(&self, space: &str) -> (u64, Option<Duration>) {
        let Some(shared) = self.space(space) else {
            return (0, None);
        };
        let copy = shared.copy();
        (copy.revision(), copy.as_of().map(harrierward_clock::age))
    }

    fn note_failure(&self, space: &str, source: &Source, failure: SourceFailure, cause: &str) {
        let now = harrierward_clock::now();
        let is_news = {
            let mut state = self.lock();
            state.sources.note_failure(source, failure, now);
            state.failing.insert((space.to_owned(), source.clone()))
        };
        if !is_news {
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
