//! Peer operations of jobs: eligible owners, and requests for quota tokens.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use harrierward_inline_jobs::{Peers, QuotaRequest};
use harrierward_membership::MembershipView;
use harrierward_ownership::OwnerStatus;
use harrierward_serving::Location;
use harrierward_tenants::AllowedRegions;
use harrierward_wire::{
    FailureReport, JobFailures, QuotaAnswer, QuotaAsk, QuotaOutcome, node_datagram,
};

use crate::calls::{CallTimeouts, PeerLocation};

use super::{InstanceId, Members, udp_address};

const QUOTA_TIMEOUTS: CallTimeouts = CallTimeouts {
    resend_after: Duration::from_millis(40),
    timeout: Duration::from_millis(100),
    max_timeout: Duration::from_millis(200),
};

/// Jobs in one report of failures: some 1 kB, and below the size limit of datagrams even where every item failed.
const MAX_JOBS_PER_REPORT: usize = 16;

/// Time after the first other member within which the remaining members become known.
const VIEW_SETTLE_TIME: Duration = Duration::from_millis(1_200);

/// Time after which a daemon without peers considers itself the only one.
const SINGLE_DAEMON_AFTER: Duration = Duration::from_millis(2_500);

impl Members {
    /// Handles a peer's request for a job's tokens, or their return.
    pub(super) fn handle_quota_ask(&self, ask: &QuotaAsk, from: SocketAddr) {
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
        let reply = QuotaAnswer {
            number: ask.number,
            outcome: outcome as i32,
            fence,
        };
        self.send_to(node_datagram::Kind::QuotaAnswer(reply), from);
    }

    /// Returns the datagram address of a live member.
    pub(super) fn udp_address_of(&self, member: &str) -> Option<SocketAddr> {
        let state = self.lock();
        state.view.member(member)?;
        udp_address(&state.core, member)
    }

    pub(super) fn quota_message(&self, request: QuotaRequest<'_>) -> QuotaAsk {
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

/// True if the view contains a later instance of a daemon whose instance `instance_id` has departed.
fn has_later_instance(view: &MembershipView, instance_id: &str) -> bool {
    let Some(departed) = InstanceId::parse(instance_id) else {
        return false;
    };
    let member_ids = view.members.iter().map(|member| member.id.as_str());
    member_ids
        .filter_map(InstanceId::parse)
        .any(|other| other.member == departed.member && other.started_ms > departed.started_ms)
}

#[async_trait]
impl Peers for Members {
    fn owners(&self) -> Option<Vec<String>> {
        let state = self.lock();
        let settled = match state.first_peer_at {
            Some(since) => since.elapsed() >= VIEW_SETTLE_TIME,
            None => self.started.elapsed() >= SINGLE_DAEMON_AFTER,
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
            None if has_later_instance(&view, owner) => OwnerStatus::Superseded,
            None => OwnerStatus::Absent,
        }
    }

    fn owners_near(&self, owner: &str) -> Vec<String> {
        let state = self.lock();
        let Some(region) = state.core.region(owner) else {
            return Vec::new();
        };
        let staying = state.view.staying();
        let candidates = staying.filter(|member| !member.detached && member.region == region);
        candidates.map(|member| member.id.clone()).collect()
    }

    async fn request_quota(
        &self,
        coordinator: &str,
        request: QuotaRequest<'_>,
    ) -> Option<(QuotaOutcome, u64)> {
        let address = self.udp_address_of(coordinator)?;
        let own = Location::new(&self.zone, &self.region);
        let view = self.view();
        let peer = view.member(coordinator);
        let peer = peer.map_or(own, |one| Location::new(&one.zone, &one.region));
        let location = PeerLocation::from(own, peer);
        let ask = self.quota_message(request);
        let send = || self.send_to(node_datagram::Kind::QuotaAsk(ask.clone()), address);
        let reply = self
            .quota_calls
            .call(ask.number, location, QUOTA_TIMEOUTS, send)
            .await?;
        Some((reply.outcome(), reply.fence))
    }

    fn release_quota(&self, coordinator: &str, request: QuotaRequest<'_>) {
        if let Some(address) = self.udp_address_of(coordinator) {
            let ask = QuotaAsk {
                returned: true,
                ..self.quota_message(request)
            };
            self.send_to(node_datagram::Kind::QuotaAsk(ask), address);
        }
    }

    fn report_failures(&self, recipient: &str, jobs: Vec<JobFailures>) {
        let Some(address) = self.udp_address_of(recipient) else {
            return;
        };
        for jobs in jobs.chunks(MAX_JOBS_PER_REPORT) {
            let report = FailureReport {
                from: self.instance_id.clone(),
                jobs: jobs.to_vec(),
            };
            self.send_to(node_datagram::Kind::FailureReport(report), address);
        }
    }
}
