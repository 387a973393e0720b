//! Failure detection: direct and indirect probes, suspicion, and declaration of death.

use std::time::Duration;

use harrierward_wire::{Datagram, DatagramKind, MemberRecord, MemberState};
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use super::{MemberEntry, MembershipCore, OutgoingDatagram, Probe, Source, state_of};

impl MembershipCore {
    /// Returns the due probes and join datagrams, and applies expired probe and suspicion timeouts.
    pub fn tick(&mut self, now: Duration, random: &mut impl Rng) -> Vec<OutgoingDatagram> {
        let mut outgoing = self.rejoin(now, random);
        self.sync.note_tick();
        self.check_probes(now, random, &mut outgoing);
        self.check_suspicions(now);
        let max_age = self.settings.probe_timeout * 2;
        self.relayed_probes
            .retain(|_, relayed| now.saturating_sub(relayed.sent_at) < max_age);
        self.probe_dead(now, random, &mut outgoing);
        if now >= self.next_probe_at {
            self.next_probe_at = now + self.settings.probe_interval;
            self.probe_next(now, random, &mut outgoing);
        }
        outgoing
    }

    /// Probes dead members after a partition has healed, so that they learn of their state and refute it.
    fn probe_dead(
        &mut self,
        now: Duration,
        random: &mut impl Rng,
        outgoing: &mut Vec<OutgoingDatagram>,
    ) {
        for _ in 0..self.settings.dead_probes_per_tick {
            if self.dead_to_probe.is_empty() {
                return;
            }
            // Random order keeps all members from probing the same one at once.
            let index = random.random_range(0..self.dead_to_probe.len());
            let target = self.dead_to_probe.swap_remove(index);
            let is_dead = self.state(&target) == Some(MemberState::Dead);
            if let Some(address) = self.address(&target).filter(|_| is_dead) {
                outgoing.push(self.probe(target, address, now));
            }
        }
    }

    /// Queues all dead members that may return, unless the queue already has entries.
    pub(super) fn queue_dead_probes(&mut self) {
        if !self.dead_to_probe.is_empty() {
            return;
        }
        let dead = self
            .members
            .values()
            .filter(|entry| state_of(&entry.record) == MemberState::Dead && entry.may_return());
        self.dead_to_probe = dead.map(|entry| entry.record.id.clone()).collect();
    }

    fn probe_next(
        &mut self,
        now: Duration,
        random: &mut impl Rng,
        outgoing: &mut Vec<OutgoingDatagram>,
    ) {
        let Some(target) = self.next_target(random) else {
            return;
        };
        let Some(address) = self.address(&target) else {
            return;
        };
        outgoing.push(self.probe(target, address, now));
    }

    pub(super) fn probe(
        &mut self,
        target: String,
        address: String,
        now: Duration,
    ) -> OutgoingDatagram {
        let number = self.next_probe_number;
        self.next_probe_number += 1;
        let target_id = target.clone();
        self.probes.push(Probe {
            number,
            target,
            sent_at: now,
            indirect_sent: false,
        });
        let mut datagram = self.datagram(DatagramKind::Ping, number, target_id.clone());
        self.add_refutable_record(&target_id, &mut datagram);
        OutgoingDatagram { address, datagram }
    }

    /// Adds the record of a suspected or dead recipient, so that it can refute it.
    pub(super) fn add_refutable_record(&self, id: &str, datagram: &mut Datagram) {
        let Some(entry) = self.members.get(id) else {
            return;
        };
        let is_refutable = matches!(
            state_of(&entry.record),
            MemberState::Suspect | MemberState::Dead
        );
        if is_refutable && !datagram.records.contains(&entry.record) {
            datagram.records.push(entry.record.clone());
        }
    }

    /// Returns the next member of a shuffled round, which bounds the time between two probes of the same member.
    fn next_target(&mut self, random: &mut impl Rng) -> Option<String> {
        loop {
            if self.probe_order.is_empty() {
                self.probe_order = self.shuffled_round(random);
                if self.probe_order.is_empty() {
                    return None;
                }
            }
            let id = self.probe_order.pop()?;
            if self.members.get(&id).is_some_and(MemberEntry::may_return) {
                return Some(id);
            }
        }
    }

    fn shuffled_round(&self, random: &mut impl Rng) -> Vec<String> {
        let mut probe_order: Vec<String> = Vec::new();
        for entry in self.members.values() {
            let record = &entry.record;
            if record.id == self.own.id || !entry.may_return() {
                continue;
            }
            // Dead members are still probed, at a lower rate, to detect that a partition has healed.
            let near = record.region == self.own.region;
            let often = near && state_of(record) != MemberState::Dead;
            if often || random.random_range(0..self.settings.rare_probe_one_in) == 0 {
                probe_order.push(record.id.clone());
            }
        }
        probe_order.shuffle(random);
        probe_order
    }

    fn check_probes(
        &mut self,
        now: Duration,
        random: &mut impl Rng,
        outgoing: &mut Vec<OutgoingDatagram>,
    ) {
        let settings = self.settings;
        let mut overdue = Vec::new();
        let mut failed = Vec::new();
        self.probes.retain_mut(|probe| {
            let waited = now.saturating_sub(probe.sent_at);
            if waited >= settings.probe_timeout {
                failed.push(probe.target.clone());
                return false;
            }
            if waited >= settings.direct_timeout && !probe.indirect_sent {
                probe.indirect_sent = true;
                overdue.push((probe.number, probe.target.clone()));
            }
            true
        });
        for (number, target) in overdue {
            let indirect_probers = self.indirect_probers(&target, random);
            for address in indirect_probers {
                let datagram = self.datagram(DatagramKind::PingRequest, number, target.clone());
                outgoing.push(OutgoingDatagram { address, datagram });
            }
        }
        for target in failed {
            self.suspect(&target, now);
        }
    }

    fn indirect_probers(&self, target: &str, random: &mut impl Rng) -> Vec<String> {
        let candidates: Vec<&MemberEntry> = self
            .members
            .values()
            .filter(|entry| {
                let record = &entry.record;
                record.id != target
                    && record.id != self.own.id
                    && state_of(record) == MemberState::Alive
            })
            .collect();
        candidates
            .choose_multiple(random, self.settings.indirect_probes)
            .map(|entry| entry.record.udp_address.clone())
            .collect()
    }

    fn suspect(&mut self, target: &str, now: Duration) {
        let Some(entry) = self.members.get(target) else {
            return;
        };
        let next = match state_of(&entry.record) {
            MemberState::Alive => MemberState::Suspect,
            // A leaving member that stops responding has departed.
            MemberState::Leaving => MemberState::Dead,
            MemberState::Suspect | MemberState::Dead => return,
        };
        let mut record = entry.record.clone();
        record.state = next as i32;
        self.merge_record(record, Source::Gossip, now);
    }

    /// Returns the time that a suspected member has to refute; gossip takes longer in a larger fleet.
    #[allow(clippy::cast_precision_loss)]
    fn suspicion_timeout(&self) -> Duration {
        let factor = (self.members.len() as f64).log10().max(1.0);
        self.settings.suspicion_timeout.mul_f64(factor)
    }

    fn check_suspicions(&mut self, now: Duration) {
        let suspicion_timeout = self.suspicion_timeout();
        let expired: Vec<MemberRecord> = self
            .members
            .values()
            .filter(|entry| {
                state_of(&entry.record) == MemberState::Suspect
                    && now.saturating_sub(entry.state_since) >= suspicion_timeout
            })
            .map(|entry| entry.record.clone())
            .collect();
        for mut record in expired {
            record.state = MemberState::Dead as i32;
            self.merge_record(record, Source::Gossip, now);
        }
        self.forget_dead(now);
    }

    fn forget_dead(&mut self, now: Duration) {
        let dead_retention = self.settings.dead_retention;
        let rejoin = &mut self.rejoin;
        self.members.retain(|_, entry| {
            let is_expired = now.saturating_sub(entry.state_since) >= dead_retention;
            let kept = entry.is_present() || !is_expired;
            if !kept && entry.may_return() {
                rejoin.remember(entry.record.udp_address.clone(), now);
            }
            kept
        });
    }
}
