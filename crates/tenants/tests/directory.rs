//! Keys identify their tenant, and are never printed.

use harrierward_tenants::{
    AllowedRegions, ApiKey, DirectoryError, RateLimit, TenantDirectory, TenantSpec,
};

fn spec(name: &str, keys: &[&str]) -> TenantSpec {
    TenantSpec {
        allowed_regions: AllowedRegions::default(),
        name: name.to_owned(),
        keys: keys.iter().map(|key| ApiKey::new(*key)).collect(),
        priority: None,
        rate: RateLimit::UNLIMITED,
    }
}

fn holder(directory: &TenantDirectory, key: &str) -> Option<String> {
    let tenant = directory.holder(&ApiKey::new(key))?;
    Some(tenant.name.to_string())
}

#[test]
fn a_key_names_its_tenant_and_a_tenant_may_have_none() {
    let specs = [spec("ada", &["k1", "k2", "k2"]), spec("bo", &[])];
    let directory = TenantDirectory::new(&specs).expect("a directory");
    assert_eq!(holder(&directory, "k2").as_deref(), Some("ada"));
    assert_eq!(holder(&directory, "k"), None);
    assert_eq!(holder(&directory, ""), None);
    assert!(directory.tenant("bo").is_some());
}

#[test]
fn a_key_of_two_tenants_is_rejected_without_printing_it() {
    let specs = [spec("ada", &["secret-key"]), spec("bo", &["secret-key"])];
    let error = TenantDirectory::new(&specs).expect_err("a shared key");
    assert!(matches!(error, DirectoryError::SharedKey { .. }));
    let text = error.to_string();
    assert!(text.contains("ada") && text.contains("bo"), "{text}");
    assert!(!text.contains("secret-key"), "{text}");
    let twice = TenantDirectory::new(&[spec("ada", &[]), spec("ada", &[])]);
    assert!(matches!(twice, Err(DirectoryError::DuplicateName { .. })));
}

#[test]
fn debug_output_contains_no_key() {
    let specs = [spec("ada", &["secret-key"])];
    let directory = TenantDirectory::new(&specs).expect("a directory");
    let printed = format!("{:?} {directory:?} {specs:?}", ApiKey::new("secret-key"));
    assert!(!printed.contains("secret"), "{printed}");
}

#[test]
fn invalid_rates_are_rejected_by_field_and_value() {
    for (rate, burst, expected) in [
        (-1.0, 0.0, "rate: -1 is not between 0 and 1e9"),
        (1.0, f64::NAN, "burst: NaN is not between 0 and 1e9"),
        (1e12, 0.0, "rate: 1000000000000 is not between 0 and 1e9"),
    ] {
        let error = RateLimit::new(rate, burst).expect_err("an invalid rate");
        assert_eq!(error.to_string(), expected);
    }
}
