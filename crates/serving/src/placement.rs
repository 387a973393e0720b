//! A request's place: the coordinator's word, or this daemon's own choice where no coordinator answers.

use std::sync::Arc;
use std::time::Duration;

use harrierward_decisions::Record;
use harrierward_tenants::AllowedRegions;
use tokio::time::{Instant, sleep};

use crate::choice::{Choice, ChoiceQuery, Placement, choose_replica, own_region_first};
use crate::exchange::ServingRequest;
use crate::forwarder::Forwarder;
use crate::gate::{GateDenial, GateRequest, check_gate};
use crate::leases::{ItemSlack, SlotLease, SlotQuery, SlotReply};
use crate::policy::Mechanism;
use crate::profile::PromptLength;
use crate::replica::WorkClass;

/// Replicas that a daemon looks at for one request where it chooses itself, beside the preferred one: its view of
/// the others' requests is old, and daemons with the same view must not all choose the same.
const OWN_CANDIDATES: usize = 5;

/// Part of the objective after which an overdue request asks again, and the longest such pause.
const OVERDUE_PAUSE_PART: u32 = 3;
const LONGEST_OVERDUE_PAUSE: Duration = Duration::from_millis(150);

/// Why a request has no place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoPlace {
    /// No replica takes it.
    NoReplica,
    /// It would be late; its caller is to come back.
    RetryLater {
        /// After so long.
        after: Duration,
    },
}

impl Forwarder {
    /// A place for a request, online or, if `item` is set, batch.
    pub async fn place(
        &self,
        request: &ServingRequest,
        service: &str,
        excluded: &[String],
        objective: Duration,
        item: Option<ItemSlack>,
    ) -> Option<Placement> {
        let length = match item {
            None => self.length_of(service, request),
            Some(_) => PromptLength::Uniform,
        };
        let query = SlotQuery {
            service,
            prompt: &request.prompt,
            regions: &request.regions,
            length,
            excluded,
            objective,
            item,
            overdue: false,
            may_repeat: item.is_some(),
            max_retry_after: None,
        };
        self.ask_or_choose(query, request).await.ok()
    }

    /// A place for an online request that comes for the first time: its caller may be told to come back instead.
    pub(crate) async fn place_newcomer(
        &self,
        request: &ServingRequest,
        service: &str,
        objective: Duration,
        may_repeat: bool,
        max_retry_after: Option<Duration>,
    ) -> Result<Placement, NoPlace> {
        let query = SlotQuery {
            service,
            prompt: &request.prompt,
            regions: &request.regions,
            length: self.length_of(service, request),
            excluded: &[],
            objective,
            item: None,
            overdue: false,
            may_repeat,
            max_retry_after,
        };
        self.ask_or_choose(query, request).await
    }

    /// A place for an online request whose objective has passed: it waits up to `longest` while those that can still
    /// be in time take all slots. It loses nothing by that, and they would wait behind it at the replicas.
    pub(crate) async fn place_overdue(
        &self,
        request: &ServingRequest,
        service: &str,
        objective: Duration,
        longest: Duration,
    ) -> Option<Placement> {
        let until = Instant::now() + longest;
        let pause = (objective / OVERDUE_PAUSE_PART).min(LONGEST_OVERDUE_PAUSE);
        let mut query = SlotQuery {
            service,
            prompt: &request.prompt,
            regions: &request.regions,
            length: self.length_of(service, request),
            excluded: &[],
            objective,
            item: None,
            overdue: true,
            may_repeat: false,
            max_retry_after: None,
        };
        let began = Instant::now();
        loop {
            if !self.replicas().view().has_usable(service, &request.regions) {
                break;
            }
            match self.leases().acquire(query).await {
                SlotReply::NoCapacity if Instant::now() < until => {
                    // Not all at the same moment.
                    sleep(pause.mul_f64(rand::random_range(0.75..1.25))).await;
                }
                SlotReply::Granted { choice, lease } => {
                    self.log_overdue(request, began);
                    let held = SlotLease::new(self.leases().clone(), lease);
                    return Some(choice.enter(query.class(), held));
                }
                SlotReply::NoCapacity
                | SlotReply::RetryLater { .. }
                | SlotReply::AllCold
                | SlotReply::NoCoordinator => {
                    break;
                }
            }
        }
        self.log_overdue(request, began);
        query.overdue = false;
        self.ask_or_choose(query, request).await.ok()
    }

    fn length_of(&self, service: &str, request: &ServingRequest) -> PromptLength {
        if self.policy().has(Mechanism::LongPromptsApart) {
            self.profiles().observe(service, request.prompt.tokens)
        } else {
            PromptLength::Uniform
        }
    }

    fn log_overdue(&self, request: &ServingRequest, began: Instant) {
        let waited = began.elapsed().as_millis();
        self.log().record(&Record::OverduePlaced {
            request: &request.id,
            waited_ms: u64::try_from(waited).unwrap_or(u64::MAX),
        });
    }

    async fn ask_or_choose(
        &self,
        query: SlotQuery<'_>,
        request: &ServingRequest,
    ) -> Result<Placement, NoPlace> {
        // No coordinator has a place where nobody may serve the request: its caller is told at once.
        let view = self.replicas().view();
        if !view.has_usable(query.service, query.regions) {
            return Err(NoPlace::NoReplica);
        }
        drop(view);
        let answer = self.leases().acquire(query).await;
        if matches!(answer, SlotReply::AllCold) {
            self.log().record(&Record::ColdPassedOver {
                request: &request.id,
                service: query.service,
                item: query.item.is_some(),
            });
        }
        match answer {
            SlotReply::Granted { choice, lease } => {
                let held = SlotLease::new(self.leases().clone(), lease);
                if self.overrules(&choice, query.regions) {
                    drop(held);
                    return self.choose_alone(query).ok_or(NoPlace::NoReplica);
                }
                Ok(choice.enter(query.class(), held))
            }
            SlotReply::NoCapacity => Err(NoPlace::NoReplica),
            SlotReply::RetryLater { after } => Err(NoPlace::RetryLater { after }),
            // An item can wait for a coordinator's room; a caller cannot.
            SlotReply::AllCold if query.item.is_some() => Err(NoPlace::NoReplica),
            SlotReply::AllCold | SlotReply::NoCoordinator => {
                self.choose_alone(query).ok_or(NoPlace::NoReplica)
            }
        }
    }

    /// True if this daemon knows that the request must not go where the coordinator sends it: one that has not heard of an
    /// evacuation would grant the zone's replicas one after the other until the request is given up.
    fn overrules(&self, choice: &Choice, regions: &AllowedRegions) -> bool {
        let passage = GateRequest {
            regions,
            cold_until: choice.cold_until,
        };
        let reason = check_gate(&choice.replica, &passage, harrierward_clock::now());
        let Some(
            reason @ (GateDenial::ZoneEvacuated | GateDenial::RegionNotAllowed | GateDenial::Ended),
        ) = reason
        else {
            return false;
        };
        self.log().record(&Record::LeaseOverruled {
            replica: &choice.replica.record.id,
            reason: reason.name(),
        });
        true
    }

    fn choose_alone(&self, query: SlotQuery<'_>) -> Option<Placement> {
        let view = self.replicas().view();
        let places = self.leases();
        let zone = &self.settings().zone;
        let region = &self.settings().region;
        let wanted = ChoiceQuery {
            is_own_zone: &|replica| replica.record.zone == *zone,
            is_own_region: &|replica| replica.record.region == *region,
            prompt: query.prompt,
            regions: query.regions,
            length: query.length,
            is_excluded: &|replica| query.excluded.contains(&replica.record.id),
            is_connected: &|_| false,
            is_suspected: &|replica| replica.is_suspected(),
            is_item: query.item.is_some(),
            is_overdue: false,
            max_candidates: if self.policy().has(Mechanism::Sampling) {
                OWN_CANDIDATES
            } else {
                usize::MAX
            },
        };
        let now = harrierward_clock::now();
        let mut usable = view.usable(query.service);
        // Only a coordinator counts what a cold replica gets, and it may have heard sooner that one is cold.
        usable.retain(|replica| !replica.is_cold(now) && !places.is_reported_cold(replica));
        let (replicas, left) = own_region_first(usable, &wanted);
        let mut choice = choose_replica(&view, replicas, &self.settings().costs, &wanted)?;
        choice.left_region = left.filter(|_| choice.replica.record.region != *region);
        let number = places.acquire_locally(&choice.replica, query.item);
        let held = SlotLease::new(Arc::clone(places), number);
        let replica = choice.replica.clone();
        let placement = choice.enter(query.class(), held);
        let may_preempt = self.policy().has(Mechanism::Preemption);
        if may_preempt && query.class() == WorkClass::Online && replica.is_crowded_by_batch() {
            places.preempt_item(&replica);
        }
        Some(placement)
    }
}
