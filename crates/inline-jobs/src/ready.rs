//! Items that may be started, restricted to what the current configuration allows.

use std::sync::Arc;

use harrierward_serving::{ItemSlack, ServingRequest};
use harrierward_tenants::AllowedRegions;

use crate::registry::StartableItem;

/// An item together with its placement constraints.
#[derive(Clone)]
pub struct ReadyItem {
    /// The item, with its allowed regions in the request.
    pub item: StartableItem,
    /// Name of the service that runs it.
    pub service: String,
    /// How long it may wait and still be in time.
    pub item_slack: ItemSlack,
    /// True if an item of the same service and regions recently found no free slot, so that all others go first.
    pub is_deferred: bool,
}

/// Returns the item with `regions` as its allowed regions.
pub fn restrict_to_regions(mut item: StartableItem, regions: AllowedRegions) -> StartableItem {
    if item.request.regions != regions {
        let mut request = ServingRequest::clone(&item.request);
        request.regions = regions;
        item.request = Arc::new(request);
    }
    item
}
