//! Guards admission by key: unknown keys are refused, and a daemon with an outdated configuration refuses without
//! calling a key unknown.

use std::time::Duration;

use harrierward_serving::{
    ConfigurationProof, KeyTrust, RefusalCause, Route, RouteKind, RouteTable, ServingConfiguration,
    WeightedService, caller_of,
};
use harrierward_tenants::{AllowedRegions, ApiKey, RateLimit, TenantDirectory, TenantSpec};
use proptest::prelude::*;
use tokio::time::{Instant, advance};

const TRUST: Duration = Duration::from_secs(5);

fn table(has_tenants: bool) -> RouteTable {
    let specs = [TenantSpec {
        allowed_regions: AllowedRegions::default(),
        name: "ada".to_owned(),
        keys: vec![ApiKey::new("good")],
        priority: Some(1),
        rate: RateLimit::UNLIMITED,
    }];
    let configuration = ServingConfiguration {
        version: 1,
        tenants: has_tenants.then(|| TenantDirectory::new(&specs).expect("a directory")),
        ..ServingConfiguration::default()
    };
    RouteTable::build(configuration, None)
}

fn route(is_public: bool) -> Route {
    Route {
        allowed_regions: AllowedRegions::default(),
        name: "ask".to_owned(),
        host: "example".to_owned(),
        prefix: "/ask/".to_owned(),
        kind: RouteKind::Safe,
        services: vec![WeightedService {
            service: "model".to_owned(),
            weight: 1,
        }],
        attempts: 2,
        timeout: Duration::from_secs(4),
        objective: Duration::from_millis(200),
        gap_objective: None,
        priority: 0,
        is_public,
    }
}

/// Result of an admission: the tenant's name, or the cause of the refusal.
fn admit(
    has_tenants: bool,
    is_public: bool,
    key: Option<&str>,
    proof: &ConfigurationProof,
    trust: KeyTrust,
) -> Result<Option<String>, RefusalCause> {
    let key = key.map(ApiKey::new);
    let caller = caller_of(
        &table(has_tenants),
        &route(is_public),
        key.as_ref(),
        proof,
        trust,
    )?;
    Ok(caller.map(|tenant| tenant.name.to_string()))
}

async fn proof_of_age(age: Duration) -> ConfigurationProof {
    let proof = ConfigurationProof::default();
    proof.prove(Instant::now());
    advance(age).await;
    proof
}

#[tokio::test(start_paused = true)]
async fn a_key_that_is_not_known_is_refused_unless_the_route_is_public() {
    let proof = proof_of_age(Duration::from_millis(100)).await;
    let admit = |is_public, key| admit(true, is_public, key, &proof, KeyTrust::Unbounded);
    let ada = Ok(Some("ada".to_owned()));
    assert_eq!(admit(false, Some("good")), ada);
    assert_eq!(admit(false, Some("bad")), Err(RefusalCause::UnknownKey));
    assert_eq!(admit(false, Some("")), Err(RefusalCause::UnknownKey));
    assert_eq!(admit(false, None), Err(RefusalCause::NoKey));
    assert_eq!(admit(true, None), Ok(None));
    assert_eq!(admit(true, Some("bad")), Ok(None));
    assert_eq!(RefusalCause::UnknownKey.status(), 401);
    assert!(!RefusalCause::UnknownKey.is_transient());
}

#[tokio::test(start_paused = true)]
async fn a_daemon_with_an_old_configuration_does_not_report_a_key_as_unknown() {
    let proof = proof_of_age(Duration::from_secs(6)).await;
    let admit = |key, trust| admit(true, false, Some(key), &proof, trust);
    let stale = Err(RefusalCause::StaleConfiguration);
    assert_eq!(admit("bad", KeyTrust::Unbounded), stale);
    assert_eq!(
        admit("good", KeyTrust::Unbounded),
        Ok(Some("ada".to_owned()))
    );
    assert_eq!(admit("good", KeyTrust::For(TRUST)), stale);
    assert_eq!(RefusalCause::StaleConfiguration.status(), 503);
    assert!(RefusalCause::StaleConfiguration.is_transient());
}

proptest! {
    /// At any configuration age an unknown key never passes a protected route, a known key is never reported as
    /// unknown, and bounded trust is not exceeded.
    #[test]
    fn no_age_lets_an_unknown_key_pass(
        age_ms in 0..20_000_u64,
        is_bounded: bool,
        key in prop_oneof![Just(None), Just(Some("good")), Just(Some("bad")), Just(Some("Good"))],
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime");
        let age = Duration::from_millis(age_ms);
        let trust = if is_bounded { KeyTrust::For(TRUST) } else { KeyTrust::Unbounded };
        let outcome = runtime.block_on(async {
            let proof = proof_of_age(age).await;
            admit(true, false, key, &proof, trust)
        });
        match (key, outcome) {
            (Some("good"), Ok(tenant)) => {
                prop_assert_eq!(tenant.as_deref(), Some("ada"));
                prop_assert!(!is_bounded || age <= TRUST + Duration::from_millis(1));
            }
            (Some("good"), Err(cause)) => {
                prop_assert_eq!(cause, RefusalCause::StaleConfiguration);
                prop_assert!(is_bounded && age > TRUST);
            }
            (_, outcome) => prop_assert!(outcome.is_err()),
        }
    }
}

#[tokio::test(start_paused = true)]
async fn without_tenants_no_key_is_required() {
    let proof = ConfigurationProof::default();
    assert_eq!(
        admit(false, false, None, &proof, KeyTrust::For(TRUST)),
        Ok(None)
    );
}
