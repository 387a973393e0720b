//! The store's spaces as a daemon reads them: at the store, or from the copy of a peer of its zone.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use harrierward_decisions::{DecisionLog, Record};
use harrierward_external::{
    ChangePage, PageStart, PlatformError, PlatformErrorKind, Row, RowReading, SpacePage,
    WatchedTable,
};
use tokio::time::{Instant, sleep};

use crate::peer_copies::{PeerAnswer, PeerCopies, SpaceAsk};
use crate::shared_space::SharedSpace;
use crate::sources::{RelayMode, Source, SourceFailure, Sources};
use crate::tree::RelayPeer;

/// How long a peer holds a question: the age of what it tells grows by no more on the way.
pub(crate) const HOLD: Duration = Duration::from_secs(1);

/// Age of a peer's proof from which on the store is asked: twice what a reader in good order reaches between two answers, and
/// less than half of the least time without contact that the users' large sites allow.
const OLD_PROOF: Duration = Duration::from_millis(2_500);

/// Rows read of a space before the members are known: what is larger waits until it is clear who reads it for whom.
const FIRST_LOOK_ROWS: usize = 128;

/// Pause between two looks at the members.
const SETTLE_LOOK: Duration = Duration::from_millis(20);

/// How long a daemon that starts waits for peers that start as well, before it reads the store for itself, and over how much
/// longer such daemons are spread. It covers the way of all rows down a tree of small machines.
const START_PATIENCE: Duration = Duration::from_secs(6);
const START_SPREAD: Duration = Duration::from_secs(6);

/// How long after a peer's last answer a follower leaves it to peers to find what a forgotten history held.
const HISTORY_OF_PEERS: Duration = Duration::from_secs(5);

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
        self.lock().sources.note_failure(source, failure, now);
        self.log.record(&Record::SpaceSourceFailed {
            space,
            source: source_name(source),
            cause,
        });
    }

    /// Waits until the members are known well enough to tell how spaces are read.
    async fn settled(&self) -> RelayMode {
        loop {
            let mode = self.mode();
            if mode != RelayMode::Unsettled {
                return mode;
            }
            sleep(SETTLE_LOOK).await;
        }
    }

    /// A first page of a daemon that does not know its fleet yet. A space that is small is read; of a larger one the page counts
    /// only if the daemon then reads for itself.
    async fn first_look(
        &self,
        space: &str,
        start: PageStart<'_>,
    ) -> Result<SpacePage, PlatformError> {
        let look = PageStart {
            most_rows: FIRST_LOOK_ROWS,
            ..start
        };
        let page = self.store.read_page(space, look).await?;
        if page.next.is_none() || self.settled().await == RelayMode::Direct {
            return Ok(page);
        }
        self.read_whole(space, start).await
    }

    /// Reads a whole space along the zone's tree, or the next page of it at the store.
    async fn read_whole(
        &self,
        space: &str,
        start: PageStart<'_>,
    ) -> Result<SpacePage, PlatformError> {
        let has_copy = self.known(space).1.is_some();
        let now = harrierward_clock::now();
        let sources = self.lock().sources.for_whole_read(has_copy, now);
        for source in sources {
            let Source::Peer(peer) = &source else {
                self.note_answer(space, &source);
                return self.store.read_page(space, start).await;
            };
            let is_followed = self
                .lock()
                .sources
                .followed(harrierward_clock::now())
                .as_ref()
                == Some(peer);
            let hold = if is_followed { HOLD } else { Duration::ZERO };
            match self.ask(space, 0, peer, hold).await {
                PeerAnswer::Page(page) => {
                    self.note_answer(space, &source);
                    return Ok(whole_page(page));
                }
                // Its followers would all go to its own source at once, which it will have served first.
                PeerAnswer::NotReady if is_followed && self.has_patience(space) => {
                    return Err(starting(peer));
                }
                PeerAnswer::NotReady | PeerAnswer::HistoryLost => {}
                PeerAnswer::Failed(failure, cause) => {
                    self.note_failure(space, &source, failure, &cause);
                }
            }
        }
        self.store.read_page(space, start).await
    }

    /// True for as long as a space that was never read may wait for peers that start as well.
    fn has_patience(&self, space: &str) -> bool {
        if self.known(space).1.is_some() {
            return true;
        }
        let now = harrierward_clock::now();
        let mut state = self.lock();
        let until = state.patience.entry(space.to_owned());
        let until =
            until.or_insert_with(|| now + START_PATIENCE + START_SPREAD.mul_f64(rand::random()));
        now < *until
    }

    async fn changes(
        &self,
        space: &str,
        after: u64,
        wait: Duration,
    ) -> Result<ChangePage, PlatformError> {
        let sources = self.lock().sources.for_changes(harrierward_clock::now());
        let is_alone = sources.len() == 1;
        let mut failed = None;
        for source in sources {
            let answer = match &source {
                Source::Store => self.changes_of_store(space, after, wait, is_alone).await,
                Source::Peer(peer) => self.changes_of_peer(space, after, peer).await,
            };
            match answer {
                Ok(page) => {
                    self.note_answer(space, &source);
                    return Ok(page);
                }
                Err(error) if error.kind == PlatformErrorKind::HistoryLost => {
                    if source != Source::Store || !self.leaves_history_to_peers(space) {
                        return Err(error);
                    }
                    let kind = PlatformErrorKind::NotDone;
                    failed = Some(PlatformError { kind, ..error });
                }
                Err(error) => failed = Some(error),
            }
        }
        Err(failed.unwrap_or_else(|| no_source(space)))
    }

    /// True if the store's word that it has forgotten the history is for another daemon to heed: the reader of the zone reads the space
    /// whole, and its followers hear from it what they lack. All of them would read the store whole else, again and again for as long as
    /// its reads are stale.
    fn leaves_history_to_peers(&self, space: &str) -> bool {
        let state = self.lock();
        let is_follower = state.sources.mode(harrierward_clock::now()) == RelayMode::Relayed
            && !state.sources.is_reader();
        let answered = state.peer_answered_at.get(space);
        is_follower && answered.is_some_and(|at| harrierward_clock::age(*at) < HISTORY_OF_PEERS)
    }

    async fn changes_of_store(
        &self,
        space: &str,
        after: u64,
        wait: Duration,
        is_alone: bool,
    ) -> Result<ChangePage, PlatformError> {
        let wait = if is_alone { wait } else { wait.min(HOLD) };
        let answer = self.store.wait_changes(space, after, wait).await;
        if let Err(error) = &answer
            && error.kind != PlatformErrorKind::HistoryLost
            && !is_alone
        {
            let cause = error.to_string();
            self.note_failure(space, &Source::Store, SourceFailure::Silent, &cause);
        }
        answer
    }

    async fn changes_of_peer(
        &self,
        space: &str,
        after: u64,
        peer: &RelayPeer,
    ) -> Result<ChangePage, PlatformError> {
        let source = Source::Peer(peer.clone());
        match self.ask(space, after, peer, HOLD).await {
            PeerAnswer::Page(page) => {
                let age = page.proof.map(|proof| harrierward_clock::age(proof.as_of));
                if age.is_some_and(|age| age > OLD_PROOF) {
                    self.note_failure(space, &source, SourceFailure::Behind, "old proof");
                }
                Ok(page)
            }
            PeerAnswer::HistoryLost => Err(PlatformError::new(
                "relay.changes",
                &peer.id,
                PlatformErrorKind::HistoryLost,
                "the peer no longer knows the changes",
            )),
            PeerAnswer::NotReady => {
                self.note_failure(space, &source, SourceFailure::Behind, "not ready");
                Err(starting(peer))
            }
            PeerAnswer::Failed(failure, cause) => {
                self.note_failure(space, &source, failure, &cause);
                let kind = PlatformErrorKind::NotDone;
                Err(PlatformError::new("relay.changes", &peer.id, kind, cause))
            }
        }
    }
}

fn source_name(source: &Source) -> &str {
    match source {
        Source::Store => "store",
        Source::Peer(peer) => &peer.id,
    }
}

fn starting(peer: &RelayPeer) -> PlatformError {
    let kind = PlatformErrorKind::NotDone;
    PlatformError::new("relay.ask", &peer.id, kind, "has not read the space yet")
}

fn no_source(space: &str) -> PlatformError {
    let kind = PlatformErrorKind::NotDone;
    PlatformError::new("relay.changes", space, kind, "nobody to ask")
}

/// A peer's answer to who has nothing, as a page that holds all.
fn whole_page(page: ChangePage) -> SpacePage {
    let rows = page.changes.into_iter().filter_map(|change| {
        let value = change.value?;
        Some(Row {
            key: change.key,
            value,
            revision: change.revision,
        })
    });
    SpacePage {
        rows: rows.collect(),
        next: None,
        revision: page.revision,
        store_time_ms: page.store_time_ms,
        proof: page.proof,
    }
}

#[async_trait]
impl WatchedTable for Relay {
    async fn read_page(
        &self,
        space: &str,
        start: PageStart<'_>,
    ) -> Result<SpacePage, PlatformError> {
        match self.mode() {
            RelayMode::Relayed => self.read_whole(space, start).await,
            RelayMode::Unsettled if start.from.is_empty() => self.first_look(space, start).await,
            RelayMode::Unsettled | RelayMode::Direct => self.store.read_page(space, start).await,
        }
    }

    async fn read_row(&self, key: &str) -> Result<RowReading, PlatformError> {
        self.store.read_row(key).await
    }

    async fn wait_changes(
        &self,
        space: &str,
        after: u64,
        wait: Duration,
    ) -> Result<ChangePage, PlatformError> {
        self.changes(space, after, wait).await
    }
}
