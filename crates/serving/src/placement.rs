//! Placement of a request: by the coordinator, or by this daemon where no coordinator replies.

use std::sync::Arc;
use std::time::Duration;

use harrierward_decisions::Record;
use tokio::time::{Instant, sleep};

use crate::choice::{Choice, ChoiceQuery, Placement, choose_replica, own_region_first};
use crate::exchange::ServingRequest;
use crate::forwarder::Forwarder;
use crate::gate::{GateDenial, GateRequest, check_gate};
use crate::leases::{ItemSlack, SlotLease, SlotQuery, SlotReply};
use crate::policy::Mechanism;
use crate::profile::PromptLength;
use crate::replica::WorkClass;

/// Maximum number of candidates besides the preferred replica when the daemon chooses itself: its view of peers' load
/// is outdated, and daemons with the same view must not all choose the same replica.
const OWN_CANDIDATES: usize = 5;

/// Divisor of the objective that gives the retry interval of an overdue request, and the upper bound of that
/// interval.
const OVERDUE_PAUSE_DIVISOR: u32 = 3;
const MAX_OVERDUE_PAUSE: Duration = Duration::from_millis(150);

/// Reason why a request was not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlacementError {
    /// No replica accepts the request.
    NoReplica,
    /// The request would miss its objective; its caller shall retry.
    RetryLater {
        /// Time until the retry.
        after: Duration,
    },
}

impl Forwarder {
    /// Places a request; `item` is set for batch items. `None` if no replica may take it now.
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
            excluded,
            item,
            may_repeat: item.is_some(),
            ..query_of(request, service, length, objective)
        };
        self.acquire_or_choose(query, request).await.ok()
    }

    /// Places a new online request, whose caller may receive a retry delay instead.
    pub(crate) async fn place_new(
        &self,
        request: &ServingRequest,
        service: &str,
        objective: Duration,
        may_repeat: bool,
        max_retry_after: Option<Duration>,
    ) -> Result<Placement, PlacementError> {
        let length = self.length_of(service, request);
        let query = SlotQuery {
            may_repeat,
            max_retry_after,
            ..query_of(request, service, length, objective)
        };
        self.acquire_or_choose(query, request).await
    }

    /// Places an online request past its objective. It waits up to `max_wait` for slots left by requests that can
    /// still meet theirs, which would otherwise queue behind it.
    pub(crate) async fn place_overdue(
        &self,
        request: &ServingRequest,
        service: &str,
        objective: Duration,
        max_wait: Duration,
    ) -> Option<Placement> {
        let until = Instant::now() + max_wait;
        let pause = (objective / OVERDUE_PAUSE_DIVISOR).min(MAX_OVERDUE_PAUSE);
        let length = self.length_of(service, request);
        let mut query = SlotQuery {
            overdue: true,
            ..query_of(request, service, length, objective)
        };
        let started = Instant::now();
        loop {
            if !self
                .replicas()
                .view()
                .has_usable(service, &request.regions, request.version)
            {
                break;
            }
            match self.leases().acquire(query).await {
                SlotReply::NoCapacity if Instant::now() < until => {
                    // Jitter keeps requests from retrying at the same moment.
                    sleep(pause.mul_f64(rand::random_range(0.75..1.25))).await;
                }
                SlotReply::Granted { choice, lease } => {
                    self.log_overdue(request, started);
                    let guard = SlotLease::new(self.leases().clone(), lease);
                    return Some(choice.enter(query.class(), guard));
                }
                SlotReply::NoCapacity
                | SlotReply::RetryLater { .. }
                | SlotReply::AllCold
                | SlotReply::NoCoordinator => {
                    break;
                }
            }
        }
        self.log_overdue(request, started);
        query.overdue = false;
        self.acquire_or_choose(query, request).await.ok()
    }

    fn length_of(&self, service: &str, request: &ServingRequest) -> PromptLength {
        if self.policy().has(Mechanism::LongPromptsApart) {
            self.profiles().observe(service, request.prompt.tokens)
        } else {
            PromptLength::Uniform
        }
    }

    fn log_overdue(&self, request: &ServingRequest, started: Instant) {
        let waited = started.elapsed().as_millis();
        self.log().record(&Record::OverduePlaced {
            request: &request.id,
            waited_ms: u64::try_from(waited).unwrap_or(u64::MAX),
        });
    }

    async fn acquire_or_choose(
        &self,
        query: SlotQuery<'_>,
        request: &ServingRequest,
    ) -> Result<Placement, PlacementError> {
        // Without a usable replica no coordinator has a slot, so the caller is refused at once.
        let view = self.replicas().view();
        if !view.has_usable(query.service, query.regions, query.version) {
            return Err(PlacementError::NoReplica);
        }
        drop(view);
        let reply = self.leases().acquire(query).await;
        if matches!(reply, SlotReply::AllCold) {
            self.log().record(&Record::ColdPassedOver {
                request: &request.id,
                service: query.service,
                item: query.item.is_some(),
            });
        }
        match reply {
            SlotReply::Granted { choice, lease } => {
                let guard = SlotLease::new(self.leases().clone(), lease);
                if self.overrides(&choice, &query) {
                    drop(guard);
                    return self.choose_locally(query).ok_or(PlacementError::NoReplica);
                }
                Ok(choice.enter(query.class(), guard))
            }
            SlotReply::NoCapacity => Err(PlacementError::NoReplica),
            SlotReply::RetryLater { after } => Err(PlacementError::RetryLater { after }),
            // An item can wait for the coordinator's capacity, a caller can't.
            SlotReply::AllCold if query.item.is_some() => Err(PlacementError::NoReplica),
            SlotReply::AllCold | SlotReply::NoCoordinator => {
                self.choose_locally(query).ok_or(PlacementError::NoReplica)
            }
        }
    }

    /// True if this daemon must not use the granted replica. A coordinator with an outdated view would otherwise
    /// grant all replicas of an evacuated zone one after the other, and one of an earlier build those of any version.
    fn overrides(&self, choice: &Choice, query: &SlotQuery<'_>) -> bool {
        let gate_request = GateRequest {
            regions: query.regions,
            version: query.version,
            cold_until: choice.cold_until,
        };
        let reason = check_gate(&choice.replica, &gate_request, harrierward_clock::now());
        let Some(
            reason @ (GateDenial::ZoneEvacuated
            | GateDenial::RegionNotAllowed
            | GateDenial::OtherVersion
            | GateDenial::Crashed),
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

    fn choose_locally(&self, query: SlotQuery<'_>) -> Option<Placement> {
        let view = self.replicas().view();
        let leases = self.leases();
        let zone = &self.settings().zone;
        let region = &self.settings().region;
        let criteria = ChoiceQuery {
            is_own_zone: &|replica| replica.record.zone == *zone,
            is_own_region: &|replica| replica.record.region == *region,
            prompt: query.prompt,
            regions: query.regions,
            version: query.version,
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
        // Only a coordinator counts requests at cold replicas, and it may know earlier that one is cold.
        usable.retain(|replica| !replica.is_cold(now) && !leases.is_reported_cold(replica));
        let (replicas, left_region) = own_region_first(usable, &criteria);
        let mut choice = choose_replica(&view, replicas, &self.settings().costs, &criteria)?;
        choice.left_region = left_region.filter(|_| choice.replica.record.region != *region);
        let number = leases.acquire_locally(&choice.replica, query.item);
        let guard = SlotLease::new(Arc::clone(leases), number);
        let replica = choice.replica.clone();
        let placement = choice.enter(query.class(), guard);
        let may_preempt = self.policy().has(Mechanism::Preemption);
        if may_preempt && query.class() == WorkClass::Online && replica.is_crowded_by_batch() {
            leases.preempt_item(&replica);
        }
        Some(placement)
    }
}

/// Query for an online request that excludes no replica and must be placed.
fn query_of<'a>(
    request: &'a ServingRequest,
    service: &'a str,
    length: PromptLength,
    objective: Duration,
) -> SlotQuery<'a> {
    SlotQuery {
        service,
        prompt: &request.prompt,
        length,
        excluded: &[],
        regions: &request.regions,
        version: request.version,
        objective,
        item: None,
        overdue: false,
        may_repeat: false,
        max_retry_after: None,
    }
}
