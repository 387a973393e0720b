//! Where streams began, as the request path uses it: a stream goes on only at the service and the software version that
//! wrote its first event.

use std::sync::Arc;

use async_trait::async_trait;
use harrierward_stream_origins::{SoftwareVersion, StreamKey, StreamOrigin};
use harrierward_tenants::AllowedRegions;
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
    /// A daemon stored it: with an item's events, or for streams that are taken up.
    Store,
    /// It passed on the stream's first event in an earlier response.
    OwnRecord,
    /// The peer with this id recorded it.
    Peer(Arc<str>),
    /// No stream of its host can have begun at another service or version, as the store says.
    SoleVersion,
}

impl OriginSource {
    /// Returns the name in the decision log.
    pub fn name(&self) -> String {
        match self {
            Self::Response => "response".to_owned(),
            Self::Store => "store".to_owned(),
            Self::OwnRecord => "own record".to_owned(),
            Self::Peer(id) => id.to_string(),
            Self::SoleVersion => "sole version".to_owned(),
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
    /// When that daemon learned it; of a sole version, when the store was asked.
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

/// What the store shows of a stream that no daemon which was asked has a record of.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StoreEvidence {
    /// It was not asked.
    #[default]
    NotAsked,
    /// Only one service and version can have begun the stream.
    SoleVersion,
    /// It has a record of the stream.
    Record,
    /// Several services or versions can have begun it, and there is no record.
    NoRecord,
    /// It didn't respond in time.
    Unread,
}

impl StoreEvidence {
    /// Returns the name in the decision log.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotAsked => "not asked",
            Self::SoleVersion => "sole version",
            Self::Record => "record",
            Self::NoRecord => "no record",
            Self::Unread => "unread",
        }
    }
}

/// Who was asked where a stream began.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Asked {
    /// Peers that were asked.
    pub peers: usize,
    /// Peers that replied.
    pub replied: usize,
    /// What the store showed.
    pub store: StoreEvidence,
}

/// Result of [`StreamOrigins::find`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OriginLookup {
    /// Where the stream began; `None` if nobody knows.
    pub known: Option<KnownOrigin>,
    /// Who was asked, unless this daemon knew it.
    pub asked: Asked,
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
    /// Returns the version at which a stream is to begin; `None` if any will do. While the store lacks a version of the
    /// service, that is one which it holds, as long as a replica of it accepts work.
    fn version_to_begin_at(
        &self,
        service: &str,
        regions: &AllowedRegions,
    ) -> Option<SoftwareVersion>;

    /// Returns once the store says that streams may begin at this origin, or after a bounded time. Called before the first
    /// event is passed on: a daemon that finds no record of the stream concludes from the store where it began.
    async fn admit(&self, host: &str, origin: StreamOrigin);

    /// Records where a stream of a host began. Does not block.
    fn note(&self, stream: StreamKey, host: &str, origin: StreamOrigin);

    /// Finds out where a stream of a host began. `stream` is `None` if its caller doesn't name it, and `service` the only
    /// one to which its route leads, if there is only one.
    async fn find(
        &self,
        stream: Option<StreamKey>,
        host: &str,
        service: Option<&str>,
    ) -> OriginLookup;
}

/// Remembers nothing.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoOrigins;

#[async_trait]
impl StreamOrigins for NoOrigins {
    fn version_to_begin_at(&self, _: &str, _: &AllowedRegions) -> Option<SoftwareVersion> {
        None
    }

    async fn admit(&self, _host: &str, _origin: StreamOrigin) {}

    fn note(&self, _stream: StreamKey, _host: &str, _origin: StreamOrigin) {}

    async fn find(
        &self,
        _stream: Option<StreamKey>,
        _host: &str,
        _service: Option<&str>,
    ) -> OriginLookup {
        OriginLookup::default()
    }
}
