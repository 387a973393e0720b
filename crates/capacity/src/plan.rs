//! The capacity plan: whose batch work may use which service's idle slots.
//!
//! Isolation is enforced here, outside the programs: a program's offer speaks only for services that its tenant
//! owns, a borrower's ask cannot exceed the lender's offer, and the shares of a service never add up to more
//! than all of it. A program that fails keeps its last good answer, else lends and borrows nothing.

use std::collections::BTreeMap;

use harrierward_config::ConfigSnapshot;
use rhai::AST;

use crate::policy::{PolicyEngine, PolicyError, PolicyNumbers, PolicyRun};

/// What is known of a service when the plan is made.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceLoad {
    /// Replicas.
    pub replicas: u32,
    /// Idle share of its slots, 0 to 1.
    pub idle: f64,
    /// Online requests in progress.
    pub online_running: f64,
    /// Batch items waiting, by tenant.
    pub backlog: BTreeMap<String, u32>,
}

/// Input of the plan besides the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlanInput {
    /// Load by service.
    pub loads: BTreeMap<String, ServiceLoad>,
    /// Hour of the day, UTC.
    pub hour: f64,
    /// False if the configuration may be out of date: nothing is lent.
    pub fresh: bool,
}

/// A tenant's part of a service's batch slots.
#[derive(Debug, Clone, PartialEq)]
pub struct TenantShare {
    /// Tenant.
    pub tenant: String,
    /// Greatest share of the batch slots, 0 to 1.
    pub share: f64,
}

/// The plan of one service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServicePlan {
    /// Owner of the service; uses what nobody borrows.
    pub owner: String,
    /// Borrowers.
    pub borrowers: Vec<TenantShare>,
    /// Time within which lent slots must be back, milliseconds.
    pub return_ms: u64,
}

impl ServicePlan {
    /// Tenants whose items may run on the service.
    pub fn tenants(&self) -> Vec<String> {
        let borrowers = self.borrowers.iter().map(|share| share.tenant.clone());
        std::iter::once(self.owner.clone())
            .chain(borrowers)
            .collect()
    }

    /// Greatest share of the batch slots for a tenant.
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

/// An immutable plan for all services.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CapacityPlan {
    /// Plans by service.
    pub services: BTreeMap<String, ServicePlan>,
}

/// A policy that gave no answer this time.
#[derive(Debug, Clone, PartialEq)]
pub struct PlanProblem {
    /// Policy's name.
    pub policy: String,
    /// What went wrong.
    pub error: PolicyError,
}

struct Program {
    revision: u64,
    ast: Option<AST>,
    last_good: Option<PolicyRun>,
}

/// Runs the programs at each control tick and remembers their last good answers.
#[derive(Default)]
pub struct Lender {
    engine: PolicyEngine,
    programs: BTreeMap<String, Program>,
}

impl Lender {
    /// A new plan; programs that failed are reported.
    pub fn plan(
        &mut self,
        config: &ConfigSnapshot,
        input: &PlanInput,
    ) -> (CapacityPlan, Vec<PlanProblem>) {
        let mut problems = Vec::new();
        let mut runs = BTreeMap::new();
        if input.fresh {
            for (object, spec) in config.policies() {
                let owned = config
                    .service(&spec.service)
                    .is_some_and(|(service, _)| service.owner == object.owner);
                if !owned {
                    continue;
                }
                let numbers = numbers(&spec.service, &object.owner, input);
                let result = self.run(&object.name, object.revision, &spec.program, &numbers);
                if let Err(error) = &result {
                    problems.push(PlanProblem {
                        policy: object.name.clone(),
                        error: error.clone(),
                    });
                }
                let run = result.ok().or_else(|| self.last_good(&object.name));
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
        (compute_plan(config, &runs), problems)
    }

    fn last_good(&self, policy: &str) -> Option<PolicyRun> {
        self.programs.get(policy)?.last_good.clone()
    }

    fn run(
        &mut self,
        policy: &str,
        revision: u64,
        source: &str,
        numbers: &PolicyNumbers,
    ) -> Result<PolicyRun, PolicyError> {
        let known = self
            .programs
            .get(policy)
            .is_some_and(|program| program.revision == revision);
        if !known {
            let program = Program {
                revision,
                ast: self.engine.compile(source).ok(),
                last_good: None,
            };
            self.programs.insert(policy.to_owned(), program);
        }
        let Some(program) = self.programs.get_mut(policy) else {
            return Err(PolicyError::Run("no such program".to_owned()));
        };
        let Some(ast) = &program.ast else {
            return Err(PolicyError::Compile("does not compile".to_owned()));
        };
        let run = self.engine.run(ast, numbers)?;
        program.last_good = Some(run.clone());
        Ok(run)
    }
}

/// The numbers that a program of `owner` sees: of others, only that they ask and for how much.
fn numbers(service: &str, owner: &str, input: &PlanInput) -> PolicyNumbers {
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

/// Turns the programs' answers, by (service, owner), into a plan.
pub fn compute_plan(
    config: &ConfigSnapshot,
    runs: &BTreeMap<(String, String), PolicyRun>,
) -> CapacityPlan {
    // A tenant's greatest ask over its programs bounds what it borrows anywhere.
    let mut asks: BTreeMap<&str, f64> = BTreeMap::new();
    for ((_, tenant), run) in runs {
        let ask = asks.entry(tenant.as_str()).or_default();
        *ask = ask.max(run.ask);
    }
    let services = config
        .services()
        .map(|(object, _)| {
            let run = runs.get(&(object.name.clone(), object.owner.clone()));
            let plan = service_plan(config, &object.owner, run, &asks);
            (object.name.clone(), plan)
        })
        .collect();
    CapacityPlan { services }
}

fn service_plan(
    config: &ConfigSnapshot,
    owner: &str,
    run: Option<&PolicyRun>,
    asks: &BTreeMap<&str, f64>,
) -> ServicePlan {
    let mut plan = ServicePlan {
        owner: owner.to_owned(),
        ..ServicePlan::default()
    };
    let Some(run) = run else { return plan };
    plan.return_ms = run.offer.return_ms;
    for (tenant, offered) in &run.offer.shares {
        let known = config.objects().any(|object| {
            object.name == *tenant && object.spec.kind() == harrierward_config::ObjectKind::Tenant
        });
        let asked = asks.get(tenant.as_str()).copied().unwrap_or_default();
        let share = offered.min(asked);
        if known && tenant != owner && share > 0.0 {
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
