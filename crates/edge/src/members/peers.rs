//! What jobs ask of the other daemons: who may own them, and tokens of quotas.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use harrierward_inline_jobs::{Peers, QuotaRequest};
use harrierward_membership::MembershipView;
use harrierward_ownership::OwnerStatus;
use harrierward_serving::Location;
use harrierward_tenants::AllowedRegions;
use harrierward_wire::{QuotaAnswer, QuotaAsk, QuotaOutcome, node_datagram};

use crate::calls::{CallPatience, PeerPlace};

use super::{LifeName, Members, udp_address};

/// Bounds of a question for a job's tokens.
const QUOTA_PATIENCE: CallPatience = CallPatience {
    again: Duration::from_millis(40),
    give_up: Duration::from_millis(100),
    longest: Duration::from_millis(200),
};

/// Time after the first sight of others in which the rest become known.
const SETTLE: Duration = Duration::from_millis(1_200);

/// Time after which a daemon that found nobody takes itself for the only one.
const ALONE_AFTER: Duration = Duration::from_millis(2_500);

impl Members {
    /// A peer wants tokens for a job, or gives them back.
    pub(super) fn take_quota_ask(&self, ask: &QuotaAsk, from: SocketAddr) {
        let Some(jobs) = self.jobs.get() else {
            return;
        };
        let request = QuotaRequest {
            route: &ask.route,
            tenant: &ask.tenant,
            job: &ask.job,
            tokens: ask.tokens,
            submission: ask.submission,
        };
        if ask.returned {
            jobs.release_grant(request);
            return;
        }
        let (outcome, fence) = jobs.decide_quota(request);
        let answer = QuotaAnswer {
            number: ask.number,
            outcome: outcome as i32,
            fence,
        };
        self.send_to(node_datagram::Kind::QuotaAnswer(answer), from);
    }

    /// Where a living member takes datagrams.
    pub(super) fn address_of(&self, member: &str) -> Option<SocketAddr> {
        let state = self.lock();
        state.view.member(member)?;
        udp_address(&state.core, member)
    }

    pub(super) fn quota_ask(&self, request: QuotaRequest<'_>) -> QuotaAsk {
        QuotaAsk {
            number: self.next_quota_call.fetch_add(1, Ordering::Relaxed),
            route: request.route.to_owned(),
            tenant: request.tenant.to_owned(),
            job: request.job.to_owned(),
            tokens: request.tokens,
            returned: false,
            submission: request.submission,
        }
    }
}

/// True if a daemon that is not in the view has been started again: another start at its machine is there, and a later one.
fn has_later_start(view: &MembershipView, life: &str) -> bool {
    let Some(gone) = LifeName::parse(life) else {
        return false;
    };
    let lives = view.members.iter().map(|member| member.id.as_str());
    lives
        .filter_map(LifeName::parse)
        .any(|life| life.member == gone.member && life.started_ms > gone.started_ms)
}

#[async_trait]
impl Peers for Members {
    fn owners(&self) -> Option<Vec<String>> {
        let state = self.lock();
        let settled = match state.others_since {
            Some(since) => since.elapsed() >= SETTLE,
            None => self.started.elapsed() >= ALONE_AFTER,
        };
        if !settled {
            return None;
        }
        let attached = state.view.staying().filter(|member| !member.detached);
        Some(attached.map(|member| member.id.clone()).collect())
    }

    fn owners_in(&self, regions: &AllowedRegions) -> Option<Vec<String>> {
        let owners = self.owners()?;
        let view = self.view();
        let is_in = |owner: &String| {
            let member = view.member(owner);
            member.is_some_and(|member| regions.allows(&member.region))
        };
        Some(owners.into_iter().filter(is_in).collect())
    }

    fn owner_status(&self, owner: &str) -> OwnerStatus {
        let view = self.view();
        match view.member(owner) {
            Some(member) if member.detached || member.leaving => OwnerStatus::Detached,
            Some(_) => OwnerStatus::Present,
            None if has_later_start(&view, owner) => OwnerStatus::Superseded,
            None => OwnerStatus::Absent,
        }
    }

    fn owners_near(&self, owner: &str) -> Vec<String> {
        let state = self.lock();
        let Some(region) = state.core.region(owner) else {
            return Vec::new();
        };
        let staying = state.view.staying();
        let near = staying.filter(|member| !member.detached && member.region == region);
        near.map(|member| member.id.clone()).collect()
    }

    async fn request_quota(
        &self,
        coordinator: &str,
        request: QuotaRequest<'_>,
    ) -> Option<(QuotaOutcome, u64)> {
        let address = self.address_of(coordinator)?;
        let own = Location::new(&self.zone, &self.region);
        let view = self.view();
        let peer = view.member(coordinator);
        let peer = peer.map_or(own, |one| Location::new(&one.zone, &one.region));
        let place = PeerPlace::from(own, peer);
        let ask = self.quota_ask(request);
        let send = || self.send_to(node_datagram::Kind::QuotaAsk(ask.clone()), address);
        let answer = self
            .quota_calls
            .ask(ask.number, place, QUOTA_PATIENCE, send)
            .await?;
        Some((answer.outcome(), answer.fence))
    }

    fn release_quota(&self, coordinator: &str, request: QuotaRequest<'_>) {
        if let Some(address) = self.address_of(coordinator) {
            let ask = QuotaAsk {
                returned: true,
                ..self.quota_ask(request)
            };
            self.send_to(node_datagram::Kind::QuotaAsk(ask), address);
        }
    }
}
