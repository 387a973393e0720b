//! The prefix index, renewed off the request path.

use tokio::sync::mpsc;
use tokio::time::sleep;

use harrierward_routing::PrefixIndex;
use std::sync::Arc;

use super::{Gateway, Inner, PrefixUpdate};

/// Merges news of sent prompts into the index, off the request path.
pub(super) async fn run_index(
    inner: std::sync::Weak<Inner>,
    mut updates: mpsc::UnboundedReceiver<PrefixUpdate>,
) {
    const EXPIRE_ROUNDS: u64 = 100;
    let mut round: u64 = 0;
    loop {
        let Some(gateway) = inner.upgrade().map(|inner| Gateway { inner }) else {
            return;
        };
        let now = gateway.now_micros();
        let mut index = PrefixIndex::clone(&gateway.inner.index.load());
        let mut changed = false;
        while let Ok(sent) = updates.try_recv() {
            for block in sent.blocks.iter() {
                index.insert(*block, sent.replica, now);
            }
            changed = true;
        }
        round += 1;
        if round.is_multiple_of(EXPIRE_ROUNDS) {
            index.expire(now);
            changed = true;
        }
        if changed {
            gateway.inner.index.store(Arc::new(index));
        }
        let pause = gateway.inner.settings.index_interval;
        drop(gateway);
        sleep(pause).await;
    }
}
