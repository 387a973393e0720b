//! Items that may be started, as the configuration in force has them run.

use std::sync::Arc;

use harrierward_serving::{ItemSlack, ServingRequest};
use harrierward_tenants::AllowedRegions;

use crate::book::StartableItem;

/// An item that may be started now.
#[derive(Clone)]
pub struct ReadyItem {
    /// The item, with the regions in which it may run.
    pub item: StartableItem,
    /// Service that runs it.
    pub service: String,
    /// How long it could rest.
    pub room: ItemSlack,
    /// Items like it found no room lately: all others come first.
    pub is_behind: bool,
}

/// The item with the regions in which it may run by the configuration in force now.
pub fn within(mut item: StartableItem, regions: AllowedRegions) -> StartableItem {
    if item.request.regions != regions {
        let mut request = ServingRequest::clone(&item.request);
        request.regions = regions;
        item.request = Arc::new(request);
    }
    item
}
