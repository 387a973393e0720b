//! Selection of the sources of a daemon's spaces: the store, or peers of its zone. Does no I/O.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::tree::{RelayPeer, RelayTree};

/// Zone size from which its members relay spaces; smaller zones read the store directly.
const RELAY_START_SIZE: usize = 32;

/// Zone size below which its members stop relaying; lower than `RELAY_START_SIZE` for hysteresis.
const RELAY_STOP_SIZE: usize = 24;

/// Time after the first known other member in which the remaining ones become known.
const SETTLE_TIME: Duration = Duration::from_millis(1_200);

/// Time after which a daemon without known members reads the store directly.
const ALONE_AFTER: Duration = Duration::from_millis(1_000);

/// Cooldown of an unresponsive peer.
const UNRESPONSIVE_COOLDOWN: Duration = Duration::from_secs(3);

/// Cooldown of a peer whose copy is old or missing.
const BEHIND_COOLDOWN: Duration = Duration::from_millis(500);

/// Cooldown of a peer that doesn't support relay requests.
const UNSUPPORTED_COOLDOWN: Duration = Duration::from_secs(30);

/// Cooldown of the store after a failure, while peers can reply.
const STORE_COOLDOWN: Duration = Duration::from_secs(1);

/// A source of a space's rows.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Source {
    /// The store itself.
    Store,
    /// A peer of the zone.
    Peer(RelayPeer),
}

/// How spaces are read at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayMode {
    /// Unknown until the members are known.
    Unsettled,
    /// From the store.
    Direct,
    /// From peers, along the zone's tree.
    Relayed,
}

/// Why a source failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceFailure {
    /// No reply, or an unreadable one.
    Unresponsive,
    /// Its copy is too old.
    Behind,
    /// It has no copy yet.
    NotReady,
    /// It doesn't support relay requests, as a daemon of an older build.
    Unsupported,
}

/// A peer that failed and isn't asked for a while.
#[derive(Debug)]
struct Cooldown {
    failure: SourceFailure,
    until: Instant,
}

/// The relay mode, the tree position and the cooldowns of one daemon.
#[derive(Debug)]
pub struct Sources {
    own: String,
    started: Instant,
    others_known_since: Option<Instant>,
    is_relaying: bool,
    tree: RelayTree,
    cooldowns: HashMap<String, Cooldown>,
    store_cooldown_until: Option<Instant>,
}

impl Sources {
    /// Creates the sources of the member `own`, without known members.
    pub fn new(own: &str, started: Instant) -> Self {
        Self {
            own: own.to_owned(),
            started,
            others_known_since: None,
            is_relaying: false,
            tree: RelayTree::default(),
            cooldowns: HashMap::new(),
            store_cooldown_until: None,
        }
    }

    /// Updates the members of the own zone that may be followed, and the number of members of the whole fleet.
    pub fn set_members(&mut self, zone: &[RelayPeer], fleet: usize, now: Instant) {
        if fleet > 1 {
            self.others_known_since.get_or_insert(now);
        }
        let min_members = if self.is_relaying {
            RELAY_STOP_SIZE
        } else {
            RELAY_START_SIZE
        };
        self.is_relaying = zone.len() >= min_members;
        self.tree = if self.is_relaying {
            RelayTree::new(&self.own, zone)
        } else {
            RelayTree::default()
        };
        // Each daemon instance has its own id, so cooldowns of departed members are obsolete.
        self.cooldowns
            .retain(|id, _| zone.iter().any(|peer| peer.id == *id));
    }

    /// Returns how spaces are read at `now`.
    pub fn mode(&self, now: Instant) -> RelayMode {
        let is_settled = match self.others_known_since {
            Some(since) => now.saturating_duration_since(since) >= SETTLE_TIME,
            None => now.saturating_duration_since(self.started) >= ALONE_AFTER,
        };
        match (is_settled, self.is_relaying) {
            (false, _) => RelayMode::Unsettled,
            (true, false) => RelayMode::Direct,
            (true, true) => RelayMode::Relayed,
        }
    }

    /// True if this daemon is the root of the zone's tree, which reads the store for the others.
    pub fn is_reader(&self) -> bool {
        self.is_relaying && self.tree.ancestors.is_empty()
    }

    /// Returns the number of steps along the zone's tree from this daemon to the reader; 0 for the reader itself.
    pub fn steps_to_reader(&self) -> u32 {
        u32::try_from(self.tree.ancestors.len()).unwrap_or(u32::MAX)
    }

    /// Returns the sources to try for changes, in order. The store follows right after the followed peer, since
    /// changes are few; during its cooldown it comes last.
    pub fn for_changes(&self, now: Instant) -> Vec<Source> {
        if self.mode(now) != RelayMode::Relayed {
            return vec![Source::Store];
        }
        let is_cooling_down = self.store_cooldown_until.is_some_and(|until| until > now);
        let (first, last) = if is_cooling_down {
            (None, Some(Source::Store))
        } else {
            (Some(Source::Store), None)
        };
        let followed = self.followed(now).map(Source::Peer).into_iter();
        let fallbacks = self.available(&self.tree.fallbacks, now).map(Source::Peer);
        followed.chain(first).chain(fallbacks).chain(last).collect()
    }

    /// Returns the sources to try for a full read, in order. The store comes last, as full reads dominate its
    /// traffic. The fallbacks are skipped if the daemon has a copy, since their copies may be relayed from it.
    pub fn for_full_read(&self, has_copy: bool, now: Instant) -> Vec<Source> {
        if self.mode(now) != RelayMode::Relayed {
            return vec![Source::Store];
        }
        let followed = self.followed(now).map(Source::Peer).into_iter();
        let fallbacks = self.available(&self.tree.fallbacks, now).map(Source::Peer);
        let fallbacks = fallbacks.filter(|_| !has_copy);
        followed.chain(fallbacks).chain([Source::Store]).collect()
    }

    /// Returns the nearest ancestor that is not in cooldown.
    pub fn followed(&self, now: Instant) -> Option<RelayPeer> {
        self.available(&self.tree.ancestors, now).next()
    }

    fn available<'a>(
        &'a self,
        peers: &'a [RelayPeer],
        now: Instant,
    ) -> impl Iterator<Item = RelayPeer> + 'a {
        let available = peers.iter().filter(move |peer| {
            let cooldown = self.cooldowns.get(&peer.id);
            cooldown.is_none_or(|cooldown| cooldown.until <= now)
        });
        available.cloned()
    }

    /// Puts a source that failed into cooldown.
    pub fn note_failure(&mut self, source: &Source, failure: SourceFailure, now: Instant) {
        let time = match failure {
            SourceFailure::Unresponsive => UNRESPONSIVE_COOLDOWN,
            SourceFailure::Behind | SourceFailure::NotReady => BEHIND_COOLDOWN,
            SourceFailure::Unsupported => UNSUPPORTED_COOLDOWN,
        };
        match source {
            Source::Store => self.store_cooldown_until = Some(now + STORE_COOLDOWN),
            Source::Peer(peer) => {
                let until = now + time;
                self.cooldowns
                    .insert(peer.id.clone(), Cooldown { failure, until });
            }
        }
    }

    /// Makes peers with old copies available again: without the store's history, only they can pass on what the zone's
    /// reader reads.
    pub fn end_cooldowns_of_old_copies(&mut self) {
        self.cooldowns
            .retain(|_, cooldown| cooldown.failure != SourceFailure::Behind);
    }
}
