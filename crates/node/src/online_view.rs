//! Online requests in flight at owned replicas, as all gateways tell them.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use harrierward_wire::OnlineNotice;

use crate::node::lock;

/// A gateway that was not heard of for this long no longer counts.
const LIFETIME: Duration = Duration::from_secs(3);

/// Online load of one replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OnlineLoad {
    /// Requests in flight.
    pub running: u32,
    /// Their prompt tokens not yet prefilled.
    pub prefill_tokens: u32,
}

#[derive(Debug, Clone, Copy)]
struct Told {
    load: OnlineLoad,
    at: Duration,
}

/// Sums what gateways tell.
#[derive(Debug, Default)]
pub struct OnlineView {
    replicas: Mutex<BTreeMap<String, BTreeMap<String, Told>>>,
}

impl OnlineView {
    /// Takes a notice.
    pub fn take(&self, notice: &OnlineNotice, now: Duration) {
        let mut replicas = lock(&self.replicas);
        for count in &notice.counts {
            let told = Told {
                load: OnlineLoad {
                    running: count.running,
                    prefill_tokens: count.prefill_tokens,
                },
                at: now,
            };
            let gateways = replicas.entry(count.replica.clone()).or_default();
            gateways.insert(notice.from.clone(), told);
        }
    }

    /// The replica's online load over all other gateways.
    pub fn load(&self, replica: &str, now: Duration) -> OnlineLoad {
        let mut replicas = lock(&self.replicas);
        let Some(gateways) = replicas.get_mut(replica) else {
            return OnlineLoad::default();
        };
        gateways.retain(|_, told| now.saturating_sub(told.at) < LIFETIME);
        gateways
            .values()
            .fold(OnlineLoad::default(), |sum, told| OnlineLoad {
                running: sum.running + told.load.running,
                prefill_tokens: sum.prefill_tokens + told.load.prefill_tokens,
            })
    }
}
