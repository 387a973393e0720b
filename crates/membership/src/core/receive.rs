//! Datagrams of other members: what is learnt from them, and what is answered.

use std::time::Duration;

use harrierward_wire::{Datagram, DatagramKind, MemberRecord, MemberState};

use super::{Action, ConfigWord, MembershipCore, ReceivedWord, Relay, state_of};

impl MembershipCore {
    /// Takes a datagram; the answers to send and the sender's word on its configuration.
    pub fn receive(&mut self, datagram: &Datagram, now: Duration) -> (Vec<Action>, ReceivedWord) {
        for record in &datagram.records {
            self.take_record(record.clone(), now);
        }
        let is_ack = datagram.kind == DatagramKind::Ack as i32;
        let answered = self
            .probes
            .iter()
            .find(|probe| probe.number == datagram.probe);
        let word = ReceivedWord {
            from: datagram.from.clone(),
            answers_probe_of: answered.filter(|_| is_ack).map(|probe| probe.sent_at),
            cancelled_jobs: datagram.cancelled_jobs.clone(),
            word: ConfigWord {
                revision: datagram.config_revision,
                proof_age: datagram
                    .config_age_ms
                    .checked_sub(1)
                    .map(Duration::from_millis),
            },
        };
        let actions = match DatagramKind::try_from(datagram.kind) {
            Ok(DatagramKind::Ping) => self.answer(datagram),
            Ok(DatagramKind::Ack) => self.take_ack(datagram),
            Ok(DatagramKind::PingRequest) => self.relay(datagram, now),
            Ok(DatagramKind::Join) => self.welcome(datagram),
            Err(_) => Vec::new(),
        };
        (actions, word)
    }

    fn answer(&mut self, ping: &Datagram) -> Vec<Action> {
        // The ping is for an earlier life at this address, which must be seen to be gone.
        if !ping.target.is_empty() && ping.target != self.own.id {
            return Vec::new();
        }
        let Some(address) = self.address(&ping.from) else {
            return Vec::new();
        };
        let mut datagram = self.datagram(DatagramKind::Ack, ping.probe, String::new());
        self.tell_of_trouble(&ping.from, &mut datagram);
        vec![Action { address, datagram }]
    }

    fn take_ack(&mut self, ack: &Datagram) -> Vec<Action> {
        if let Some(relay) = self.relays.remove(&ack.probe) {
            let Some(address) = self.address(&relay.asker) else {
                return Vec::new();
            };
            let datagram = self.datagram(DatagramKind::Ack, relay.asker_probe, String::new());
            return vec![Action { address, datagram }];
        }
        self.probes.retain(|probe| probe.number != ack.probe);
        Vec::new()
    }

    fn relay(&mut self, request: &Datagram, now: Duration) -> Vec<Action> {
        let Some(address) = self.address(&request.target) else {
            return Vec::new();
        };
        let number = self.next_number;
        self.next_number += 1;
        let relay = Relay {
            asker: request.from.clone(),
            asker_probe: request.probe,
            sent_at: now,
        };
        self.relays.insert(number, relay);
        let datagram = self.datagram(DatagramKind::Ping, number, request.target.clone());
        vec![Action { address, datagram }]
    }

    /// Sends the whole view, in as many datagrams as it takes.
    fn welcome(&mut self, join: &Datagram) -> Vec<Action> {
        let Some(address) = self.address(&join.from) else {
            return Vec::new();
        };
        let records: Vec<MemberRecord> = self
            .known
            .values()
            .filter(|known| state_of(&known.record) != MemberState::Dead)
            .map(|known| known.record.clone())
            .collect();
        records
            .chunks(self.settings.records_per_datagram.max(1))
            .map(|part| {
                let mut datagram = self.bare_datagram(DatagramKind::Ack, 0, String::new());
                datagram.records = part.to_vec();
                Action {
                    address: address.clone(),
                    datagram,
                }
            })
            .collect()
    }
}
