//! Sums of tokens, as callers state them.

/// Returns the sum, or the maximum where callers state more than can be counted.
pub(crate) fn sum_of_tokens(tokens: impl Iterator<Item = u64>) -> u64 {
    tokens.fold(0, u64::saturating_add)
}
