//! Fixture of a forwarder with replicas that follow a script.

// Each test program uses only part of this module.
#![allow(dead_code)]

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use async_trait::async_trait;
use bytes::Bytes;
use futures::StreamExt;
use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_serving::{
    BodyDelimiter, BodyError, ExchangeError, Forwarder, ForwarderParts, ForwarderSettings,
    ItemSlack, KeyTrust, Misdirected, NoQuarantine, Prompt, RateLimits, RateStatus, ReleaseReport,
    Replica, ReplicaClient, ReplicaRecord, ReplicaRequest, ReplicaResponse, ReplicaSet, Route,
    RouteKind, RouteTable, SelectionCosts, ServingConfiguration, ServingRequest, SlotLeases,
    SlotQuery, SlotReply, WeightedService,
};
use harrierward_tenants::{AllowedRegions, Tenant};
use http::{HeaderMap, Method};

/// Request id that a response carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseId {
    /// Id of the request itself.
    Own,
    /// Id of an earlier request on the connection.
    Another,
    /// No id, from the replica itself.
    Missing,
    /// No id, as a late response to an earlier request on a reused connection.
    MissingLate,
}

impl ResponseId {
    fn is_late(self) -> bool {
        matches!(self, Self::Another | Self::MissingLate)
    }
}

/// Result of one request at a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScriptedResult {
    /// A complete response.
    Complete,
    /// The connection is refused.
    NotSent,
    /// The connection breaks after the request has started.
    Lost,
    /// The connection breaks after the response header.
    DisconnectAfterHeader,
    /// A refusal that states "not run". If it belongs to another request, the replica has started this one.
    Refusal {
        status: u16,
        response_id: ResponseId,
    },
    /// Another replica has the address.
    OtherReplica { response_id: ResponseId },
    /// The replica ran the request and failed with this status.
    Failure(u16),
}

impl ScriptedResult {
    /// True if a replica has started the request.
    pub fn began(self) -> bool {
        match self {
            Self::NotSent => false,
            Self::Refusal { response_id, .. } | Self::OtherReplica { response_id } => {
                response_id.is_late()
            }
            _ => true,
        }
    }

    /// On a new connection a refusal without an id can't be late.
    fn on_new_connection(self) -> Self {
        let own = |response_id: ResponseId| match response_id {
            ResponseId::MissingLate => ResponseId::Missing,
            other => other,
        };
        match self {
            Self::Refusal {
                status,
                response_id,
            } => Self::Refusal {
                status,
                response_id: own(response_id),
            },
            Self::OtherReplica { response_id } => Self::OtherReplica {
                response_id: own(response_id),
            },
            other => other,
        }
    }
}

#[derive(Default)]
struct Script {
    results: VecDeque<ScriptedResult>,
    history: Vec<(String, ScriptedResult)>,
}

/// Client with one scripted result per request, and complete responses afterwards.
#[derive(Default)]
pub struct Scripted {
    script: Mutex<Script>,
}

impl Scripted {
    fn lock(&self) -> MutexGuard<'_, Script> {
        self.script.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the results of the next requests.
    pub fn set_script(&self, results: &[ScriptedResult]) {
        self.lock().results = results.iter().copied().collect();
    }

    /// Returns replica and result of each request so far.
    pub fn history(&self) -> Vec<(String, ScriptedResult)> {
        self.lock().history.clone()
    }

    /// True if a replica has started a request.
    pub fn has_begun(&self) -> bool {
        self.lock().history.iter().any(|(_, result)| result.began())
    }
}

fn response(status: u16, response_id: ResponseId, not_run: bool, id: &str) -> ReplicaResponse {
    ReplicaResponse {
        status,
        request_id: match response_id {
            ResponseId::Own => Some(id.to_owned()),
            ResponseId::Another => Some("another".to_owned()),
            ResponseId::Missing | ResponseId::MissingLate => None,
        },
        is_first_on_connection: response_id != ResponseId::MissingLate,
        not_run,
        misdirected: (status == 421).then_some(Misdirected::OtherReplica),
        load: None,
        headers: HeaderMap::new(),
        delimiter: BodyDelimiter::Length,
        body: futures::stream::empty().boxed(),
    }
}

#[async_trait]
impl ReplicaClient for Scripted {
    async fn send(&self, request: ReplicaRequest<'_>) -> Result<ReplicaResponse, ExchangeError> {
        let result = {
            let mut script = self.lock();
            let mut result = script
                .results
                .pop_front()
                .unwrap_or(ScriptedResult::Complete);
            if request.fresh_connection {
                result = result.on_new_connection();
            }
            script.history.push((request.replica.to_owned(), result));
            result
        };
        let id = &request.request.id;
        let (step, peer) = ("replica.send", request.address.to_owned());
        let detail = "scripted".to_owned();
        match result {
            ScriptedResult::Complete => Ok(response(200, ResponseId::Own, false, id)),
            ScriptedResult::NotSent => Err(ExchangeError::NotSent { step, peer, detail }),
            ScriptedResult::Lost => Err(ExchangeError::Lost { step, peer, detail }),
            ScriptedResult::DisconnectAfterHeader => {
                let error = BodyError { peer, detail };
                let body = futures::stream::iter([Err::<Bytes, _>(error)]).boxed();
                Ok(ReplicaResponse {
                    body,
                    ..response(200, ResponseId::Own, false, id)
                })
            }
            ScriptedResult::Refusal {
                status,
                response_id,
            } => Ok(response(status, response_id, true, id)),
            ScriptedResult::OtherReplica { response_id } => {
                Ok(response(421, response_id, false, id))
            }
            ScriptedResult::Failure(status) => Ok(response(status, ResponseId::Own, false, id)),
        }
    }
}

/// Rate limits that admit every request.
pub struct NoLimits;

#[async_trait]
impl RateLimits for NoLimits {
    async fn admit(&self, _tenant: &Tenant, _request: &str) -> RateStatus {
        RateStatus::Within
    }
}

/// Leases without coordinators, so that the daemon chooses itself.
struct Uncoordinated;

#[async_trait]
impl SlotLeases for Uncoordinated {
    async fn acquire(&self, _query: SlotQuery<'_>) -> SlotReply {
        SlotReply::NoCoordinator
    }

    fn acquire_locally(&self, _replica: &Arc<Replica>, _item: Option<ItemSlack>) -> u32 {
        1
    }

    fn release(&self, _lease: u32, _report: ReleaseReport) {}

    fn is_coordinated(&self, _replica: &Replica) -> bool {
        false
    }

    fn is_reported_cold(&self, _replica: &Replica) -> bool {
        false
    }

    fn preempt_item(&self, _replica: &Arc<Replica>) {}
}

/// Maximum attempts of the route.
pub const ATTEMPTS: u32 = 2;

fn routes(kind: RouteKind) -> RouteTable {
    let route = Route {
        allowed_regions: AllowedRegions::default(),
        name: "ask".to_owned(),
        host: "example".to_owned(),
        prefix: "/ask/".to_owned(),
        kind,
        services: vec![WeightedService {
            service: "model".to_owned(),
            weight: 1,
        }],
        attempts: ATTEMPTS,
        timeout: Duration::from_secs(5),
        objective: Duration::from_millis(300),
        gap_objective: None,
        priority: 0,
        is_public: false,
    };
    let configuration = ServingConfiguration {
        version: 1,
        routes: vec![route],
        ..ServingConfiguration::default()
    };
    RouteTable::build(configuration, None)
}

/// Request path of one daemon with scripted replicas.
pub struct Fixture {
    pub forwarder: Forwarder,
    pub replicas: Arc<ReplicaSet>,
    pub client: Arc<Scripted>,
}

/// Creates the record of a replica `id` in the only zone.
pub fn record(id: &str) -> ReplicaRecord {
    ReplicaRecord {
        id: id.to_owned(),
        born_ms: None,
        service: "model".to_owned(),
        version: String::new(),
        address: format!("{id}:80"),
        zone: "zone".to_owned(),
        region: String::new(),
        slots: 8,
        draining: false,
        warmup: Duration::ZERO,
    }
}

impl Fixture {
    /// Creates a daemon with one route of this kind and replicas `i-0`, `i-1` and so on.
    pub fn new(kind: RouteKind, replicas: usize) -> Self {
        let set = Arc::new(ReplicaSet::default());
        let records = (0..replicas).map(|number| record(&format!("i-{number}")));
        set.replace(records.collect(), |_| 100_000);
        let client = Arc::new(Scripted::default());
        let forwarder = Forwarder::new(ForwarderParts {
            routes: Arc::new(ArcSwapOption::from_pointee(routes(kind))),
            replicas: set.clone(),
            client: client.clone(),
            leases: Arc::new(Uncoordinated),
            rates: Arc::new(NoLimits),
            quarantine: Arc::new(NoQuarantine),
            proof: Arc::default(),
            origins: Arc::new(harrierward_serving::NoOrigins),
            log: DecisionLog::new(LogBounds::default()),
            settings: ForwarderSettings {
                region: String::new(),
                zone: "zone".to_owned(),
                costs: SelectionCosts::default(),
                key_trust: KeyTrust::Unbounded,
            },
        });
        Self {
            forwarder,
            replicas: set,
            client,
        }
    }
}

/// Creates a request with this id; content and caller are always the same.
pub fn request(id: &str) -> ServingRequest {
    ServingRequest {
        regions: AllowedRegions::default(),
        id: id.to_owned(),
        host: "example".to_owned(),
        method: Method::POST,
        target: "/ask/x".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"body"),
        timeout: Some(Duration::from_secs(5)),
        resume_after: None,
        resumes: None,
        version: None,
        prompt: Prompt::default(),
        key: None,
        tenant: None,
    }
}
