//! Guards against policy programs that affect other tenants' capacity, and against batch work in online slots.

use std::collections::BTreeMap;

use harrierward_capacity::{
    CapacityPlanner, PlanInput, PolicyOffer, PolicyRun, RunningBatchItem, SlotBudget, SlotSettings,
    check_program, compute_plan, select_victims,
};
use harrierward_config::{ConfigObject, ConfigSnapshot, PolicySpec, ServiceSpec, Spec, TenantSpec};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::time::Duration;

const TENANTS: [&str; 3] = ["desks", "trakia", "third"];

fn object(name: &str, owner: &str, spec: Spec) -> ConfigObject {
    ConfigObject {
        name: name.to_owned(),
        owner: owner.to_owned(),
        revision: 1,
        spec,
    }
}

fn config(programs: &[(&str, &str)]) -> ConfigSnapshot {
    let mut objects = Vec::new();
    for tenant in TENANTS {
        objects.push(object(tenant, tenant, Spec::Tenant(TenantSpec::default())));
        let model = format!("{tenant}-model");
        let service = ServiceSpec { model };
        objects.push(object(
            &format!("{tenant}-service"),
            tenant,
            Spec::Service(service),
        ));
    }
    for (owner, program) in programs {
        let policy = PolicySpec {
            service: format!("{owner}-service"),
            program: (*program).to_owned(),
        };
        objects.push(object(
            &format!("{owner}-policy"),
            owner,
            Spec::Policy(policy),
        ));
    }
    ConfigSnapshot::new(1, objects)
}

fn fresh() -> PlanInput {
    PlanInput {
        fresh: true,
        ..PlanInput::default()
    }
}

fn offer() -> impl Strategy<Value = PolicyRun> {
    let shares = prop::collection::btree_map(
        prop::sample::select(vec!["desks", "trakia", "third", "nobody"]).prop_map(str::to_owned),
        0.0..=1.0f64,
        0..4,
    );
    (shares, 0.0..=1.0f64).prop_map(|(shares, requested_share)| PolicyRun {
        offer: PolicyOffer {
            shares,
            return_ms: 100,
        },
        requested_share,
        operations: 1,
    })
}

proptest! {
    #![proptest_config(Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(99),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn a_plan_never_exceeds_offers_requests_or_capacity(runs in prop::collection::vec(offer(), 3)) {
        let config = config(&[]);
        let by_service: BTreeMap<(String, String), PolicyRun> = TENANTS
            .iter()
            .zip(&runs)
            .map(|(tenant, run)| ((format!("{tenant}-service"), (*tenant).to_owned()), run.clone()))
            .collect();
        let plan = compute_plan(&config, &by_service);
        for (owner, run) in TENANTS.iter().zip(&runs) {
            let service = &plan.services[&format!("{owner}-service")];
            prop_assert_eq!(service.owner.as_str(), *owner);
            let mut total = 0.0;
            for borrower in &service.borrowers {
                let position = TENANTS.iter().position(|tenant| *tenant == borrower.tenant);
                let requested_share = position.map_or(0.0, |position| runs[position].requested_share);
                prop_assert!(borrower.share <= run.offer.shares[&borrower.tenant] + 1e-9);
                prop_assert!(borrower.share <= requested_share + 1e-9);
                total += borrower.share;
            }
            prop_assert!(total <= 1.0 + 1e-9);
        }
    }

    #[test]
    fn batch_never_takes_slots_of_online(online in 0..200u32, prefill in 0..50_000u32, millis in 1..5_000u64) {
        let settings = SlotSettings::default();
        let mut budget = SlotBudget::new(settings);
        let now = Duration::from_millis(millis);
        budget.observe_online(now, online, prefill);
        let waiting = f64::from(prefill) * settings.prefill_token_micros;
        if waiting > settings.burst_threshold_micros {
            prop_assert_eq!(budget.limit(now), 0);
        }
        let limit = budget.limit(now + Duration::from_secs(10));
        prop_assert!(limit + online.min(settings.max_running) <= settings.max_running);
    }
}

#[test]
fn a_hostile_program_harms_only_its_owner() {
    let hostile = [
        "fn lend(n) { loop { } }",
        "fn lend(n) { let a = []; loop { a.push(1); } }",
        "fn lend(n) { let s = \"x\"; loop { s += s; } }",
        "fn f(x) { f(x) } fn lend(n) { f(1) }",
        "fn lend(n) { #{ to: 7 } }",
        "fn lend(n) { throw \"no\" }",
        "fn lend(n) { eval(\"40 + 2\") }",
        "import \"os\" as os; fn lend(n) { 1 }",
    ];
    let good = "fn lend(n) { #{ to: #{ third: 0.4 }, return_ms: 50 } } fn borrow(n) { 0.0 }";
    let requested_share = "fn borrow(n) { 1.0 }";
    for program in hostile {
        assert!(
            check_program(program).is_err(),
            "{program} passed the check"
        );
        let config = config(&[
            ("desks", program),
            ("trakia", good),
            ("third", requested_share),
        ]);
        let (plan, failures) = CapacityPlanner::default().plan(&config, &fresh());
        assert_eq!(failures.len(), 1, "{program}: {failures:?}");
        assert!(plan.services["desks-service"].borrowers.is_empty());
        assert_eq!(plan.services["trakia-service"].share_of("third"), 0.4);
    }
}

#[test]
fn a_program_that_fails_later_keeps_its_last_good_result() {
    let program =
        "fn lend(n) { if n.online_running > 5.0 { throw \"no\" } #{ to: #{ trakia: 0.5 } } }";
    let config = config(&[("desks", program), ("trakia", "fn borrow(n) { 1.0 }")]);
    let mut planner = CapacityPlanner::default();
    let (first, failures) = planner.plan(&config, &fresh());
    assert!(failures.is_empty(), "{failures:?}");
    assert_eq!(first.services["desks-service"].share_of("trakia"), 0.5);
    let mut input = fresh();
    input
        .loads
        .entry("desks-service".to_owned())
        .or_default()
        .online_running = 9.0;
    let (second, failures) = planner.plan(&config, &input);
    assert_eq!(failures.len(), 1);
    assert_eq!(second.services["desks-service"].share_of("trakia"), 0.5);
}

#[test]
fn no_capacity_is_lent_under_a_stale_configuration() {
    let config = config(&[
        ("desks", "fn lend(n) { #{ to: #{ trakia: 1.0 } } }"),
        ("trakia", "fn borrow(n) { 1.0 }"),
    ]);
    let (plan, _) = CapacityPlanner::default().plan(&config, &PlanInput::default());
    assert!(plan.services["desks-service"].borrowers.is_empty());
    assert_eq!(plan.services["desks-service"].share_of("desks"), 1.0);
}

#[test]
fn at_most_once_items_are_never_victims() {
    let item = |id: &str, max_remaining, at_most_once| RunningBatchItem {
        request_id: id.to_owned(),
        generated: 1,
        max_remaining,
        at_most_once,
    };
    let running = [
        item("a", 5, false),
        item("b", 50, true),
        item("c", 9, false),
    ];
    let victims = select_victims(&running, 0);
    let ids: Vec<&str> = victims
        .iter()
        .map(|item| item.request_id.as_str())
        .collect();
    assert_eq!(ids, ["c", "a"]);
}
