//! Rendezvous hashing of tenants and streams to members: daemons with the same members choose the same ones.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::slots::CoordinatorCandidate;

/// Returns the two members with the highest weights: the tenant's coordinator and its fallback.
pub fn top_two<'a>(
    tenant: &str,
    members: &'a [CoordinatorCandidate],
) -> [Option<&'a CoordinatorCandidate>; 2] {
    top_two_by(tenant, members.iter(), |member| &member.id)
}

/// Returns the two ids with the highest weights, in the order of [`top_two`].
pub fn top_two_ids<'a>(tenant: &str, ids: impl Iterator<Item = &'a str>) -> [Option<&'a str>; 2] {
    top_two_by(tenant, ids, |id| id)
}

/// Returns the `count` members with the highest weights for a key, in descending order.
pub fn ranked<'a, T>(
    key: u64,
    members: impl Iterator<Item = T>,
    id: impl Fn(&T) -> &'a str,
    count: usize,
) -> Vec<T>
where
    T: 'a,
{
    let weighted = members.map(|member| (xxh3_64_with_seed(id(&member).as_bytes(), key), member));
    let mut weighted: Vec<(u64, T)> = weighted.collect();
    if weighted.len() > count {
        weighted.select_nth_unstable_by_key(count, |(weight, _)| std::cmp::Reverse(*weight));
        weighted.truncate(count);
    }
    weighted.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    weighted.into_iter().map(|(_, member)| member).collect()
}

fn top_two_by<'a, T: Copy>(
    tenant: &str,
    members: impl Iterator<Item = T>,
    id: impl Fn(T) -> &'a str,
) -> [Option<T>; 2] {
    let seed = xxh3_64_with_seed(tenant.as_bytes(), 0);
    let mut first: Option<(u64, T)> = None;
    let mut second: Option<(u64, T)> = None;
    for member in members {
        let weight = xxh3_64_with_seed(id(member).as_bytes(), seed);
        if first.is_none_or(|(max, _)| weight > max) {
            second = first.replace((weight, member));
        } else if second.is_none_or(|(max, _)| weight > max) {
            second = Some((weight, member));
        }
    }
    [first, second].map(|found| found.map(|(_, member)| member))
}
