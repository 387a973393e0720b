//! Applies what was read to a copy and passes each update on, one at a time, so that its users see updates in the order
//! in which the copy changed, whichever task read them.

use std::sync::{Arc, Mutex, PoisonError};

use tokio::time::Instant;

use crate::shared_space::SharedSpace;
use crate::space_copy::SpaceCopy;
use crate::space_update::SpaceUpdate;

/// What became of an update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Published {
    /// True if any row changed.
    pub is_changed: bool,
    /// As in [`SpaceUpdate::differs`].
    pub differs: bool,
    /// As in [`SpaceUpdate::revision`].
    pub revision: u64,
    /// As in [`SpaceUpdate::as_of`].
    pub as_of: Option<Instant>,
}

type OnUpdate = Box<dyn FnMut(SpaceUpdate) + Send>;

/// The copy of a space, and the user of its updates.
pub struct SpacePublisher {
    space: Arc<SharedSpace>,
    on_update: Mutex<OnUpdate>,
}

impl SpacePublisher {
    /// Publishes the updates of a copy to `on_update`.
    pub fn new(
        space: Arc<SharedSpace>,
        on_update: impl FnMut(SpaceUpdate) + Send + 'static,
    ) -> Self {
        Self {
            space,
            on_update: Mutex::new(Box::new(on_update)),
        }
    }

    /// Returns the copy.
    pub fn space(&self) -> &Arc<SharedSpace> {
        &self.space
    }

    /// Changes the copy and publishes the update, if there is one.
    pub fn publish(
        &self,
        change: impl FnOnce(&mut SpaceCopy) -> Option<SpaceUpdate>,
    ) -> Option<Published> {
        let mut on_update = self
            .on_update
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let update = change(&mut self.space.copy())?;
        let published = Published {
            is_changed: !update.is_empty(),
            differs: update.differs,
            revision: update.revision,
            as_of: update.as_of,
        };
        self.space.notify();
        on_update(update);
        Some(published)
    }
}
