//! Where streams began, as the request path uses it: a stream goes on only at the service and the software version that
//! wrote its first event.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use harrierward_stream_origins::{StreamKey, StreamOrigin};
use tokio::time::Instant;

use crate::configuration::Route;
use crate::exchange::ServingRequest;
use crate::replica::{Replica, short_hash};

/// Returns the origin of streams that begin at a replica.
pub fn origin_of(replica: &Replica) -> StreamOrigin {
    StreamOrigin {
        service: short_hash(&replica.record.service),
        version: replica.version,
    }
}

/// How this daemon learned where a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OriginSource {
    /// It received the first event itself, in the response or the item's run that goes on.
    Response,
    /// An earlier owner stored it with the item's events.
    Store,
    /// It passed on the stream's first event in an earlier response.
    OwnRecord,
    /// The peer with this id recorded it.
    Peer(Arc<str>),
    /// No other version served meanwhile, as the daemon with this id saw.
    SoleVersion(Arc<str>),
}

impl OriginSource {
    /// Returns the name in the decision log.
    pub fn name(&self) -> String {
        match self {
            Self::Response => "response".to_owned(),
            Self::Store => "store".to_owned(),
            Self::OwnRecord => "own record".to_owned(),
            Self::Peer(id) => id.to_string(),
            Self::SoleVersion(id) => format!("sole version: {id}"),
        }
    }
}

/// Where a stream began, as far as this daemon knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownOrigin {
    /// Service and software version.
    pub origin: StreamOrigin,
    /// From whom this is known.
    pub source: OriginSource,
    /// When that daemon learned it; of a sole version, when the list of replicas was last proven.
    pub known_at: Instant,
}

impl KnownOrigin {
    /// Returns the origin of a stream whose first event this daemon has just received from a replica.
    pub fn received_from(replica: &Replica) -> Self {
        Self {
            origin: origin_of(replica),
            source: OriginSource::Response,
            known_at: harrierward_clock::now(),
        }
    }
}

/// How many peers were asked where a stream began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AskedPeers {
    /// Peers that were asked.
    pub asked: usize,
    /// Peers that replied.
    pub replied: usize,
    /// Daemons, this one included, that can't have missed a version.
    pub complete: usize,
    /// Software versions that they and the others saw.
    pub versions: usize,
}

/// Result of [`StreamOrigins::find`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OriginLookup {
    /// Where the stream began; `None` if nobody knows.
    pub known: Option<KnownOrigin>,
    /// Peers that were asked, unless this daemon knew it.
    pub peers: AskedPeers,
}

/// Conditions under which callers may take a stream up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamTerms {
    /// Time within which its caller may do so.
    pub lifetime: Duration,
    /// True if its route has several services, so that no version is the only one at which it can have begun.
    pub is_split: bool,
}

/// Margin of a stream's lifetime, for callers that count their timeout from a later moment.
const LIFETIME_MARGIN: Duration = Duration::from_secs(3);

/// Lifetime of a stream whose caller states no timeout, as a multiple of its route's.
const UNSTATED_TIMEOUT_FACTOR: u32 = 2;

impl StreamTerms {
    /// Returns the terms of a stream that this request begins or takes up.
    pub fn of(request: &ServingRequest, route: &Route) -> Self {
        let timeout = request.timeout;
        let lifetime = timeout.unwrap_or(route.timeout * UNSTATED_TIMEOUT_FACTOR) + LIFETIME_MARGIN;
        Self {
            lifetime,
            is_split: sole_service(route).is_none(),
        }
    }
}

/// Returns the name of the route's service if it has only one.
pub fn sole_service(route: &Route) -> Option<&str> {
    let first = &route.services.first()?.service;
    let others = route.services.iter();
    let is_sole = others.clone().all(|one| one.service == *first);
    is_sole.then_some(first)
}

/// Returns the key of the stream that a request takes up; `None` if its caller names none.
pub fn stream_taken_up(request: &ServingRequest) -> Option<StreamKey> {
    let attempt = request.resumes.as_deref().filter(|id| !id.is_empty())?;
    Some(StreamKey::of(request.tenant.as_deref(), attempt))
}

/// Returns the key of the stream whose events a request brings: the one that it takes up or, without events, its own.
pub fn stream_of(request: &ServingRequest) -> Option<StreamKey> {
    if takes_up(request) {
        return stream_taken_up(request);
    }
    Some(StreamKey::of(request.tenant.as_deref(), &request.id))
}

/// True if the caller has events of a stream that the request is to continue.
pub fn takes_up(request: &ServingRequest) -> bool {
    request.resume_after.is_some_and(|last| last > 0)
}

/// Remembers where streams began, here and at peers.
#[async_trait]
pub trait StreamOrigins: Send + Sync {
    /// Records where a stream began. Does not block.
    fn note(&self, stream: StreamKey, origin: StreamOrigin, terms: StreamTerms);

    /// Finds out where a stream began. `stream` is `None` if its caller doesn't name it, and `service` the only service
    /// that can have served it, if there is only one.
    async fn find(&self, stream: Option<StreamKey>, service: Option<&str>) -> OriginLookup;
}

/// Remembers nothing.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoOrigins;

#[async_trait]
impl StreamOrigins for NoOrigins {
    fn note(&self, _stream: StreamKey, _origin: StreamOrigin, _terms: StreamTerms) {}

    async fn find(&self, _stream: Option<StreamKey>, _service: Option<&str>) -> OriginLookup {
        OriginLookup::default()
    }
}
