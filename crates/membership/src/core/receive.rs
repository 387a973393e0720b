//! Handling of received datagrams: merging of records, and replies.

use std::time::Duration;

use harrierward_wire::{Datagram, DatagramKind, MemberRecord};

use super::{ConfigStatus, MembershipCore, OutgoingDatagram, PeerReport, RelayedProbe, Source};

impl MembershipCore {
    /// Handles a datagram; returns the replies to send and the sender's report.
    pub fn receive(
        &mut self,
        datagram: &Datagram,
        now: Duration,
    ) -> (Vec<OutgoingDatagram>, PeerReport) {
        let kind = DatagramKind::try_from(datagram.kind);
        let mut outgoing = Vec::new();
        if matches!(kind, Ok(DatagramKind::SyncReply)) {
            outgoing = self.return_newer(datagram);
        }
        match kind {
            Ok(DatagramKind::SyncReply | DatagramKind::SyncReturn) => {
                self.merge_synced(&datagram.records, now);
            }
            _ => {
                for record in &datagram.records {
                    if !self.must_confirm_reachable(datagram, record) {
                        self.merge_record(record.clone(), Source::Gossip, now);
                    }
                }
            }
        }
        let is_ack = datagram.kind == DatagramKind::Ack as i32;
        let acknowledged = self
            .probes
            .iter()
            .find(|probe| probe.number == datagram.probe);
        let report = PeerReport {
            from: datagram.from.clone(),
            probe_sent_at: acknowledged.filter(|_| is_ack).map(|probe| probe.sent_at),
            cancelled_jobs: datagram.cancelled_jobs.clone(),
            config: ConfigStatus {
                revision: datagram.config_revision,
                proof_age: datagram
                    .config_age_ms
                    .checked_sub(1)
                    .map(Duration::from_millis),
            },
        };
        outgoing.extend(match kind {
            Ok(DatagramKind::Ping) => self.handle_ping(datagram),
            Ok(DatagramKind::Ack) => self.handle_ack(datagram),
            Ok(DatagramKind::PingRequest) => self.relay_probe(datagram, now),
            Ok(DatagramKind::Join) => self.handle_join(datagram),
            Ok(DatagramKind::SyncRequest) => self.reply_sync(datagram),
            Ok(DatagramKind::SyncReply | DatagramKind::SyncReturn) | Err(_) => Vec::new(),
        });
        outgoing.extend(self.consider_sync(datagram, now));
        (outgoing, report)
    }

    fn handle_ping(&mut self, ping: &Datagram) -> Vec<OutgoingDatagram> {
        // The ping targets an earlier instance at this address; a reply would keep it alive in others' views.
        if !ping.target.is_empty() && ping.target != self.own.id {
            return Vec::new();
        }
        let Some(address) = self.address(&ping.from) else {
            return Vec::new();
        };
        let mut datagram = self.datagram(DatagramKind::Ack, ping.probe, String::new());
        self.add_refutable_record(&ping.from, &mut datagram);
        vec![OutgoingDatagram { address, datagram }]
    }

    fn handle_ack(&mut self, ack: &Datagram) -> Vec<OutgoingDatagram> {
        if let Some(relayed) = self.relayed_probes.remove(&ack.probe) {
            let Some(address) = self.address(&relayed.requester) else {
                return Vec::new();
            };
            let datagram = self.datagram(DatagramKind::Ack, relayed.requester_probe, String::new());
            return vec![OutgoingDatagram { address, datagram }];
        }
        self.probes.retain(|probe| probe.number != ack.probe);
        Vec::new()
    }

    fn relay_probe(&mut self, request: &Datagram, now: Duration) -> Vec<OutgoingDatagram> {
        let Some(address) = self.address(&request.target) else {
            return Vec::new();
        };
        let number = self.next_probe_number;
        self.next_probe_number += 1;
        let relayed = RelayedProbe {
            requester: request.from.clone(),
            requester_probe: request.probe,
            sent_at: now,
        };
        self.relayed_probes.insert(number, relayed);
        let datagram = self.datagram(DatagramKind::Ping, number, request.target.clone());
        vec![OutgoingDatagram { address, datagram }]
    }

    /// True for a join of an unknown member that knows others: it is added by its later datagrams, such as pings. If
    /// replies to it are lost, its state would otherwise flap between alive and dead. A member that knows no other is
    /// added at once, for a fast start.
    fn must_confirm_reachable(&self, datagram: &Datagram, record: &MemberRecord) -> bool {
        let is_join = datagram.kind == DatagramKind::Join as i32;
        let is_unknown = record.id == datagram.from && !self.members.contains_key(&record.id);
        is_join && is_unknown && datagram.view_size > 1
    }

    /// Replies to a join with a few records, in rotation: the joining member obtains the rest by syncs with those
    /// members, so seeds need not send their full view to each daemon of a starting fleet.
    fn handle_join(&mut self, join: &Datagram) -> Vec<OutgoingDatagram> {
        let own = join.records.iter().find(|record| record.id == join.from);
        let reported = own.map(|record| record.udp_address.clone());
        let Some(address) = reported.or_else(|| self.address(&join.from)) else {
            return Vec::new();
        };
        let max_records = self.settings.records_per_sync_datagram;
        let records = self.next_join_records(max_records);
        let mut datagram = self.bare_datagram(DatagramKind::SyncReturn, 0, String::new());
        datagram.records = records;
        // The joining member may be considered dead here after a long partition.
        self.add_refutable_record(&join.from, &mut datagram);
        vec![OutgoingDatagram { address, datagram }]
    }
}
