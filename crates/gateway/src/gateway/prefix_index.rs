//! Background task that updates the prefix index.

use tokio::sync::mpsc;
use tokio::time::sleep;

use harrierward_routing::PrefixIndex;
use std::sync::Arc;

use super::{Gateway, Inner, PrefixUpdate};

/// Merges the blocks of sent prompts into the index and expires old ones, until the gateway is dropped.
pub(super) async fn update_index(
    inner: std::sync::Weak<Inner>,
    mut updates: mpsc::UnboundedReceiver<PrefixUpdate>,
) {
    const ROUNDS_PER_EXPIRY: u64 = 100;
    let mut round: u64 = 0;
    loop {
        let Some(gateway) = inner.upgrade().map(|inner| Gateway { inner }) else {
            return;
        };
        let now = gateway.now_micros();
        let mut index = PrefixIndex::clone(&gateway.inner.index.load());
        let mut changed = false;
        while let Ok(update) = updates.try_recv() {
            for block in update.blocks.iter() {
                index.insert(*block, update.replica, now);
            }
            changed = true;
        }
        round += 1;
        if round.is_multiple_of(ROUNDS_PER_EXPIRY) {
            index.expire(now);
            changed = true;
        }
        if changed {
            gateway.inner.index.store(Arc::new(index));
        }
        let interval = gateway.inner.settings.index_interval;
        drop(gateway);
        sleep(interval).await;
    }
}
