//! Estimate of the prompt parts that a replica caches.

use harrierward_serving::{PrefixCacheEstimate, Prompt, PromptPart};

const CAPACITY_TOKENS: u64 = 10_000;

fn prompt(parts: &[(u64, u32)]) -> Prompt {
    let parts = parts.iter().map(|(id, tokens)| PromptPart {
        id: *id,
        tokens: *tokens,
    });
    Prompt {
        parts: parts.collect(),
        ..Prompt::default()
    }
}

/// Guards against a request larger than a replica's memory, after which the replica seems to cache nothing of what all
/// others share.
#[test]
fn a_prompt_that_the_cache_cannot_hold_evicts_nothing() {
    let shared = prompt(&[(1, 6_000), (2, 500)]);
    let mut estimate = PrefixCacheEstimate::new(CAPACITY_TOKENS);
    estimate.note(&shared);
    estimate.note(&prompt(&[(1, 6_000), (3, 150_000)]));
    assert_eq!(estimate.cached_tokens(&shared), 6_500);
}

#[test]
fn the_parts_unused_longest_are_evicted() {
    let first = prompt(&[(1, 6_000)]);
    let second = prompt(&[(2, 6_000)]);
    let mut estimate = PrefixCacheEstimate::new(CAPACITY_TOKENS);
    estimate.note(&first);
    estimate.note(&second);
    assert_eq!(estimate.cached_tokens(&first), 0);
    assert_eq!(estimate.cached_tokens(&second), 6_000);
}

/// Guards against a daemon that ends a request whose caller states more tokens than can be counted.
#[test]
fn parts_with_the_highest_number_of_tokens_are_summed() {
    let large = prompt(&[(1, u32::MAX), (2, u32::MAX), (3, 1)]);
    let mut estimate = PrefixCacheEstimate::new(u64::MAX);
    estimate.note(&large);
    assert_eq!(estimate.cached_tokens(&large), u32::MAX);
    assert_eq!(large.shared_tokens(), u32::MAX);
}
