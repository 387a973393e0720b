//! Whole reads and questions for changes, from one source after the other.

use std::time::Duration;

use async_trait::async_trait;
use harrierward_external::{
    ChangePage, PageStart, PlatformError, PlatformErrorKind, Row, RowReading, SpacePage,
    WatchedTable,
};
use tokio::time::sleep;

use crate::peer_copies::PeerAnswer;
use crate::sources::{RelayMode, Source, SourceFailure};
use crate::tree::RelayPeer;

use super::{HOLD, Relay};

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

impl Relay {
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
