//! Responses that their callers don't take, beside callers that need the memory.

use std::time::Duration;

use harrierward_memory::{BudgetSizes, MemoryBudget, TransferEnded};
use tokio::time::sleep;

const SIZES: BudgetSizes = BudgetSizes {
    total: 1_000_000,
    small: 10_000,
};

/// Bytes of a response of which only one fits.
const RESPONSE_BYTES: usize = 600_000;

/// Guards against memory that slow readers keep from others.
#[tokio::test(start_paused = true)]
async fn a_response_that_nobody_takes_gives_its_memory_back() {
    let budget = MemoryBudget::new(SIZES);
    let held = budget.take(RESPONSE_BYTES).await.expect("room");
    let mut delivery = budget.begin_delivery(RESPONSE_BYTES);
    let connection = tokio::spawn(async move {
        let ended = delivery.ended().await;
        drop(held);
        ended
    });
    sleep(Duration::from_secs(1)).await;
    budget.take(RESPONSE_BYTES).await.expect("room again");
    assert_eq!(connection.await.expect("connection"), TransferEnded);
    assert_eq!(budget.taken(), 0);
}

/// Guards against ending the response of a caller that takes it, however slow others are.
#[tokio::test(start_paused = true)]
async fn a_response_that_is_taken_stays() {
    let budget = MemoryBudget::new(SIZES);
    let _held = budget.take(RESPONSE_BYTES).await.expect("room");
    let mut delivery = budget.begin_delivery(RESPONSE_BYTES);
    let connection = tokio::spawn(async move {
        loop {
            tokio::select! {
                ended = delivery.ended() => return ended,
                () = sleep(Duration::from_millis(100)) => delivery.note_progress(),
            }
        }
    });
    sleep(Duration::from_secs(1)).await;
    assert!(budget.take(RESPONSE_BYTES).await.is_err());
    assert!(!connection.is_finished());
}
