//! Where a daemon reads the store's spaces: at the store itself, or at a peer of its zone. Pure.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::tree::{RelayPeer, RelayTree};

/// Members of a zone from which on they read from each other. Below, the store's bytes are few, and each reads for itself.
const RELAY_FROM: usize = 32;

/// Members below which they read for themselves again: a zone at the bound must not go back and forth.
const RELAY_UNTIL: usize = 24;

/// Time after the first sight of others in which the rest become known.
const SETTLE: Duration = Duration::from_millis(1_200);

/// Time after which a daemon that has seen nobody takes its zone for a small one.
const ALONE_AFTER: Duration = Duration::from_millis(1_000);

/// How long a peer is not asked that did not answer, or could not.
const SILENT_REST: Duration = Duration::from_secs(3);

/// How long a peer is not asked whose copy is old, or that has none yet.
const BEHIND_REST: Duration = Duration::from_millis(500);

/// How long a peer is not asked that does not know the question.
const UNKNOWING_REST: Duration = Duration::from_secs(30);

/// How long the store is passed over after it failed, where others can be asked.
const STORE_REST: Duration = Duration::from_secs(1);

/// Where spaces are read.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Source {
    /// The store.
    Store,
    /// A peer of the zone.
    Peer(RelayPeer),
}

/// How spaces are read at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayMode {
    /// Not known yet: the members are not.
    Unsettled,
    /// At the store.
    Direct,
    /// Along the zone's tree.
    Relayed,
}

/// Why a source failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceFailure {
    /// No answer, or none that can be read.
    Silent,
    /// Its copy is old, or it has none yet.
    Behind,
    /// It does not know the question: a daemon of an earlier build.
    Unknowing,
}

/// The sources of one daemon.
#[derive(Debug)]
pub struct Sources {
    own: String,
    started: Instant,
    others_since: Option<Instant>,
    is_relaying: bool,
    tree: RelayTree,
    resting: HashMap<String, Instant>,
    store_rests_until: Option<Instant>,
}

impl Sources {
    /// The sources of the member `own`, which knows nobody yet.
    pub fn new(own: &str, started: Instant) -> Self {
        Self {
            own: own.to_owned(),
            started,
            others_since: None,
            is_relaying: false,
            tree: RelayTree::default(),
            resting: HashMap::new(),
            store_rests_until: None,
        }
    }

    /// Takes the members as they are now: those of the own zone that may be followed, and how many there are anywhere.
    pub fn set_members(&mut self, zone: &[RelayPeer], fleet: usize, now: Instant) {
        if fleet > 1 {
            self.others_since.get_or_insert(now);
        }
        let least = if self.is_relaying {
            RELAY_UNTIL
        } else {
            RELAY_FROM
        };
        self.is_relaying = zone.len() >= least;
        self.tree = if self.is_relaying {
            RelayTree::new(&self.own, zone)
        } else {
            RelayTree::default()
        };
        // Each start has a name of its own, so what is known of the gone is of no use any more.
        self.resting
            .retain(|id, _| zone.iter().any(|peer| peer.id == *id));
    }

    /// How spaces are read now.
    pub fn mode(&self, now: Instant) -> RelayMode {
        let is_settled = match self.others_since {
            Some(since) => now.saturating_duration_since(since) >= SETTLE,
            None => now.saturating_duration_since(self.started) >= ALONE_AFTER,
        };
        match (is_settled, self.is_relaying) {
            (false, _) => RelayMode::Unsettled,
            (true, false) => RelayMode::Direct,
            (true, true) => RelayMode::Relayed,
        }
    }

    /// True if this daemon is the one of its zone that reads the store for the others.
    pub fn is_reader(&self) -> bool {
        self.is_relaying && self.tree.ancestors.is_empty()
    }

    /// Whom to ask for changes, in this order. The store comes right after the peer that is followed: changes are few, and
    /// it answers for itself.
    pub fn for_changes(&self, now: Instant) -> Vec<Source> {
        if self.mode(now) != RelayMode::Relayed {
            return vec![Source::Store];
        }
        let is_resting = self.store_rests_until.is_some_and(|until| until > now);
        let (first, last) = if is_resting {
            (None, Some(Source::Store))
        } else {
            (Some(Source::Store), None)
        };
        let followed = self.followed(now).map(Source::Peer).into_iter();
        let stand_ins = self.awake(&self.tree.stand_ins, now).map(Source::Peer);
        followed.chain(first).chain(stand_ins).chain(last).collect()
    }

    /// Whom to ask for a whole space, in this order. The store comes last: whole spaces are what its bytes are spent on. Who has a copy
    /// already, and follows nobody, gains nothing from those who follow it.
    pub fn for_whole_read(&self, has_copy: bool, now: Instant) -> Vec<Source> {
        if self.mode(now) != RelayMode::Relayed {
            return vec![Source::Store];
        }
        let followed = self.followed(now).map(Source::Peer).into_iter();
        let stand_ins = self.awake(&self.tree.stand_ins, now).map(Source::Peer);
        let stand_ins = stand_ins.filter(|_| !has_copy);
        followed.chain(stand_ins).chain([Source::Store]).collect()
    }

    /// The nearest ancestor that is not passed over.
    pub fn followed(&self, now: Instant) -> Option<RelayPeer> {
        self.awake(&self.tree.ancestors, now).next()
    }

    fn awake<'a>(
        &'a self,
        peers: &'a [RelayPeer],
        now: Instant,
    ) -> impl Iterator<Item = RelayPeer> + 'a {
        let awake = peers.iter().filter(move |peer| {
            let until = self.resting.get(&peer.id);
            until.is_none_or(|until| *until <= now)
        });
        awake.cloned()
    }

    /// The source did not serve: it is passed over for a while.
    pub fn note_failure(&mut self, source: &Source, failure: SourceFailure, now: Instant) {
        let rest = match failure {
            SourceFailure::Silent => SILENT_REST,
            SourceFailure::Behind => BEHIND_REST,
            SourceFailure::Unknowing => UNKNOWING_REST,
        };
        match source {
            Source::Store => self.store_rests_until = Some(now + STORE_REST),
            Source::Peer(peer) => {
                self.resting.insert(peer.id.clone(), now + rest);
            }
        }
    }
}
