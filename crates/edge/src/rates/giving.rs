//! Giving out tokens: as the coordinator of a tenant, or in the place of one that is silent to the asker.

use harrierward_decisions::Record;
use harrierward_tenants::{RateDecision, Succession, Tenant};
use harrierward_wire::{RateAsk, RateGrant, RateOutcome};
use tokio::time::Instant;

use super::{RateService, permille};
use crate::order::{first_two, first_two_ids};
use crate::slots::CoordinatorCandidate;

impl RateService {
    /// Gives out tokens of a tenant that this daemon coordinates; `None` if it cannot tell its part of the limit yet.
    pub(super) fn give_out(&self, tenant: &Tenant, wanted: u32) -> Option<RateDecision> {
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
            .take(&tenant.name, limit, &self.bounds, share, wanted, now);
        Some(decision)
    }

    /// Gives out a token of a tenant in the place of its coordinator, which is silent to the asker. Returns false if
    /// this daemon may not, or has given out all that it may.
    pub(super) fn stand_in(&self, tenant: &Tenant, silent: &str) -> bool {
        let members = self.members.load();
        let now = harrierward_clock::now();
        let share = self.fleet.share(members.len(), now);
        let mut state = self.lock();
        let may = state.is_told && self.follows(tenant, silent, &state.succession, &members, now);
        let limit = tenant.rate;
        let stood_in = may
            && state
                .ledger
                .take_as_fallback(&tenant.name, limit, &self.bounds, share, now);
        drop(state);
        self.log.record(&Record::RateStoodIn {
            tenant: &tenant.name,
            silent,
            outcome: match (may, stood_in) {
                (false, _) => "may not",
                (true, false) => "used up",
                (true, true) => "granted",
            },
            share_permille: permille(share),
        });
        stood_in
    }

    /// True if this daemon comes next after `silent`, also among the members that went lately.
    fn follows(
        &self,
        tenant: &Tenant,
        silent: &str,
        succession: &Succession,
        members: &[CoordinatorCandidate],
        now: Instant,
    ) -> bool {
        let Some(gone) = succession.departed(now) else {
            return false;
        };
        let members = members.iter().map(|member| member.id.as_str());
        first_two_ids(&tenant.name, members.chain(gone)) == [Some(silent), Some(&*self.life)]
    }

    pub(super) fn answer(&self, ask: &RateAsk) -> RateGrant {
        self.take_fleet(ask.fleet_members, ask.fleet_seen_ms_ago);
        let mut grant = self.decide(ask);
        (grant.fleet_members, grant.fleet_seen_ms_ago) =
            self.fleet.describe(harrierward_clock::now());
        grant
    }

    fn decide(&self, ask: &RateAsk) -> RateGrant {
        let members = self.members.load();
        let is_first = self.is_first(&ask.tenant, &members);
        let tenant = self.tenant(&ask.tenant);
        let decision = tenant
            .filter(|_| is_first)
            .and_then(|tenant| self.give_out(&tenant, ask.wanted.max(1)));
        let Some(decision) = decision else {
            if self.stands_in_for(ask) {
                return RateGrant {
                    number: ask.number,
                    outcome: RateOutcome::Granted as i32,
                    tokens: 1,
                    ..RateGrant::default()
                };
            }
            let [first, _] = first_two(&ask.tenant, &members);
            let other = first.filter(|member| member.id != self.life);
            let address = other.and_then(|member| member.address);
            return RateGrant {
                number: ask.number,
                outcome: RateOutcome::NotCoordinator as i32,
                coordinator: address.map_or_else(String::new, |address| address.to_string()),
                ..RateGrant::default()
            };
        };
        match decision {
            RateDecision::Granted { tokens } => RateGrant {
                number: ask.number,
                outcome: RateOutcome::Granted as i32,
                tokens,
                ..RateGrant::default()
            },
            RateDecision::Exhausted { retry_after } => RateGrant {
                number: ask.number,
                outcome: RateOutcome::Empty as i32,
                retry_after_ms: u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX),
                ..RateGrant::default()
            },
        }
    }

    /// True if it gave out a token for a question whose asker met a silent coordinator.
    fn stands_in_for(&self, ask: &RateAsk) -> bool {
        if ask.silent.is_empty() {
            return false;
        }
        let tenant = self.tenant(&ask.tenant);
        tenant.is_some_and(|tenant| self.stand_in(&tenant, &ask.silent))
    }
}
