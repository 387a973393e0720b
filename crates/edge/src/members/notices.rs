//! What daemons tell some others in passing: what they have in progress, how old their proof is, the operator's rows.

use std::time::Duration;

use harrierward_serving::{Mechanism, WorkClass};
use harrierward_wire::{LoadNotice, NodeDatagram, ReplicaCount, encode, node_datagram};
use rand::seq::IteratorRandom;

use super::{Members, State};

/// Members that one notice goes to. Coordinators count exactly; a notice only serves a daemon that finds no
/// coordinator and the question whether it alone is cut off, for which a sample does (measured on further-grown:
/// 24 -> 3 halves the bytes between zones and moves nothing else).
pub(super) const NOTICE_FAN_OUT: usize = 3;

/// Age of the own proof from which on this daemon asks whether it alone is cut off.
pub(super) const ALONE_CUT_OFF_AFTER: Duration = Duration::from_millis(2_200);

impl Members {
    /// Own counts, for some other members.
    pub(super) fn notices(&self, state: &mut State) -> Vec<(String, Vec<u8>)> {
        if !self.policy.has(Mechanism::LoadNotices) {
            return Vec::new();
        }
        if state.loads.expire(harrierward_clock::now()) {
            self.publish_loads(state);
        }
        state.notices += 1;
        let notice = LoadNotice {
            from: self.life.clone(),
            number: state.notices,
            counts: self.own_counts(),
            proof_age_ms: self.own_proof_age_ms(),
            evacuations: self.news.get().map(|news| news.evacuations()),
            configuration_version: self
                .news
                .get()
                .map_or(0, |news| news.configuration_version()),
        };
        let datagram = NodeDatagram {
            kind: Some(node_datagram::Kind::LoadNotice(notice)),
        };
        let bytes = encode(&datagram);
        let view = state.view.clone();
        let others = view.members.iter().filter(|member| member.id != self.life);
        let told = others.choose_multiple(&mut rand::rng(), NOTICE_FAN_OUT);
        told.into_iter()
            .filter_map(|member| state.core.udp_address(&member.id))
            .map(|address| (address, bytes.clone()))
            .collect()
    }

    /// What this daemon has in progress, by replica.
    fn own_counts(&self) -> Vec<ReplicaCount> {
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

    pub(super) fn own_proof_age_ms(&self) -> u32 {
        let age = self.jobs.get().and_then(|jobs| jobs.view().proof_age());
        age.map_or(0, |age| {
            u32::try_from(age.as_millis()).map_or(u32::MAX, |millis| millis.saturating_add(1))
        })
    }

    /// What a notice tells of the operator's rows.
    pub(super) fn take_news(&self, state: &State, notice: &mut LoadNotice) {
        let Some(news) = self.news.get() else {
            return;
        };
        if let Some(evacuations) = notice.evacuations.take() {
            news.take_evacuations(evacuations, &notice.from);
        }
        news.take_version(notice.configuration_version, || {
            let member = state.view.member(&notice.from)?;
            Some(member.peer_address.clone())
        });
    }

    pub(super) fn take_notice(&self, state: &mut State, mut notice: LoadNotice) {
        self.take_news(state, &mut notice);
        let is_new = state.loads.apply(notice, harrierward_clock::now());
        // In a large fleet notices come too often for that; the tick publishes them.
        if is_new && state.loads.reporting() <= NOTICE_FAN_OUT {
            self.publish_loads(state);
        }
    }

    pub(super) fn publish_loads(&self, state: &mut State) {
        let peers = state.view.members.len().saturating_sub(1);
        let view = self.replicas.view();
        let sums = state.loads.sums(peers);
        // Of very many replicas peers have something at a few.
        let before = std::mem::take(&mut state.published);
        for hash in before.iter().chain(sums.keys()) {
            let Some(replica) = view.by_hash(*hash) else {
                continue;
            };
            if !self.slots.coordinates(replica) {
                let sum = sums.get(hash).copied().unwrap_or_default();
                replica.set_peer_counts(sum.online, sum.batch);
            }
        }
        state.published = sums.into_keys().collect();
    }

    pub(super) fn is_alone_without_proof_for(&self, state: &State, least: Duration) -> bool {
        let own = Duration::from_millis(u64::from(self.own_proof_age_ms()));
        if own < least {
            return false;
        }
        let (mut reaching, mut all) = (0, 0);
        for age_ms in state.loads.proof_ages_ms(harrierward_clock::now()) {
            all += 1;
            let age = Duration::from_millis(u64::from(age_ms));
            reaching += usize::from(age_ms > 0 && age < ALONE_CUT_OFF_AFTER);
        }
        reaching * 2 > all
    }
}
