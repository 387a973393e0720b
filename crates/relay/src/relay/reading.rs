//! Full reads and requests for changes, tried at one source after the other.

use std::time::Duration;

use async_trait::async_trait;
use harrierward_external::{
    ChangePage, FreshnessProof, PageStart, PlatformError, PlatformErrorKind, Row, RowCheck,
    RowRead, RowVersion, SpacePage, WatchedTable,
};
use tokio::time::sleep;

use crate::peer_copies::RelayReply;
use crate::shared_space::MIN_PROOF_GAIN;
use crate::sources::{RelayMode, Source, SourceFailure};
use crate::tree::RelayPeer;

use super::{MAX_HOLD, Relay};

/// Maximum time for which the store holds a request while the zone relays: the reader renews its proof well within
/// [`MAX_HOLD`], so that a hold that brings a follower no newer proof shows that something is wrong.
const STORE_HOLD: Duration = Duration::from_millis(600);

/// Age above which the proof of the zone's reader counts as a failure of the followed peer, so that the next request goes
/// to another source. A sound reader's proof reaches twice [`STORE_HOLD`] between two responses of the store.
const MAX_READER_PROOF_AGE: Duration = Duration::from_millis(1_500);

/// Additional age for each step of the tree between the reader and the followed peer, in which that peer finds another
/// source itself: otherwise the whole zone would ask the store for a reader's failure.
const PROOF_AGE_PER_STEP: Duration = Duration::from_millis(600);

/// Maximum number of rows read before the members are known; reads of larger spaces wait for the relay mode.
const FIRST_PAGE_ROWS: usize = 128;

/// Interval of polls for the relay mode.
const MODE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long a starting daemon waits for starting peers before it reads the store itself. Covers the time in which all
/// rows pass down the tree.
const START_TIMEOUT: Duration = Duration::from_secs(6);
/// Jitter added to the timeout, against a thundering herd of starting daemons at the store.
const START_JITTER: Duration = Duration::from_secs(6);

/// How long after a peer's last reply a follower ignores a lost history of the store and relies on peers.
const PEER_HISTORY_WINDOW: Duration = Duration::from_secs(5);

impl Relay {
    /// Waits until the relay mode is known, and returns it.
    async fn settled_mode(&self) -> RelayMode {
        loop {
            let mode = self.mode();
            if mode != RelayMode::Unsettled {
                return mode;
            }
            sleep(MODE_POLL_INTERVAL).await;
        }
    }

    /// Reads the first page while the relay mode is unknown. The page of a larger space is used only in direct mode.
    async fn read_first_page(
        &self,
        space: &str,
        start: PageStart<'_>,
    ) -> Result<SpacePage, PlatformError> {
        let first = PageStart {
            max_rows: FIRST_PAGE_ROWS,
            ..start
        };
        let page = self.store.read_page(space, first).await?;
        if page.next.is_none() || self.settled_mode().await == RelayMode::Direct {
            return Ok(page);
        }
        self.read_full(space, start).await
    }

    /// Reads a full space from a peer, or its next page from the store.
    async fn read_full(
        &self,
        space: &str,
        start: PageStart<'_>,
    ) -> Result<SpacePage, PlatformError> {
        let has_copy = self.copy_state(space).1.is_some();
        let now = harrierward_clock::now();
        let sources = self.lock().sources.for_full_read(has_copy, now);
        for source in sources {
            let Source::Peer(peer) = &source else {
                self.note_success(space, &source);
                return self.store.read_page(space, start).await;
            };
            let is_followed = self
                .lock()
                .sources
                .followed(harrierward_clock::now())
                .as_ref()
                == Some(peer);
            let hold = if is_followed {
                MAX_HOLD
            } else {
                Duration::ZERO
            };
            match self.request_peer(space, 0, peer, hold).await {
                RelayReply::Page(page) => {
                    self.note_success(space, &source);
                    return Ok(full_page(page));
                }
                // Avoids that all followers of a starting peer move to the peer's own source at once.
                RelayReply::NotReady if is_followed && self.may_wait_for_peers(space) => {
                    return Err(starting(peer));
                }
                RelayReply::NotReady | RelayReply::HistoryLost => {}
                RelayReply::Failed(failure, cause) => {
                    self.note_failure(space, &source, failure, &cause);
                }
            }
        }
        self.store.read_page(space, start).await
    }

    /// True unless a space without a copy has waited for starting peers until its deadline.
    fn may_wait_for_peers(&self, space: &str) -> bool {
        if self.copy_state(space).1.is_some() {
            return true;
        }
        let now = harrierward_clock::now();
        let mut state = self.lock();
        let until = state.start_deadlines.entry(space.to_owned());
        let until =
            until.or_insert_with(|| now + START_TIMEOUT + START_JITTER.mul_f64(rand::random()));
        now < *until
    }

    async fn changes(
        &self,
        space: &str,
        after: u64,
        wait: Duration,
    ) -> Result<ChangePage, PlatformError> {
        let (sources, followed) = {
            let now = harrierward_clock::now();
            let state = self.lock();
            (state.sources.for_changes(now), state.sources.followed(now))
        };
        let is_alone = sources.len() == 1;
        let mut failed = None;
        for source in sources {
            let result = match &source {
                Source::Store => self.store_changes(space, after, wait, is_alone).await,
                Source::Peer(peer) if followed.as_ref() == Some(peer) => {
                    self.followed_changes(space, after, peer).await
                }
                Source::Peer(peer) => self.fallback_changes(space, after, peer).await,
            };
            match result {
                Ok(page) => {
                    self.note_success(space, &source);
                    return Ok(page);
                }
                Err(error) if error.kind == PlatformErrorKind::HistoryLost => {
                    if source != Source::Store || !self.relies_on_peer_history(space) {
                        return Err(error);
                    }
                    // The back-off grows meanwhile and would outlast their cooldowns.
                    self.lock().sources.end_cooldowns_of_old_copies();
                    let kind = PlatformErrorKind::NotDone;
                    failed = Some(PlatformError { kind, ..error });
                }
                Err(error) => failed = Some(error),
            }
        }
        Err(failed.unwrap_or_else(|| no_source(space)))
    }

    /// True if a follower ignores the store's lost history, since the zone's reader does the full read and relays the
    /// rows. Otherwise all followers would repeat full reads while the store's reads are stale.
    fn relies_on_peer_history(&self, space: &str) -> bool {
        let state = self.lock();
        let is_follower = state.sources.mode(harrierward_clock::now()) == RelayMode::Relayed
            && !state.sources.is_reader();
        let last_reply = state.last_peer_reply.get(space);
        is_follower
            && last_reply.is_some_and(|at| harrierward_clock::age(*at) < PEER_HISTORY_WINDOW)
    }

    async fn store_changes(
        &self,
        space: &str,
        after: u64,
        wait: Duration,
        is_alone: bool,
    ) -> Result<ChangePage, PlatformError> {
        let wait = if is_alone { wait } else { wait.min(STORE_HOLD) };
        let result = self.store.wait_changes(space, after, wait).await;
        if let Err(error) = &result
            && error.kind != PlatformErrorKind::HistoryLost
            && !is_alone
        {
            let cause = error.to_string();
            self.note_failure(space, &Source::Store, SourceFailure::Unresponsive, &cause);
        }
        result
    }

    /// Requests changes from the followed peer, which holds the request until it has any or a newer proof.
    async fn followed_changes(
        &self,
        space: &str,
        after: u64,
        peer: &RelayPeer,
    ) -> Result<ChangePage, PlatformError> {
        let page = self.peer_changes(space, after, peer, MAX_HOLD).await?;
        let proof = page.proof.as_ref();
        let age = proof.map(|proof| harrierward_clock::age(proof.as_of));
        let steps = self.lock().sources.steps_to_reader().saturating_sub(1);
        let max_age = MAX_READER_PROOF_AGE + PROOF_AGE_PER_STEP.saturating_mul(steps);
        if age.is_some_and(|age| age > max_age) {
            let source = Source::Peer(peer.clone());
            self.note_failure(space, &source, SourceFailure::Behind, "old proof");
        }
        Ok(page)
    }

    /// Requests changes from a peer that isn't followed, without a hold: it may follow this daemon, and would then wait
    /// for what this daemon lacks.
    async fn fallback_changes(
        &self,
        space: &str,
        after: u64,
        peer: &RelayPeer,
    ) -> Result<ChangePage, PlatformError> {
        let page = self
            .peer_changes(space, after, peer, Duration::ZERO)
            .await?;
        if self.has_news(space, &page) {
            return Ok(page);
        }
        let kind = PlatformErrorKind::NotDone;
        Err(PlatformError::new(
            "relay.changes",
            &peer.id,
            kind,
            "has no newer proof",
        ))
    }

    /// True if a peer's page has changes, or a newer proof than the own copy.
    fn has_news(&self, space: &str, page: &ChangePage) -> bool {
        let known = self.space(space).and_then(|shared| shared.copy().as_of());
        let is_newer = |proof: &FreshnessProof| {
            known.is_none_or(|known| proof.as_of >= known + MIN_PROOF_GAIN)
        };
        !page.changes.is_empty() || page.proof.as_ref().is_some_and(is_newer)
    }

    async fn peer_changes(
        &self,
        space: &str,
        after: u64,
        peer: &RelayPeer,
        hold: Duration,
    ) -> Result<ChangePage, PlatformError> {
        let source = Source::Peer(peer.clone());
        match self.request_peer(space, after, peer, hold).await {
            RelayReply::Page(page) => Ok(page),
            RelayReply::HistoryLost => Err(PlatformError::new(
                "relay.changes",
                &peer.id,
                PlatformErrorKind::HistoryLost,
                "the peer no longer knows the changes",
            )),
            RelayReply::NotReady => {
                self.note_failure(space, &source, SourceFailure::NotReady, "not ready");
                Err(starting(peer))
            }
            RelayReply::Failed(failure, cause) => {
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

/// Converts a peer's reply with all rows into a single page.
fn full_page(page: ChangePage) -> SpacePage {
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
            RelayMode::Relayed => self.read_full(space, start).await,
            RelayMode::Unsettled if start.from.is_empty() => {
                self.read_first_page(space, start).await
            }
            RelayMode::Unsettled | RelayMode::Direct => self.store.read_page(space, start).await,
        }
    }

    async fn read_row(&self, key: &str) -> Result<RowRead, PlatformError> {
        self.store.read_row(key).await
    }

    async fn check_rows(&self, rows: &[RowVersion]) -> Result<RowCheck, PlatformError> {
        self.store.check_rows(rows).await
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
