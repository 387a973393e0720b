//! Ids of stored jobs.
//!
//! Guards against a caller without a tenant that chooses the stored id of a tenant's job: one of both would be accepted
//! without being stored.

use harrierward_inline_jobs::scoped_id;
use proptest::prelude::*;

proptest! {
    #[test]
    fn ids_of_different_callers_never_collide(
        id in "[a-z0-9.]{1,12}",
        tenant in "[a-z]{1,8}",
        suffixes in 0..3_usize,
    ) {
        let mut chosen = scoped_id(Some(&tenant), &id);
        for _ in 0..suffixes {
            chosen = scoped_id(None, &chosen);
        }
        prop_assert_ne!(scoped_id(None, &chosen), scoped_id(Some(&tenant), &id));
    }

    #[test]
    fn other_ids_without_a_tenant_are_stored_as_they_are(id in "[a-zA-Z0-9_-]{1,40}") {
        prop_assert_eq!(scoped_id(None, &id), id);
    }
}
