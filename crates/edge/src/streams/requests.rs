//! Lookup of a stream that a caller takes up: own records first, then those of peers and of the store.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use futures::StreamExt;
use futures::future::{Either, select};
use futures::stream::FuturesUnordered;
use harrierward_serving::{
    Asked, KnownOrigin, OriginLookup, OriginSource, StoreEvidence, StreamOrigins, short_hash,
};
use harrierward_stream_origins::{
    OriginSet, RecordSource, SoftwareVersion, StreamKey, StreamOrigin,
};
use harrierward_tenants::AllowedRegions;
use harrierward_wire::{StreamAnswer, StreamAsk, node_datagram};
use rand::seq::IteratorRandom;
use tokio::time::{Instant, timeout};

use super::{StreamPeer, StreamService, Subject, decode_record, hash_of_host};
use crate::calls::{CallTimeouts, PeerLocation};

/// Peers that are asked: those that were notified stay among them while some members join or leave.
const ASKED_PEERS: usize = 8;

/// Timeouts of a request, before the measured round trip is added. They cover the response time of a busy peer; a stream
/// that pauses for the longest of them isn't late yet.
const TIMEOUTS: CallTimeouts = CallTimeouts {
    resend_after: Duration::from_millis(20),
    timeout: Duration::from_millis(60),
    max_timeout: Duration::from_millis(120),
};

/// Time within which the store has to respond: its caller may do better at another daemon, or begin again.
const STORE_TIMEOUT: Duration = Duration::from_millis(250);

impl StreamService {
    fn own_record(&self, stream: StreamKey) -> Option<KnownOrigin> {
        let mut state = self.lock();
        let known = state.ledger.get(stream, harrierward_clock::now())?;
        Some(KnownOrigin {
            origin: known.origin,
            source: match &known.source {
                RecordSource::Own => OriginSource::OwnRecord,
                RecordSource::Peer(id) => OriginSource::Peer(id.clone()),
            },
            known_at: known.known_at,
        })
    }

    async fn ask(
        &self,
        stream: StreamKey,
        service: u32,
        peer: StreamPeer,
    ) -> Option<(Arc<str>, StreamAnswer)> {
        let ask = StreamAsk {
            number: self.next_call.fetch_add(1, Ordering::Relaxed),
            stream: stream.hash(),
            service,
        };
        let location = PeerLocation::from(self.location, peer.location);
        let send = || self.send(node_datagram::Kind::StreamAsk(ask.clone()), peer.address);
        let answer = self
            .calls
            .call(ask.number, location, TIMEOUTS, send)
            .await?;
        Some((peer.id, answer))
    }

    /// Asks the peers that are notified first; returns the first record found, and how many were asked and replied.
    async fn ask_peers(&self, stream: StreamKey, service: u32) -> (Option<KnownOrigin>, Asked) {
        let peers = self.peers(stream, ASKED_PEERS);
        let mut asked = Asked {
            peers: peers.len(),
            ..Asked::default()
        };
        let calls = peers.into_iter();
        let calls = calls.map(|peer| self.ask(stream, service, peer));
        let mut calls: FuturesUnordered<_> = calls.collect();
        while let Some(answer) = calls.next().await {
            let Some((id, answer)) = answer else {
                continue;
            };
            asked.replied += 1;
            let record = answer.record.as_ref();
            if let Some(record) = record.filter(|record| record.stream == stream.hash()) {
                let record = decode_record(record, id.clone(), harrierward_clock::now());
                let known = KnownOrigin {
                    origin: record.origin,
                    source: OriginSource::Peer(id),
                    known_at: record.known_at,
                };
                return (Some(known), asked);
            }
        }
        (None, asked)
    }

    /// Concludes that a stream which was taken up at `since` began at the only version of a service, the only one of its
    /// host. `None` if it may have begun elsewhere, or if the store doesn't respond in time.
    async fn sole_version(
        &self,
        host: u32,
        service: u32,
        since: Instant,
    ) -> (Option<KnownOrigin>, StoreEvidence) {
        // Members are only added: what is known to be one of several stays so.
        if self.has_several(host, service) {
            return (None, StoreEvidence::NotAsked);
        }
        let origins = self.store.origins.clone();
        let check = tokio::spawn(async move {
            let subjects = [Subject::Host(host), Subject::Service(service)];
            origins.check(&subjects, since).await
        });
        if !matches!(timeout(STORE_TIMEOUT, check).await, Ok(Ok(Ok(())))) {
            return (None, StoreEvidence::Unread);
        }
        let Some(version) = self.only_version(host, service) else {
            return (None, StoreEvidence::NotAsked);
        };
        let known = KnownOrigin {
            origin: StreamOrigin { service, version },
            source: OriginSource::SoleVersion,
            known_at: since,
        };
        (Some(known), StoreEvidence::SoleVersion)
    }

    /// Returns the only version of a service that is the only one of a host, as far as this daemon knows.
    fn only_version(&self, host: u32, service: u32) -> Option<SoftwareVersion> {
        if self.has_several(host, service) {
            return None;
        }
        let services = self.store.origins.known(Subject::Host(host));
        services.sole()?;
        let versions = self.store.origins.known(Subject::Service(service));
        versions.sole().map(SoftwareVersion::from_hash)
    }

    /// True if streams of a host may have begun at another service or at several versions: those that the store holds, and
    /// those in use.
    fn has_several(&self, host: u32, service: u32) -> bool {
        let mut services = OriginSet::of([u64::from(service)]);
        services.merge(&self.store.origins.known(Subject::Host(host)).seen);
        let versions = self.store.origins.known(Subject::Service(service));
        let mut versions = versions.seen.clone();
        let view = self.replicas.view();
        if let Some((name, _)) = view.service_by_hash(service) {
            let listed = view.versions(name).iter().map(|version| version.hash());
            versions.merge(&OriginSet::of(listed));
        }
        let is_several = |set: &OriginSet| set.is_any() || set.len() > 1;
        is_several(&services) || is_several(&versions)
    }

    /// Returns the version of a random replica that accepts work, among those whose version the store holds. `None` if it
    /// holds all listed versions, or none that serves.
    fn stored_version(&self, service: &str, regions: &AllowedRegions) -> Option<SoftwareVersion> {
        let view = self.replicas.view();
        let known = self
            .store
            .origins
            .known(Subject::Service(short_hash(service)));
        let is_stored = |version: SoftwareVersion| known.stored.contains(version.hash());
        if view.versions(service).iter().copied().all(is_stored) {
            return None;
        }
        let replicas = view.listed(service).iter();
        let usable = replicas.filter(|replica| {
            is_stored(replica.version)
                && replica.accepts_work()
                && regions.allows(&replica.record.region)
        });
        usable
            .choose(&mut rand::rng())
            .map(|replica| replica.version)
    }

    /// Looks a stream up in the store.
    async fn stored_record(
        &self,
        stream: StreamKey,
        since: Instant,
    ) -> (Option<KnownOrigin>, StoreEvidence) {
        let records = self.store.records.clone();
        let lookup = tokio::spawn(async move { records.find(stream, since).await });
        match timeout(STORE_TIMEOUT, lookup).await {
            Ok(Ok(Ok(Some(origin)))) => {
                let known = KnownOrigin {
                    origin,
                    source: OriginSource::Store,
                    known_at: since,
                };
                (Some(known), StoreEvidence::Record)
            }
            Ok(Ok(Ok(None))) => (None, StoreEvidence::NoRecord),
            Ok(_) | Err(_) => (None, StoreEvidence::Unread),
        }
    }

    /// Asks peers and the store where a stream began. A record goes first: where the store gave the daemon that began the
    /// stream no response, its version may be missing there.
    async fn find_elsewhere(
        &self,
        stream: Option<StreamKey>,
        host: u32,
        service: Option<u32>,
    ) -> OriginLookup {
        let since = harrierward_clock::now();
        let asking_peers = async {
            match stream {
                Some(stream) => self.ask_peers(stream, service.unwrap_or_default()).await,
                None => (None, Asked::default()),
            }
        };
        let asking_store = async {
            match service {
                Some(service) => self.sole_version(host, service, since).await,
                None => (None, StoreEvidence::NotAsked),
            }
        };
        let (known, mut asked) = first_record_or(asking_peers, asking_store).await;
        let Some(stream) = stream.filter(|_| known.is_none()) else {
            return OriginLookup { known, asked };
        };
        let (known, evidence) = self.stored_record(stream, since).await;
        if asked.store != StoreEvidence::Unread || known.is_some() {
            asked.store = evidence;
        }
        OriginLookup { known, asked }
    }
}

/// Returns a record of a peer as soon as there is one, and what the store shows otherwise.
async fn first_record_or(
    asking_peers: impl Future<Output = (Option<KnownOrigin>, Asked)>,
    asking_store: impl Future<Output = (Option<KnownOrigin>, StoreEvidence)>,
) -> (Option<KnownOrigin>, Asked) {
    let asking_peers = pin!(asking_peers);
    let asking_store = pin!(asking_store);
    let ((record, mut asked), (sole, evidence)) = match select(asking_peers, asking_store).await {
        Either::Left(((Some(record), asked), _)) => return (Some(record), asked),
        Either::Left((of_peers, asking_store)) => (of_peers, asking_store.await),
        Either::Right((of_store, asking_peers)) => (asking_peers.await, of_store),
    };
    asked.store = evidence;
    (record.or(sole), asked)
}

#[async_trait]
impl StreamOrigins for StreamService {
    fn version_to_begin_at(
        &self,
        service: &str,
        regions: &AllowedRegions,
    ) -> Option<SoftwareVersion> {
        self.stored_version(service, regions)
    }

    async fn admit(&self, host: &str, origin: StreamOrigin) {
        self.admit_origin(hash_of_host(host), origin).await;
    }

    fn note(&self, stream: StreamKey, host: &str, origin: StreamOrigin) {
        self.note_own(stream, hash_of_host(host), origin);
    }

    async fn find(
        &self,
        stream: Option<StreamKey>,
        host: &str,
        service: Option<&str>,
    ) -> OriginLookup {
        if let Some(known) = stream.and_then(|stream| self.own_record(stream)) {
            return OriginLookup {
                known: Some(known),
                ..OriginLookup::default()
            };
        }
        self.find_elsewhere(stream, hash_of_host(host), service.map(short_hash))
            .await
    }
}
