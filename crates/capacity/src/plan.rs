//! The capacity plan: whose batch items may use which service's idle slots.
//!
//! Isolation is enforced here, not in the programs: an offer covers only services that the program's tenant owns, a
//! borrower gets at most the offered share, and the borrowed shares of a service never exceed 1 in total.

use std::collections::BTreeMap;

use harrierward_config::ConfigSnapshot;
use rhai::AST;

use crate::policy::{PolicyEngine, PolicyError, PolicyNumbers, PolicyRun};

/// Load of a service, as seen by the daemon that computes the plan.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceLoad {
    /// Number of known replicas.
    pub replicas: u32,
    /// Idle part of the slots, 0 to 1.
    pub idle: f64,
    /// Number of online requests in progress.
    pub online_running: f64,
    /// Number of queued batch items, by tenant.
    pub backlog: BTreeMap<String, u32>,
}

/// Input of the plan in addition to the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlanInput {
    /// Load by name of the service.
    pub loads: BTreeMap<String, ServiceLoad>,
    /// Hour of the day in UTC, with fractions.
    pub hour: f64,
    /// False if the configuration may be out of date; then no capacity is lent.
    pub fresh: bool,
}

/// Limit of a borrower's use of a service's batch slots.
#[derive(Debug, Clone, PartialEq)]
pub struct TenantShare {
    /// Name of the borrowing tenant.
    pub tenant: String,
    /// Maximum part of the batch slots, 0 to 1.
    pub share: f64,
}

/// The tenants that may use a service's batch slots, and their limits.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServicePlan {
    /// Tenant that owns the service; may use all slots that aren't borrowed.
    pub owner: String,
    /// Borrowing tenants other than the owner; their shares add up to at most 1.
    pub borrowers: Vec<TenantShare>,
    /// Time within which lent slots must be returned, in milliseconds.
    pub return_ms: u64,
}

impl ServicePlan {
    /// Returns the tenants whose items may run on the service, the owner first.
    pub fn tenants(&self) -> Vec<String> {
        let borrowers = self.borrowers.iter().map(|share| share.tenant.clone());
        std::iter::once(self.owner.clone())
            .chain(borrowers)
            .collect()
    }

    /// Returns the maximum part of the batch slots for a tenant: 1 for the owner, 0 for a tenant without a share.
    pub fn share_of(&self, tenant: &str) -> f64 {
        if tenant == self.owner {
            return 1.0;
        }
        self.borrowers
            .iter()
            .find(|share| share.tenant == tenant)
            .map_or(0.0, |share| share.share)
    }
}

/// An immutable plan for all services of a configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CapacityPlan {
    /// Plans by name of the service.
    pub services: BTreeMap<String, ServicePlan>,
}

/// A policy whose program failed; its last good result was used, if any.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicyFailure {
    /// Name of the policy.
    pub policy: String,
    /// Cause of the failure.
    pub error: PolicyError,
}

struct Program {
    revision: u64,
    ast: Option<AST>,
    last_good_run: Option<PolicyRun>,
}

/// Computes plans from the tenants' programs, and keeps the last good result of each program.
#[derive(Default)]
pub struct CapacityPlanner {
    engine: PolicyEngine,
    programs: BTreeMap<String, Program>,
}

impl CapacityPlanner {
    /// Computes a plan; also returns the policies whose programs failed.
    pub fn plan(
        &mut self,
        config: &ConfigSnapshot,
        input: &PlanInput,
    ) -> (CapacityPlan, Vec<PolicyFailure>) {
        let mut failures = Vec::new();
        let mut runs = BTreeMap::new();
        if input.fresh {
            for (object, spec) in config.policies() {
                let owned = config
                    .service(&spec.service)
                    .is_some_and(|(service, _)| service.owner == object.owner);
                if !owned {
                    continue;
                }
                let program_input = program_input(&spec.service, &object.owner, input);
                let result = self.run(&object.name, object.revision, &spec.program, &program_input);
                if let Err(error) = &result {
                    failures.push(PolicyFailure {
                        policy: object.name.clone(),
                        error: error.clone(),
                    });
                }
                let run = result.ok().or_else(|| self.last_good_run(&object.name));
                if let Some(run) = run {
                    runs.insert((spec.service.clone(), object.owner.clone()), run);
                }
            }
        }
        let names: Vec<String> = config
            .policies()
            .map(|(object, _)| object.name.clone())
            .collect();
        self.programs.retain(|name, _| names.contains(name));
        (compute_plan(config, &runs), failures)
    }

    fn last_good_run(&self, policy: &str) -> Option<PolicyRun> {
        self.programs.get(policy)?.last_good_run.clone()
    }

    fn run(
        &mut self,
        policy: &str,
        revision: u64,
        source: &str,
        program_input: &PolicyNumbers,
    ) -> Result<PolicyRun, PolicyError> {
        let is_current = self
            .programs
            .get(policy)
            .is_some_and(|program| program.revision == revision);
        if !is_current {
            let program = Program {
                revision,
                ast: self.engine.compile(source).ok(),
                last_good_run: None,
            };
            self.programs.insert(policy.to_owned(), program);
        }
        let Some(program) = self.programs.get_mut(policy) else {
            return Err(PolicyError::Run("no such program".to_owned()));
        };
        let Some(ast) = &program.ast else {
            return Err(PolicyError::Compile("invalid program source".to_owned()));
        };
        let run = self.engine.run(ast, program_input)?;
        program.last_good_run = Some(run.clone());
        Ok(run)
    }
}

/// Returns the input of a program of `owner`; of other tenants it contains only their backlogs.
fn program_input(service: &str, owner: &str, input: &PlanInput) -> PolicyNumbers {
    let load = input.loads.get(service).cloned().unwrap_or_default();
    let own_backlog = load.backlog.get(owner).copied().unwrap_or_default();
    let asking = load
        .backlog
        .into_iter()
        .filter(|(tenant, _)| tenant != owner)
        .collect();
    PolicyNumbers {
        replicas: load.replicas,
        idle: load.idle,
        online_running: load.online_running,
        own_backlog,
        asking,
        hour: input.hour,
    }
}

/// Combines the programs' results, by (service, owner), into a plan.
pub fn compute_plan(
    config: &ConfigSnapshot,
    runs: &BTreeMap<(String, String), PolicyRun>,
) -> CapacityPlan {
    // The maximum share requested by any of a tenant's programs limits its share of each service.
    let mut requested_shares: BTreeMap<&str, f64> = BTreeMap::new();
    for ((_, tenant), run) in runs {
        let requested_share = requested_shares.entry(tenant.as_str()).or_default();
        *requested_share = requested_share.max(run.requested_share);
    }
    let services = config
        .services()
        .map(|(object, _)| {
            let run = runs.get(&(object.name.clone(), object.owner.clone()));
            let plan = service_plan(config, &object.owner, run, &requested_shares);
            (object.name.clone(), plan)
        })
        .collect();
    CapacityPlan { services }
}

fn service_plan(
    config: &ConfigSnapshot,
    owner: &str,
    run: Option<&PolicyRun>,
    requested_shares: &BTreeMap<&str, f64>,
) -> ServicePlan {
    let mut plan = ServicePlan {
        owner: owner.to_owned(),
        ..ServicePlan::default()
    };
    let Some(run) = run else { return plan };
    plan.return_ms = run.offer.return_ms;
    for (tenant, offered) in &run.offer.shares {
        let is_tenant = config.objects().any(|object| {
            object.name == *tenant && object.spec.kind() == harrierward_config::ObjectKind::Tenant
        });
        let requested = requested_shares
            .get(tenant.as_str())
            .copied()
            .unwrap_or_default();
        let share = offered.min(requested);
        if is_tenant && tenant != owner && share > 0.0 {
            plan.borrowers.push(TenantShare {
                tenant: tenant.clone(),
                share,
            });
        }
    }
    let total: f64 = plan.borrowers.iter().map(|share| share.share).sum();
    if total > 1.0 {
        for borrower in &mut plan.borrowers {
            borrower.share /= total;
        }
    }
    plan
}
