//! Items that may be started, restricted to what the current configuration allows.

use std::sync::Arc;

use harrierward_serving::{ItemSlack, ServingRequest};

use crate::no_capacity::ItemReplicas;
use crate::registry::StartableItem;

/// An item together with its placement constraints.
#[derive(Clone)]
pub struct ReadyItem {
    /// The item, with its allowed regions and its version in the request.
    pub item: StartableItem,
    /// Name under which its start is paced.
    pub pace: String,
    /// Name of the service that runs it.
    pub service: String,
    /// How long it may wait and still be in time.
    pub item_slack: ItemSlack,
    /// True if an item of the same service and regions recently found no free slot, so that all others go first.
    pub is_deferred: bool,
}

/// Returns the item restricted to these replicas.
pub fn restrict(mut item: StartableItem, replicas: ItemReplicas) -> StartableItem {
    let request = &item.request;
    if request.regions != replicas.regions || request.version != replicas.version {
        let mut request = ServingRequest::clone(request);
        request.regions = replicas.regions;
        request.version = replicas.version;
        item.request = Arc::new(request);
    }
    item
}
