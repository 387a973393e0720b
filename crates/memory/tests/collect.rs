//! Collecting bodies under a budget.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use futures::{StreamExt, stream};
use harrierward_memory::{BodyError, BudgetSizes, MemoryBudget, collect};
use http_body_util::StreamBody;
use hyper::body::{Body, Frame};
use tokio::time::{sleep, timeout};

const TOTAL: usize = 400_000;
const MAX_BODY: usize = 250_000;

fn budget() -> MemoryBudget {
    MemoryBudget::new(BudgetSizes {
        total: TOTAL,
        small: 10_000,
    })
}

/// A body of frames of one size, which ends or stays open after the last one.
fn body(frames: usize, size: usize, ends: bool) -> impl Body<Data = Bytes, Error = Infallible> {
    let piece = Bytes::from(vec![b'x'; size]);
    let pieces = std::iter::repeat_n(piece, frames);
    let parts = stream::iter(pieces).map(|bytes| Ok(Frame::data(bytes)));
    let rest = if ends {
        stream::empty().boxed()
    } else {
        stream::pending().boxed()
    };
    StreamBody::new(parts.chain(rest))
}

/// Guards against frames that cost more than their bytes, and bytes that don't return with the last clone.
#[tokio::test]
async fn small_frames_hold_no_more_than_their_bytes() {
    let budget = budget();
    let bytes = collect(body(100_000, 1, true), MAX_BODY, &budget).await;
    let bytes = bytes.expect("a body");
    assert_eq!(bytes.len(), 100_000);
    assert!(budget.taken() <= 2 * bytes.len(), "{}", budget.taken());
    let clone = bytes.clone();
    drop(bytes);
    assert!(budget.taken() >= clone.len());
    drop(clone);
    assert_eq!(budget.taken(), 0);
}

/// Guards against reading a body beyond its limit.
#[tokio::test]
async fn a_body_beyond_the_limit_is_refused() {
    let budget = budget();
    let result = collect(body(1_000, 1_000, true), MAX_BODY, &budget).await;
    assert_eq!(result, Err(BodyError::TooLarge));
    assert_eq!(budget.taken(), 0);
}

/// Guards against stalled bodies that keep others out.
#[tokio::test]
async fn a_stalled_body_is_ended_for_another() {
    let budget = budget();
    let held = budget.clone();
    let stalled =
        tokio::spawn(async move { collect(body(240, 1_000, false), MAX_BODY, &held).await });
    while budget.taken() < 200_000 {
        tokio::task::yield_now().await;
    }
    sleep(Duration::from_millis(500)).await;
    let other = collect(body(200, 1_000, true), MAX_BODY, &budget).await;
    assert!(other.is_ok(), "{other:?}");
    assert_eq!(stalled.await.expect("task"), Err(BodyError::TooSlow));
}

/// Guards against a budget that is lost with a body whose reader is dropped.
#[tokio::test]
async fn a_dropped_reader_gives_its_bytes_back() {
    let budget = budget();
    for frames in 1..100 {
        let reading = collect(body(frames, 2_000, false), MAX_BODY, &budget);
        let cancelled = timeout(Duration::from_millis(1), reading).await;
        assert!(cancelled.is_err());
        assert_eq!(budget.taken(), 0, "{frames} frames");
    }
}

/// Guards against refusing a body for which there is room once another is done.
#[tokio::test]
async fn a_body_waits_for_a_complete_one() {
    let budget = budget();
    let first = collect(body(200, 1_000, true), MAX_BODY, &budget).await;
    let first = first.expect("a body");
    tokio::spawn(async move {
        sleep(Duration::from_millis(50)).await;
        drop(first);
    });
    let second = collect(body(200, 1_000, true), MAX_BODY, &budget).await;
    assert!(second.is_ok(), "{second:?}");
}
