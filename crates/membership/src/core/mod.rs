//! The membership protocol as a pure state machine.
//!
//! Invariants: only a member itself raises its incarnation; a record never goes back to a lower one; a member is
//! declared dead only after a suspicion that it had time to refute.

mod digest;
mod probes;
mod receive;
mod rejoin;
mod sync;

use std::collections::BTreeMap;
use std::time::Duration;

use harrierward_wire::{Datagram, DatagramKind, MemberRecord, MemberState, ServiceBacklog};
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::settings::MembershipSettings;
use crate::view::{Member, MembershipView};

use rejoin::RejoinState;
use sync::SyncState;

/// A datagram to send.
#[derive(Debug, Clone, PartialEq)]
pub struct Action {
    /// UDP address.
    pub address: String,
    /// Datagram.
    pub datagram: Datagram,
}

/// What a daemon says of its configuration in each datagram.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConfigWord {
    /// Revision held.
    pub revision: u64,
    /// Age of the proof that it is the newest.
    pub proof_age: Option<Duration>,
}

/// A peer's word on its configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedWord {
    /// Member that said it.
    pub from: String,
    /// What it said.
    pub word: ConfigWord,
    /// When this member sent the probe that the datagram answers; the word is no older than its age counted
    /// from there. `None` for a datagram that answers nothing: it may have waited anywhere, for any time.
    pub answers_probe_of: Option<Duration>,
    /// Jobs that the peer knows to be cancelled.
    pub cancelled_jobs: Vec<String>,
}

#[derive(Debug, Clone)]
struct Known {
    record: MemberRecord,
    /// Hash of the id and the incarnation, for digests of views.
    version_hash: u64,
    state_since: Duration,
    passes_left: usize,
    /// Said that it leaves before it was gone.
    left: bool,
}

/// How a record came to be known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// As news: it is passed on.
    Gossip,
    /// From a sync: others find it by syncs of their own.
    Sync,
}

#[derive(Debug, Clone)]
struct Probe {
    number: u64,
    target: String,
    sent_at: Duration,
    indirect_sent: bool,
}

#[derive(Debug, Clone)]
struct Relay {
    asker: String,
    asker_probe: u64,
    sent_at: Duration,
}

/// State of one daemon's membership.
#[derive(Debug, Clone)]
pub struct MembershipCore {
    settings: MembershipSettings,
    own: MemberRecord,
    known: BTreeMap<String, Known>,
    probes: Vec<Probe>,
    relays: BTreeMap<u64, Relay>,
    order: Vec<String>,
    next_number: u64,
    next_probe_at: Duration,
    config: ConfigWord,
    cancelled_jobs: Vec<String>,
    /// Dead members to be probed soon, because another one turned out to live: a cut has mended.
    revivals: Vec<String>,
    rejoin: RejoinState,
    sync: SyncState,
    changed: bool,
}

fn state_of(record: &MemberRecord) -> MemberState {
    MemberState::try_from(record.state).unwrap_or(MemberState::Dead)
}

/// True if `new` replaces `old`: a higher incarnation, or the same with a graver state.
fn supersedes(new: &MemberRecord, old: &MemberRecord) -> bool {
    (new.incarnation, new.state) > (old.incarnation, old.state)
}

impl Known {
    fn new(record: MemberRecord, now: Duration, passes_left: usize) -> Self {
        Self {
            version_hash: digest::version_hash(&record),
            state_since: now,
            passes_left,
            left: false,
            record,
        }
    }

    fn replace(&mut self, record: MemberRecord, now: Duration, passes_left: usize) {
        if self.record.state != record.state {
            self.state_since = now;
        }
        self.left |= state_of(&self.record) == MemberState::Leaving;
        self.version_hash = digest::version_hash(&record);
        self.record = record;
        self.passes_left = passes_left;
    }

    /// True unless the member is taken for dead.
    fn is_present(&self) -> bool {
        state_of(&self.record) != MemberState::Dead
    }

    fn address(&self) -> &str {
        &self.record.udp_address
    }

    /// True unless the member left for good.
    fn may_answer(&self) -> bool {
        state_of(&self.record) != MemberState::Dead || !self.left
    }
}

impl MembershipCore {
    /// A daemon that knows only itself. `own.incarnation` must be higher than in any earlier life of the id.
    pub fn new(settings: MembershipSettings, own: MemberRecord) -> Self {
        let mut core = Self {
            settings,
            own: own.clone(),
            known: BTreeMap::new(),
            probes: Vec::new(),
            relays: BTreeMap::new(),
            order: Vec::new(),
            next_number: 1,
            next_probe_at: Duration::ZERO,
            config: ConfigWord::default(),
            cancelled_jobs: Vec::new(),
            revivals: Vec::new(),
            rejoin: RejoinState::default(),
            sync: SyncState::default(),
            changed: true,
        };
        core.note_own();
        core
    }

    /// The same with UDP addresses at which other members may be found: all of them are asked while nobody else is known,
    /// and one at a time now and then while nobody is known there.
    #[must_use]
    pub fn with_seeds(mut self, mut seeds: Vec<String>) -> Self {
        seeds.retain(|seed| *seed != self.own.udp_address);
        self.rejoin = RejoinState::new(seeds);
        self
    }

    fn note_own(&mut self) {
        let known = Known::new(self.own.clone(), Duration::ZERO, self.passes());
        self.known.insert(self.own.id.clone(), known);
        self.changed = true;
    }

    fn passes(&self) -> usize {
        let size = self.known.len() + 2;
        self.settings.spread_factor * (size.ilog2() as usize + 1)
    }

    /// Own member id.
    pub fn id(&self) -> &str {
        &self.own.id
    }

    /// Datagrams by which members at these addresses learn of this member, and answer with some others.
    pub fn join(&mut self, seeds: &[String]) -> Vec<Action> {
        let addresses = seeds.iter().filter(|seed| **seed != self.own.udp_address);
        let addresses: Vec<String> = addresses.cloned().collect();
        addresses
            .into_iter()
            .map(|address| {
                let datagram = self.datagram(DatagramKind::Join, 0, String::new());
                Action { address, datagram }
            })
            .collect()
    }

    /// Datagrams that tell `count` random members the present configuration word at once.
    pub fn spread_config(&mut self, count: usize, random: &mut impl Rng) -> Vec<Action> {
        let others: Vec<String> = self
            .known
            .values()
            .filter(|known| {
                known.record.id != self.own.id && state_of(&known.record) != MemberState::Dead
            })
            .map(|known| known.record.udp_address.clone())
            .collect();
        let chosen: Vec<String> = others.choose_multiple(random, count).cloned().collect();
        chosen
            .into_iter()
            .map(|address| {
                let datagram = self.datagram(DatagramKind::Ping, 0, String::new());
                Action { address, datagram }
            })
            .collect()
    }

    /// Sets what later datagrams say of the configuration.
    pub fn set_config(&mut self, config: ConfigWord) {
        self.config = config;
    }

    /// Sets the jobs that later datagrams name as cancelled.
    pub fn set_cancelled_jobs(&mut self, jobs: Vec<String>) {
        self.cancelled_jobs = jobs;
    }

    /// A probe of one member, outside the usual turn.
    pub fn probe_member(&mut self, id: &str, now: Duration) -> Option<Action> {
        let address = self.address(id)?;
        Some(self.probe(id.to_owned(), address, now))
    }

    /// Members that are suspected or dead, and all members known.
    pub fn troubled(&self) -> (usize, usize) {
        let is_troubled = |known: &&Known| {
            matches!(
                state_of(&known.record),
                MemberState::Suspect | MemberState::Dead
            ) && !known.left
        };
        let troubled = self.known.values().filter(is_troubled).count();
        (troubled, self.known.len())
    }

    /// Spreads the batch work left at own shards, if it changed.
    pub fn set_backlog(&mut self, backlog: Vec<ServiceBacklog>) {
        if self.own.backlog != backlog {
            self.own.backlog = backlog;
            self.raise_incarnation();
        }
    }

    /// Spreads whether this member is cut off from the store while others are not.
    pub fn set_detached(&mut self, detached: bool) {
        if self.own.detached != detached {
            self.own.detached = detached;
            self.raise_incarnation();
        }
    }

    /// Spreads that this member leaves.
    pub fn leave(&mut self) {
        self.own.state = MemberState::Leaving as i32;
        self.raise_incarnation();
    }

    fn raise_incarnation(&mut self) {
        self.own.incarnation += 1;
        self.note_own();
    }

    /// True once after each change of the view.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Members alive, suspected or leaving.
    pub fn view(&self) -> MembershipView {
        let members = self
            .known
            .values()
            .filter(|known| state_of(&known.record) != MemberState::Dead)
            .map(|known| Member {
                id: known.record.id.clone(),
                peer_address: known.record.peer_address.clone(),
                zone: known.record.zone.clone(),
                region: known.record.region.clone(),
                leaving: state_of(&known.record) == MemberState::Leaving,
                detached: known.record.detached,
                backlog: known.record.backlog.clone(),
            })
            .collect();
        MembershipView { members }
    }

    /// Region of a member, also of one that is held for dead; `None` if it is unknown.
    pub fn region(&self, id: &str) -> Option<&str> {
        self.known.get(id).map(|known| known.record.region.as_str())
    }

    /// State in which a member is held; `None` if unknown.
    pub fn state(&self, id: &str) -> Option<MemberState> {
        self.known.get(id).map(|known| state_of(&known.record))
    }

    /// What this member says of itself.
    pub fn own_record(&self) -> MemberRecord {
        self.own.clone()
    }

    /// How long a member has been in its state; `None` if unknown.
    pub fn state_age(&self, id: &str, now: Duration) -> Option<Duration> {
        let known = self.known.get(id)?;
        Some(now.saturating_sub(known.state_since))
    }

    /// UDP address of a member; `None` if unknown.
    pub fn udp_address(&self, id: &str) -> Option<String> {
        self.address(id)
    }

    fn address(&self, id: &str) -> Option<String> {
        self.known
            .get(id)
            .map(|known| known.record.udp_address.clone())
    }

    fn take_record(&mut self, mut record: MemberRecord, source: Source, now: Duration) {
        if record.id == self.own.id {
            self.refute(&record);
            return;
        }
        if record.udp_address == self.own.udp_address && !self.knows_dead(&record.id) {
            // An earlier life at this member's address: nobody else can tell, since this member answers there.
            record.state = MemberState::Dead as i32;
            self.insert_dead_predecessor(record, now);
            return;
        }
        let passes_left = match source {
            Source::Gossip => self.passes(),
            Source::Sync => 0,
        };
        let lives = state_of(&record) != MemberState::Dead;
        let mut revived = false;
        match self.known.get_mut(&record.id) {
            Some(known) if !supersedes(&record, &known.record) => {
                // Others know it already: passing it on is worth less.
                if record == known.record {
                    known.passes_left = known.passes_left.saturating_sub(1);
                }
            }
            Some(known) => {
                revived = lives && !known.is_present();
                known.replace(record, now, passes_left);
                self.changed = true;
            }
            None if !lives => {}
            None => {
                let known = Known::new(record, now, passes_left);
                self.known.insert(known.record.id.clone(), known);
                self.changed = true;
            }
        }
        if revived {
            self.queue_revivals();
        }
    }

    fn knows_dead(&self, id: &str) -> bool {
        let known = self.known.get(id);
        known.is_some_and(|known| state_of(&known.record) == MemberState::Dead)
    }

    /// Keeps the record of an earlier life as dead, and passes that on.
    fn insert_dead_predecessor(&mut self, record: MemberRecord, now: Duration) {
        let mut known = Known::new(record, now, self.passes());
        known.left = true;
        self.known.insert(known.record.id.clone(), known);
        self.changed = true;
    }

    /// Somebody holds this member for worse than it is, or for something from an earlier life.
    fn refute(&mut self, record: &MemberRecord) {
        if supersedes(record, &self.own) {
            self.own.incarnation = record.incarnation;
            self.raise_incarnation();
        }
    }

    fn bare_datagram(&self, kind: DatagramKind, probe: u64, target: String) -> Datagram {
        let age_ms = |age: Duration| u64::try_from(age.as_millis()).unwrap_or(u64::MAX - 1);
        Datagram {
            kind: kind as i32,
            from: self.own.id.clone(),
            probe,
            target,
            records: Vec::new(),
            config_revision: self.config.revision,
            config_age_ms: self.config.proof_age.map_or(0, |age| age_ms(age) + 1),
            cancelled_jobs: self.cancelled_jobs.clone(),
            view_digest: self.view_digest(),
            view_size: self.view_size(),
            ..Datagram::default()
        }
    }

    /// A datagram with the records that have been passed on least.
    fn datagram(&mut self, kind: DatagramKind, probe: u64, target: String) -> Datagram {
        let mut datagram = self.bare_datagram(kind, probe, target);
        let mut fresh: Vec<&mut Known> = self
            .known
            .values_mut()
            .filter(|known| known.passes_left > 0)
            .collect();
        fresh.sort_by_key(|known| std::cmp::Reverse(known.passes_left));
        for known in fresh.into_iter().take(self.settings.records_per_datagram) {
            known.passes_left -= 1;
            datagram.records.push(known.record.clone());
        }
        // A stranger must learn whom to answer.
        let own_included = datagram
            .records
            .iter()
            .any(|record| record.id == self.own.id);
        if matches!(kind, DatagramKind::Join | DatagramKind::Ping) && !own_included {
            datagram.records.push(self.own.clone());
        }
        datagram
    }
}
