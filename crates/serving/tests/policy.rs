//! Guards the parsing of the list of mechanisms to switch off.

use harrierward_serving::{Mechanism, Policy};

#[test]
fn what_is_named_is_off_and_nothing_else() {
    for mechanism in Mechanism::ALL {
        let policy = Policy::without(mechanism.name()).expect("a name");
        let off = Mechanism::ALL.into_iter().filter(|one| !policy.has(*one));
        assert_eq!(off.collect::<Vec<_>>(), [mechanism]);
        assert_eq!(policy.to_string(), mechanism.name());
    }
    assert_eq!(Policy::without(""), Ok(Policy::default()));
    let two = Policy::without("jitter, sampling").expect("two names");
    assert!(!two.has(Mechanism::Jitter) && !two.has(Mechanism::Sampling));
}

#[test]
fn a_name_that_is_unknown_is_refused_with_those_that_are_known() {
    let error = Policy::without("jitter,luck").expect_err("no such mechanism");
    assert_eq!(error.name, "luck");
    assert!(error.to_string().contains("own-zone-first"), "{error}");
}
