//! Granting of tokens, as the coordinator of a tenant or as the fallback of one that is unresponsive to the requester.

use harrierward_decisions::Record;
use harrierward_tenants::{RateDecision, Succession, Tenant};
use harrierward_wire::{RateAsk, RateGrant, RateOutcome};
use tokio::time::Instant;

use super::{RateService, permille};
use crate::rendezvous::{top_two, top_two_ids};
use crate::slots::CoordinatorCandidate;

impl RateService {
    /// Grants tokens of a tenant that this daemon coordinates; `None` while its share of the limit is unknown.
    pub(super) fn grant(&self, tenant: &Tenant, requested: u32) -> Option<RateDecision> {
        let members = self.members.load().len();
        let now = harrierward_clock::now();
        let share = self.fleet.share(members, now);
        if share == 0.0 {
            return None;
        }
        let mut state = self.lock();
        self.note_running(&mut state, now);
        let limit = tenant.rate;
        let decision = state
            .ledger
            .take(&tenant.name, limit, &self.bounds, share, requested, now);
        Some(decision)
    }

    /// Grants a token as the fallback of a coordinator that is unresponsive to the requester. Returns false if this
    /// daemon isn't the fallback or its allowance is used up.
    pub(super) fn grant_as_fallback(&self, tenant: &Tenant, unresponsive: &str) -> bool {
        let members = self.members.load();
        let now = harrierward_clock::now();
        let share = self.fleet.share(members.len(), now);
        let mut state = self.lock();
        let is_fallback = state.fleet_size_reported
            && self.is_fallback_of(tenant, unresponsive, &state.succession, &members, now);
        let limit = tenant.rate;
        let granted = is_fallback
            && state
                .ledger
                .take_as_fallback(&tenant.name, limit, &self.bounds, share, now);
        drop(state);
        self.log.record(&Record::RateStoodIn {
            tenant: &tenant.name,
            silent: unresponsive,
            outcome: match (is_fallback, granted) {
                (false, _) => "may not",
                (true, false) => "used up",
                (true, true) => "granted",
            },
            share_permille: permille(share),
        });
        granted
    }

    /// True if this daemon directly follows `unresponsive` in the tenant's rendezvous order, recently departed members
    /// included.
    fn is_fallback_of(
        &self,
        tenant: &Tenant,
        unresponsive: &str,
        succession: &Succession,
        members: &[CoordinatorCandidate],
        now: Instant,
    ) -> bool {
        let Some(departed) = succession.departed(now) else {
            return false;
        };
        let members = members.iter().map(|member| member.id.as_str());
        top_two_ids(&tenant.name, members.chain(departed))
            == [Some(unresponsive), Some(&*self.instance_id)]
    }

    pub(super) fn reply_to(&self, request: &RateAsk) -> RateGrant {
        self.merge_fleet_size(request.fleet_members, request.fleet_seen_ms_ago);
        let mut grant = self.decide(request);
        (grant.fleet_members, grant.fleet_seen_ms_ago) =
            self.fleet.describe(harrierward_clock::now());
        grant
    }

    fn decide(&self, request: &RateAsk) -> RateGrant {
        let members = self.members.load();
        let is_coordinator = self.is_coordinator(&request.tenant, &members);
        let tenant = self.tenant(&request.tenant);
        let decision = tenant
            .filter(|_| is_coordinator)
            .and_then(|tenant| self.grant(&tenant, request.wanted.max(1)));
        let Some(decision) = decision else {
            if self.try_fallback_grant(request) {
                return RateGrant {
                    number: request.number,
                    outcome: RateOutcome::Granted as i32,
                    tokens: 1,
                    ..RateGrant::default()
                };
            }
            let [coordinator, _] = top_two(&request.tenant, &members);
            let other = coordinator.filter(|member| member.id != self.instance_id);
            let address = other.and_then(|member| member.address);
            return RateGrant {
                number: request.number,
                outcome: RateOutcome::NotCoordinator as i32,
                coordinator: address.map_or_else(String::new, |address| address.to_string()),
                ..RateGrant::default()
            };
        };
        match decision {
            RateDecision::Granted { tokens } => RateGrant {
                number: request.number,
                outcome: RateOutcome::Granted as i32,
                tokens,
                ..RateGrant::default()
            },
            RateDecision::Exhausted { retry_after } => RateGrant {
                number: request.number,
                outcome: RateOutcome::Empty as i32,
                retry_after_ms: u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX),
                ..RateGrant::default()
            },
        }
    }

    /// Grants a token as a fallback if the request names an unresponsive coordinator; returns true if it did.
    fn try_fallback_grant(&self, request: &RateAsk) -> bool {
        if request.silent.is_empty() {
            return false;
        }
        let tenant = self.tenant(&request.tenant);
        tenant.is_some_and(|tenant| self.grant_as_fallback(&tenant, &request.silent))
    }
}
