//! Probing: who is probed when, who helps, and how a member that does not answer is suspected and declared dead.

use std::time::Duration;

use harrierward_wire::{Datagram, DatagramKind, MemberRecord, MemberState};
use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use super::{Action, Known, MembershipCore, Probe, Source, state_of};

impl MembershipCore {
    /// Time passes: sends probes, asks others, suspects and declares dead.
    pub fn tick(&mut self, now: Duration, random: &mut impl Rng) -> Vec<Action> {
        let mut actions = self.rejoin(now, random);
        self.sync.note_tick();
        self.check_probes(now, random, &mut actions);
        self.check_suspicions(now);
        let direct = self.settings.probe_timeout * 2;
        self.relays
            .retain(|_, relay| now.saturating_sub(relay.sent_at) < direct);
        self.probe_revivals(now, random, &mut actions);
        if now >= self.next_probe_at {
            self.next_probe_at = now + self.settings.probe_every;
            self.probe_next(now, random, &mut actions);
        }
        actions
    }

    /// After a cut has mended, tells the members beyond it quickly that they are held for dead.
    fn probe_revivals(&mut self, now: Duration, random: &mut impl Rng, actions: &mut Vec<Action>) {
        for _ in 0..self.settings.revivals_a_tick {
            if self.revivals.is_empty() {
                return;
            }
            // In random order, or all members would probe the same one at the same time.
            let index = random.random_range(0..self.revivals.len());
            let target = self.revivals.swap_remove(index);
            let is_dead = self.state(&target) == Some(MemberState::Dead);
            if let Some(address) = self.address(&target).filter(|_| is_dead) {
                actions.push(self.probe(target, address, now));
            }
        }
    }

    /// Queues all dead members that may answer, unless they are queued already.
    pub(super) fn queue_revivals(&mut self) {
        if !self.revivals.is_empty() {
            return;
        }
        let dead = self
            .known
            .values()
            .filter(|known| state_of(&known.record) == MemberState::Dead && known.may_answer());
        self.revivals = dead.map(|known| known.record.id.clone()).collect();
    }

    fn probe_next(&mut self, now: Duration, random: &mut impl Rng, actions: &mut Vec<Action>) {
        let Some(target) = self.next_target(random) else {
            return;
        };
        let Some(address) = self.address(&target) else {
            return;
        };
        actions.push(self.probe(target, address, now));
    }

    pub(super) fn probe(&mut self, target: String, address: String, now: Duration) -> Action {
        let number = self.next_number;
        self.next_number += 1;
        let target_id = target.clone();
        self.probes.push(Probe {
            number,
            target,
            sent_at: now,
            indirect_sent: false,
        });
        let mut datagram = self.datagram(DatagramKind::Ping, number, target_id.clone());
        self.tell_of_trouble(&target_id, &mut datagram);
        Action { address, datagram }
    }

    /// Tells a member that it is held for suspect or dead, so that it can refute it.
    pub(super) fn tell_of_trouble(&self, id: &str, datagram: &mut Datagram) {
        let Some(known) = self.known.get(id) else {
            return;
        };
        let troubled = matches!(
            state_of(&known.record),
            MemberState::Suspect | MemberState::Dead
        );
        if troubled && !datagram.records.contains(&known.record) {
            datagram.records.push(known.record.clone());
        }
    }

    /// Walks all probed members in random order, so that each is probed within a bounded time. Members of other
    /// regions are probed more rarely.
    fn next_target(&mut self, random: &mut impl Rng) -> Option<String> {
        loop {
            if self.order.is_empty() {
                self.order = self.round(random);
                if self.order.is_empty() {
                    return None;
                }
            }
            let id = self.order.pop()?;
            if self.known.get(&id).is_some_and(Known::may_answer) {
                return Some(id);
            }
        }
    }

    fn round(&self, random: &mut impl Rng) -> Vec<String> {
        let mut order: Vec<String> = Vec::new();
        for known in self.known.values() {
            let record = &known.record;
            if record.id == self.own.id || !known.may_answer() {
                continue;
            }
            // Dead members are probed too, more rarely: a cut may have mended since.
            let near = record.region == self.own.region;
            let often = near && state_of(record) != MemberState::Dead;
            if often || random.random_range(0..self.settings.rare_probe_one_in) == 0 {
                order.push(record.id.clone());
            }
        }
        order.shuffle(random);
        order
    }

    fn check_probes(&mut self, now: Duration, random: &mut impl Rng, actions: &mut Vec<Action>) {
        let settings = self.settings;
        let mut to_ask = Vec::new();
        let mut failed = Vec::new();
        self.probes.retain_mut(|probe| {
            let waited = now.saturating_sub(probe.sent_at);
            if waited >= settings.probe_timeout {
                failed.push(probe.target.clone());
                return false;
            }
            if waited >= settings.direct_timeout && !probe.indirect_sent {
                probe.indirect_sent = true;
                to_ask.push((probe.number, probe.target.clone()));
            }
            true
        });
        for (number, target) in to_ask {
            let helpers = self.helpers(&target, random);
            for address in helpers {
                let datagram = self.datagram(DatagramKind::PingRequest, number, target.clone());
                actions.push(Action { address, datagram });
            }
        }
        for target in failed {
            self.suspect(&target, now);
        }
    }

    fn helpers(&self, target: &str, random: &mut impl Rng) -> Vec<String> {
        let candidates: Vec<&Known> = self
            .known
            .values()
            .filter(|known| {
                let record = &known.record;
                record.id != target
                    && record.id != self.own.id
                    && state_of(record) == MemberState::Alive
            })
            .collect();
        candidates
            .choose_multiple(random, self.settings.indirect_probes)
            .map(|known| known.record.udp_address.clone())
            .collect()
    }

    fn suspect(&mut self, target: &str, now: Duration) {
        let Some(known) = self.known.get(target) else {
            return;
        };
        let next = match state_of(&known.record) {
            MemberState::Alive => MemberState::Suspect,
            // A member that leaves and no longer answers has gone.
            MemberState::Leaving => MemberState::Dead,
            MemberState::Suspect | MemberState::Dead => return,
        };
        let mut record = known.record.clone();
        record.state = next as i32;
        self.take_record(record, Source::Gossip, now);
    }

    /// Time that a suspected member has to refute: spreading the suspicion, and its refutation, takes longer in a
    /// larger fleet.
    #[allow(clippy::cast_precision_loss)]
    fn suspicion(&self) -> Duration {
        let factor = (self.known.len() as f64).log10().max(1.0);
        self.settings.suspicion.mul_f64(factor)
    }

    fn check_suspicions(&mut self, now: Duration) {
        let suspicion = self.suspicion();
        let over: Vec<MemberRecord> = self
            .known
            .values()
            .filter(|known| {
                state_of(&known.record) == MemberState::Suspect
                    && now.saturating_sub(known.state_since) >= suspicion
            })
            .map(|known| known.record.clone())
            .collect();
        for mut record in over {
            record.state = MemberState::Dead as i32;
            self.take_record(record, Source::Gossip, now);
        }
        self.forget_dead(now);
    }

    fn forget_dead(&mut self, now: Duration) {
        let forget_dead = self.settings.forget_dead;
        let rejoin = &mut self.rejoin;
        self.known.retain(|_, known| {
            let is_over = now.saturating_sub(known.state_since) >= forget_dead;
            let kept = known.is_present() || !is_over;
            if !kept && known.may_answer() {
                rejoin.remember(known.record.udp_address.clone(), now);
            }
            kept
        });
    }
}
