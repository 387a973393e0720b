//! A request's place: the keeper's word, or this daemon's own choice where no keeper answers.

use std::sync::Arc;
use std::time::Duration;

use crate::choice::{ChoiceQuery, Placement, choose_replica};
use crate::exchange::ServingRequest;
use crate::forwarder::Forwarder;
use crate::places::{HeldPlace, ItemRoom, PlaceAnswer, PlaceQuery};
use crate::profile::PromptLength;
use crate::replica::WorkClass;

/// Replicas that a daemon looks at for one request where it chooses itself, beside the preferred one: its view of
/// the others' requests is old, and daemons with the same view must not all choose the same.
const OWN_CANDIDATES: usize = 5;

impl Forwarder {
    /// A place for a request, online or, if `item` is set, batch.
    pub async fn place(
        &self,
        request: &ServingRequest,
        service: &str,
        excluded: &[String],
        objective: Duration,
        item: Option<ItemRoom>,
    ) -> Option<Placement> {
        let length = match item {
            None => self.profiles().observe(service, request.prompt.tokens),
            Some(_) => PromptLength::Alike,
        };
        let query = PlaceQuery {
            service,
            prompt: &request.prompt,
            length,
            excluded,
            objective,
            item,
        };
        match self.places().ask(query).await {
            PlaceAnswer::Given { choice, place } => {
                let held = HeldPlace::new(self.places().clone(), place);
                Some(choice.enter(query.class(), held))
            }
            PlaceAnswer::NoRoom => None,
            PlaceAnswer::NoKeeper => self.choose_alone(query),
        }
    }

    fn choose_alone(&self, query: PlaceQuery<'_>) -> Option<Placement> {
        let view = self.replicas().view();
        let places = self.places();
        let zone = &self.settings().zone;
        let choice = choose_replica(
            &view,
            view.usable(query.service),
            &self.settings().costs,
            &ChoiceQuery {
                is_own_zone: &|replica| replica.record.zone == *zone,
                prompt: query.prompt,
                length: query.length,
                is_excluded: &|replica| query.excluded.contains(&replica.record.id),
                is_suspected: &|replica| replica.is_suspected(),
                is_item: query.item.is_some(),
                most_candidates: OWN_CANDIDATES,
            },
        )?;
        let number = places.take(&choice.replica, query.item);
        let held = HeldPlace::new(Arc::clone(places), number);
        let replica = choice.replica.clone();
        let placement = choice.enter(query.class(), held);
        if query.class() == WorkClass::Online && replica.is_crowded_by_batch() {
            places.free_slot(&replica);
        }
        Some(placement)
    }
}
