//! The membership protocol as a pure state machine.
//!
//! Invariants: only a member itself raises its incarnation; a record never goes back to a lower one; a member is
//! declared dead only after a suspicion that it had time to refute, unless it announced that it leaves or a later
//! instance runs at its address.

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

/// A datagram that the caller must send to `address`.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingDatagram {
    /// UDP address of the recipient, `host:port`.
    pub address: String,
    /// Message to encode and send.
    pub datagram: Datagram,
}

/// The sender's configuration status, carried by each datagram.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConfigStatus {
    /// Configuration revision in use; 0 before the first one.
    pub revision: u64,
    /// Time since the revision was last proven to be the newest; `None` without a proof.
    pub proof_age: Option<Duration>,
}

/// The status that a peer reported in a datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerReport {
    /// Id of the sender.
    pub from: String,
    /// Configuration status of the sender.
    pub config: ConfigStatus,
    /// When this member sent the probe that the datagram acknowledges: the report was made after that time.
    /// `None` if it acknowledges no pending probe, and may have been delayed for any time.
    pub probe_sent_at: Option<Duration>,
    /// Ids of jobs that the peer reported as cancelled.
    pub cancelled_jobs: Vec<String>,
}

#[derive(Debug, Clone)]
struct MemberEntry {
    record: MemberRecord,
    /// Hash of the id and the incarnation, used in view digests.
    version_hash: u64,
    state_since: Duration,
    transmissions_left: usize,
    /// True if the member announced that it leaves, or a later instance runs at its address.
    left: bool,
}

/// How a record was received; decides whether it is gossiped further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// By gossip: it is passed on.
    Gossip,
    /// By anti-entropy: others obtain it by their own syncs.
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
struct RelayedProbe {
    requester: String,
    requester_probe: u64,
    sent_at: Duration,
}

/// Membership state of one daemon; does no I/O. Times are offsets on a clock of the caller.
#[derive(Debug, Clone)]
pub struct MembershipCore {
    settings: MembershipSettings,
    own: MemberRecord,
    members: BTreeMap<String, MemberEntry>,
    probes: Vec<Probe>,
    relayed_probes: BTreeMap<u64, RelayedProbe>,
    probe_order: Vec<String>,
    next_probe_number: u64,
    next_probe_at: Duration,
    config: ConfigStatus,
    cancelled_jobs: Vec<String>,
    /// Dead members to probe soon: another one has replied, so a network partition may have healed.
    dead_to_probe: Vec<String>,
    rejoin: RejoinState,
    sync: SyncState,
    changed: bool,
}

fn state_of(record: &MemberRecord) -> MemberState {
    MemberState::try_from(record.state).unwrap_or(MemberState::Dead)
}

/// Records from this incarnation on are ignored: no member refutes so often, and nothing could supersede the last one.
const MAX_INCARNATION: u64 = 1 << 48;

/// True if `new` replaces `old`: a higher incarnation, or the same with a later state (alive, suspect, leaving, dead).
fn supersedes(new: &MemberRecord, old: &MemberRecord) -> bool {
    (new.incarnation, new.state) > (old.incarnation, old.state)
}

impl MemberEntry {
    fn new(record: MemberRecord, now: Duration, transmissions_left: usize) -> Self {
        Self {
            version_hash: digest::version_hash(&record),
            state_since: now,
            transmissions_left,
            left: false,
            record,
        }
    }

    fn replace(&mut self, record: MemberRecord, now: Duration, transmissions_left: usize) {
        if self.record.state != record.state {
            self.state_since = now;
        }
        self.left |= state_of(&self.record) == MemberState::Leaving;
        self.version_hash = digest::version_hash(&record);
        self.record = record;
        self.transmissions_left = transmissions_left;
    }

    /// True unless the member is considered dead.
    fn is_present(&self) -> bool {
        state_of(&self.record) != MemberState::Dead
    }

    fn address(&self) -> &str {
        &self.record.udp_address
    }

    /// False for a dead member that left, or was replaced by a later instance: it is no longer probed.
    fn may_return(&self) -> bool {
        state_of(&self.record) != MemberState::Dead || !self.left
    }
}

impl MembershipCore {
    /// Creates a core that knows only itself. `own.incarnation` must exceed that of any earlier instance with the
    /// same id.
    pub fn new(settings: MembershipSettings, own: MemberRecord) -> Self {
        let mut core = Self {
            settings,
            own: own.clone(),
            members: BTreeMap::new(),
            probes: Vec::new(),
            relayed_probes: BTreeMap::new(),
            probe_order: Vec::new(),
            next_probe_number: 1,
            next_probe_at: Duration::ZERO,
            config: ConfigStatus::default(),
            cancelled_jobs: Vec::new(),
            dead_to_probe: Vec::new(),
            rejoin: RejoinState::default(),
            sync: SyncState::default(),
            changed: true,
        };
        core.insert_own();
        core
    }

    /// Sets the UDP addresses of seeds. All of them get joins while no other member is known; later, a seed gets joins
    /// only while no member is known at its address, one address at a time.
    #[must_use]
    pub fn with_seeds(mut self, mut seeds: Vec<String>) -> Self {
        seeds.retain(|seed| *seed != self.own.udp_address);
        self.rejoin = RejoinState::new(seeds);
        self
    }

    fn insert_own(&mut self) {
        let entry = MemberEntry::new(self.own.clone(), Duration::ZERO, self.max_transmissions());
        self.members.insert(self.own.id.clone(), entry);
        self.changed = true;
    }

    fn max_transmissions(&self) -> usize {
        let size = self.members.len() + 2;
        self.settings.spread_factor * (size.ilog2() as usize + 1)
    }

    /// Returns the id of this member.
    pub fn id(&self) -> &str {
        &self.own.id
    }

    /// Returns join datagrams that introduce this member to those addresses; their members reply with some records.
    pub fn join(&mut self, seeds: &[String]) -> Vec<OutgoingDatagram> {
        let addresses = seeds.iter().filter(|seed| **seed != self.own.udp_address);
        let addresses: Vec<String> = addresses.cloned().collect();
        addresses
            .into_iter()
            .map(|address| {
                let datagram = self.datagram(DatagramKind::Join, 0, String::new());
                OutgoingDatagram { address, datagram }
            })
            .collect()
    }

    /// Returns datagrams that carry the current configuration status to `count` random members.
    pub fn gossip_config(&mut self, count: usize, random: &mut impl Rng) -> Vec<OutgoingDatagram> {
        let others: Vec<String> = self
            .members
            .values()
            .filter(|entry| {
                entry.record.id != self.own.id && state_of(&entry.record) != MemberState::Dead
            })
            .map(|entry| entry.record.udp_address.clone())
            .collect();
        let chosen: Vec<String> = others.choose_multiple(random, count).cloned().collect();
        chosen
            .into_iter()
            .map(|address| {
                let datagram = self.datagram(DatagramKind::Ping, 0, String::new());
                OutgoingDatagram { address, datagram }
            })
            .collect()
    }

    /// Sets the configuration status that later datagrams carry.
    pub fn set_config(&mut self, config: ConfigStatus) {
        self.config = config;
    }

    /// Sets the ids of cancelled jobs that later datagrams carry.
    pub fn set_cancelled_jobs(&mut self, jobs: Vec<String>) {
        self.cancelled_jobs = jobs;
    }

    /// Probes one member outside the probe order; `None` if it is unknown.
    pub fn probe_member(&mut self, id: &str, now: Duration) -> Option<OutgoingDatagram> {
        let address = self.address(id)?;
        Some(self.probe(id.to_owned(), address, now))
    }

    /// Returns the number of suspected or dead members that didn't announce a leave, and the number of all known
    /// members.
    pub fn unhealthy_counts(&self) -> (usize, usize) {
        let is_unhealthy = |entry: &&MemberEntry| {
            matches!(
                state_of(&entry.record),
                MemberState::Suspect | MemberState::Dead
            ) && !entry.left
        };
        let unhealthy = self.members.values().filter(is_unhealthy).count();
        (unhealthy, self.members.len())
    }

    /// Announces the batch work left at this member's shards, if it changed.
    pub fn set_backlog(&mut self, backlog: Vec<ServiceBacklog>) {
        if self.own.backlog != backlog {
            self.own.backlog = backlog;
            self.raise_incarnation();
        }
    }

    /// Announces whether this member can't reach the store while others can.
    pub fn set_detached(&mut self, detached: bool) {
        if self.own.detached != detached {
            self.own.detached = detached;
            self.raise_incarnation();
        }
    }

    /// Announces that this member leaves.
    pub fn leave(&mut self) {
        self.own.state = MemberState::Leaving as i32;
        self.raise_incarnation();
    }

    fn raise_incarnation(&mut self) {
        self.own.incarnation += 1;
        self.insert_own();
    }

    /// Returns whether the view changed since the last call, and clears the flag.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns the members that are alive, suspected or leaving.
    pub fn view(&self) -> MembershipView {
        let members = self
            .members
            .values()
            .filter(|entry| state_of(&entry.record) != MemberState::Dead)
            .map(|entry| Member {
                id: entry.record.id.clone(),
                peer_address: entry.record.peer_address.clone(),
                zone: entry.record.zone.clone(),
                region: entry.record.region.clone(),
                leaving: state_of(&entry.record) == MemberState::Leaving,
                detached: entry.record.detached,
                backlog: entry.record.backlog.clone(),
            })
            .collect();
        MembershipView { members }
    }

    /// Returns the region of a member, dead ones included; `None` if it is unknown.
    pub fn region(&self, id: &str) -> Option<&str> {
        self.members
            .get(id)
            .map(|entry| entry.record.region.as_str())
    }

    /// Returns the state of a member in this member's view; `None` if it is unknown.
    pub fn state(&self, id: &str) -> Option<MemberState> {
        self.members.get(id).map(|entry| state_of(&entry.record))
    }

    /// Returns the record that this member announces of itself.
    pub fn own_record(&self) -> MemberRecord {
        self.own.clone()
    }

    /// Returns how long a member has been in its state; `None` if it is unknown.
    pub fn state_age(&self, id: &str, now: Duration) -> Option<Duration> {
        let entry = self.members.get(id)?;
        Some(now.saturating_sub(entry.state_since))
    }

    /// Returns the UDP address of a member; `None` if it is unknown.
    pub fn udp_address(&self, id: &str) -> Option<String> {
        self.address(id)
    }

    fn address(&self, id: &str) -> Option<String> {
        self.members
            .get(id)
            .map(|entry| entry.record.udp_address.clone())
    }

    fn merge_record(&mut self, mut record: MemberRecord, source: Source, now: Duration) {
        if record.incarnation >= MAX_INCARNATION {
            return;
        }
        if record.id == self.own.id {
            self.refute(&record);
            return;
        }
        if record.udp_address == self.own.udp_address && !self.is_known_dead(&record.id) {
            // An earlier instance at this member's own address: no probe by others can detect its death.
            record.state = MemberState::Dead as i32;
            self.insert_dead_predecessor(record, now);
            return;
        }
        let transmissions_left = match source {
            Source::Gossip => self.max_transmissions(),
            Source::Sync => 0,
        };
        let is_present = state_of(&record) != MemberState::Dead;
        let mut returned = false;
        match self.members.get_mut(&record.id) {
            Some(entry) if !supersedes(&record, &entry.record) => {
                // The sender already has this record, so it needs fewer transmissions.
                if record == entry.record {
                    entry.transmissions_left = entry.transmissions_left.saturating_sub(1);
                }
            }
            Some(entry) => {
                returned = is_present && !entry.is_present();
                entry.replace(record, now, transmissions_left);
                self.changed = true;
            }
            None if !is_present => {}
            None => {
                let entry = MemberEntry::new(record, now, transmissions_left);
                self.members.insert(entry.record.id.clone(), entry);
                self.changed = true;
            }
        }
        if returned {
            self.queue_dead_probes();
        }
    }

    fn is_known_dead(&self, id: &str) -> bool {
        let entry = self.members.get(id);
        entry.is_some_and(|entry| state_of(&entry.record) == MemberState::Dead)
    }

    /// Stores the record of an earlier instance as dead and gossips it.
    fn insert_dead_predecessor(&mut self, record: MemberRecord, now: Duration) {
        let mut entry = MemberEntry::new(record, now, self.max_transmissions());
        entry.left = true;
        self.members.insert(entry.record.id.clone(), entry);
        self.changed = true;
    }

    /// Raises the own incarnation if a peer's record of this member would replace the own one.
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

    /// Builds a datagram with the records that have the most transmissions left.
    fn datagram(&mut self, kind: DatagramKind, probe: u64, target: String) -> Datagram {
        let mut datagram = self.bare_datagram(kind, probe, target);
        let mut pending: Vec<&mut MemberEntry> = self
            .members
            .values_mut()
            .filter(|entry| entry.transmissions_left > 0)
            .collect();
        pending.sort_by_key(|entry| std::cmp::Reverse(entry.transmissions_left));
        for entry in pending.into_iter().take(self.settings.records_per_datagram) {
            entry.transmissions_left -= 1;
            datagram.records.push(entry.record.clone());
        }
        // A receiver that doesn't know this member needs its address to reply.
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
