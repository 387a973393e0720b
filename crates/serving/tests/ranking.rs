//! Guards the stability of rankings and hashes: builds that disagree would give jobs and prompts two owners during an
//! upgrade.

use harrierward_serving::{preference_weight, short_hash};

#[test]
fn weights_and_hashes_are_stable() {
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
