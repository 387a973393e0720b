//! Load notices to a sample of the peers: requests in progress, age of the freshness proof, and the operator's rows.

use std::time::Duration;

use harrierward_serving::{Mechanism, WorkClass};
use harrierward_wire::{LoadNotice, NodeDatagram, ReplicaCount, encode, node_datagram};
use rand::seq::IteratorRandom;

use super::{Members, State};

/// Number of members that receive one notice. A sample suffices: coordinators keep exact counts, and notices serve
/// daemons without a coordinator and the check whether only this one is cut off from the store.
pub(super) const NOTICE_FAN_OUT: usize = 3;

/// Age of the freshness proof from which a daemon counts as cut off from the store.
pub(super) const CUT_OFF_PROOF_AGE: Duration = Duration::from_millis(2_200);

impl Members {
    /// Returns the notices to send, each with its address.
    pub(super) fn notices(&self, state: &mut State) -> Vec<(String, Vec<u8>)> {
        if !self.policy.has(Mechanism::LoadNotices) {
            return Vec::new();
        }
        if state.loads.expire(harrierward_clock::now()) {
            self.publish_loads(state);
        }
        state.notice_count += 1;
        let notice = LoadNotice {
            from: self.instance_id.clone(),
            number: state.notice_count,
            counts: self.own_loads(),
            proof_age_ms: self.own_proof_age_ms(),
            evacuations: self
                .peer_updates
                .get()
                .map(|peer_updates| peer_updates.evacuations()),
            configuration_version: self
                .peer_updates
                .get()
                .map_or(0, |peer_updates| peer_updates.configuration_version()),
        };
        let datagram = NodeDatagram {
            kind: Some(node_datagram::Kind::LoadNotice(notice)),
        };
        let bytes = encode(&datagram);
        let view = state.view.clone();
        let others = view
            .members
            .iter()
            .filter(|member| member.id != self.instance_id);
        let recipients = others.choose_multiple(&mut rand::rng(), NOTICE_FAN_OUT);
        recipients
            .into_iter()
            .filter_map(|member| state.core.udp_address(&member.id))
            .map(|address| (address, bytes.clone()))
            .collect()
    }

    /// Returns the number of this daemon's requests in progress, by replica.
    fn own_loads(&self) -> Vec<ReplicaCount> {
        if self.replicas.is_idle() {
            return Vec::new();
        }
        let view = self.replicas.view();
        let counts = view.all().filter_map(|replica| {
            let count = ReplicaCount {
                replica: replica.hash,
                online: replica.own_in_progress(WorkClass::Online),
                batch: replica.own_in_progress(WorkClass::Batch),
            };
            (count.online + count.batch > 0).then_some(count)
        });
        counts.collect()
    }

    /// Returns the age of the freshness proof of the job headers, in milliseconds plus one; 0 without a proof.
    pub(super) fn own_proof_age_ms(&self) -> u32 {
        let age = self.jobs.get().and_then(|jobs| jobs.view().proof_age());
        age.map_or(0, |age| {
            u32::try_from(age.as_millis()).map_or(u32::MAX, |millis| millis.saturating_add(1))
        })
    }

    /// Applies the operator's rows that a notice carries.
    pub(super) fn apply_peer_updates(&self, state: &State, notice: &mut LoadNotice) {
        let Some(peer_updates) = self.peer_updates.get() else {
            return;
        };
        if let Some(evacuations) = notice.evacuations.take() {
            peer_updates.merge_evacuations(evacuations, &notice.from);
        }
        peer_updates.note_peer_version(notice.configuration_version, || {
            let member = state.view.member(&notice.from)?;
            Some(member.peer_address.clone())
        });
    }

    pub(super) fn handle_notice(&self, state: &mut State, mut notice: LoadNotice) {
        self.apply_peer_updates(state, &mut notice);
        let is_new = state.loads.apply(notice, harrierward_clock::now());
        // In a large fleet notices arrive too often to publish each; the tick publishes them.
        if is_new && state.loads.reporting() <= NOTICE_FAN_OUT {
            self.publish_loads(state);
        }
    }

    pub(super) fn publish_loads(&self, state: &mut State) {
        let peers = state.view.members.len().saturating_sub(1);
        let view = self.replicas.view();
        let sums = state.loads.sums(peers);
        // Peers have load at only a few of the replicas, so that only those are updated.
        let before = std::mem::take(&mut state.replicas_with_peer_load);
        for hash in before.iter().chain(sums.keys()) {
            let Some(replica) = view.by_hash(*hash) else {
                continue;
            };
            if !self.slots.coordinates(replica) {
                let sum = sums.get(hash).copied().unwrap_or_default();
                replica.set_peer_counts(sum.online, sum.batch);
            }
        }
        state.replicas_with_peer_load = sums.into_keys().collect();
    }

    /// True if this daemon's freshness proof is at least `min_proof_age` old, while most peers with a current notice
    /// are not cut off from the store.
    pub(super) fn is_cut_off_for(&self, state: &State, min_proof_age: Duration) -> bool {
        let own = Duration::from_millis(u64::from(self.own_proof_age_ms()));
        if own < min_proof_age {
            return false;
        }
        let (mut connected, mut total) = (0, 0);
        for age_ms in state.loads.proof_ages_ms(harrierward_clock::now()) {
            total += 1;
            let age = Duration::from_millis(u64::from(age_ms));
            connected += usize::from(age_ms > 0 && age < CUT_OFF_PROOF_AGE);
        }
        connected * 2 > total
    }
}
