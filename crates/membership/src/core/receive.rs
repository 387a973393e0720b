//! Datagrams of other members: what is learnt from them, and what is answered.

use std::time::Duration;

use harrierward_wire::{Datagram, DatagramKind, MemberRecord};

use super::{Action, ConfigWord, MembershipCore, ReceivedWord, Relay, Source};

impl MembershipCore {
    /// Takes a datagram; the answers to send and the sender's word on its configuration.
    pub fn receive(&mut self, datagram: &Datagram, now: Duration) -> (Vec<Action>, ReceivedWord) {
        let kind = DatagramKind::try_from(datagram.kind);
        let mut actions = Vec::new();
        if matches!(kind, Ok(DatagramKind::SyncReply)) {
            actions = self.return_missing(datagram);
        }
        match kind {
            Ok(DatagramKind::SyncReply | DatagramKind::SyncReturn) => {
                self.take_synced(&datagram.records, now);
            }
            _ => {
                for record in &datagram.records {
                    if !self.must_hear_first(datagram, record) {
                        self.take_record(record.clone(), Source::Gossip, now);
                    }
                }
            }
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
        actions.extend(match kind {
            Ok(DatagramKind::Ping) => self.answer(datagram),
            Ok(DatagramKind::Ack) => self.take_ack(datagram),
            Ok(DatagramKind::PingRequest) => self.relay(datagram, now),
            Ok(DatagramKind::Join) => self.welcome(datagram),
            Ok(DatagramKind::SyncRequest) => self.reply_sync(datagram),
            Ok(DatagramKind::SyncReply | DatagramKind::SyncReturn) | Err(_) => Vec::new(),
        });
        actions.extend(self.consider_sync(datagram, now));
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

    /// True for the record of a stranger that knows others and asks this member: the way back to it may be cut, and then it would be
    /// held for alive and for dead by turns. Once it has heard the answer, its pings and sync requests tell of it. One that
    /// is alone is taken in at once, since a start must be quick.
    fn must_hear_first(&self, datagram: &Datagram, record: &MemberRecord) -> bool {
        let is_join = datagram.kind == DatagramKind::Join as i32;
        let is_stranger = record.id == datagram.from && !self.known.contains_key(&record.id);
        is_join && is_stranger && datagram.view_size > 1
    }

    /// Sends some members, others to each one that joins: whoever starts finds the rest by a sync with any of them,
    /// so that seeds need not send their whole view to all daemons of a fleet that starts.
    fn welcome(&mut self, join: &Datagram) -> Vec<Action> {
        let own = join.records.iter().find(|record| record.id == join.from);
        let told = own.map(|record| record.udp_address.clone());
        let Some(address) = told.or_else(|| self.address(&join.from)) else {
            return Vec::new();
        };
        let most = self.settings.records_per_sync_datagram;
        let records = self.next_present(most);
        let mut datagram = self.bare_datagram(DatagramKind::SyncReturn, 0, String::new());
        datagram.records = records;
        // One that was cut off for long may be held for dead here.
        self.tell_of_trouble(&join.from, &mut datagram);
        vec![Action { address, datagram }]
    }
}
