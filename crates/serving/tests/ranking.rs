//! Orders that all daemons derive for themselves stay what they are: another order in another build would give jobs and prompts two
//! owners for as long as builds run side by side. The values are those of the build 9319f89.

use harrierward_serving::{preference_weight, short_hash};

#[test]
fn weights_and_hashes_are_those_of_earlier_builds() {
    let weights = [
        preference_weight(5, "node-1@1a2b-0001"),
        preference_weight(0, "i-7f3a91c2"),
    ];
    assert_eq!(
        weights,
        [1_657_610_045_575_516_134, 1_674_861_143_311_789_800]
    );
    let hashes = ["model", "banco-lm"].map(short_hash);
    assert_eq!(hashes, [3_318_587_158, 2_822_225_395]);
}
