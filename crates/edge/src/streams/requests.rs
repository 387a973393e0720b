//! Lookup of a stream that a caller takes up: own records first, then those of peers and of the store.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use harrierward_serving::{
    Asked, KnownOrigin, OriginLookup, OriginSource, StoreEvidence, StreamOrigins, short_hash,
};
use harrierward_stream_origins::{
    OriginSet, RecordSource, SoftwareVersion, StreamKey, StreamOrigin,
};
use harrierward_wire::{StreamAnswer, StreamAsk, node_datagram};
use tokio::time::{Instant, timeout};

use super::{StreamPeer, StreamService, Subject, decode_record};
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

    /// Asks the peers that are notified first; returns the first record found.
    async fn ask_peers(
        &self,
        stream: StreamKey,
        service: u32,
        asked: &mut Asked,
    ) -> Option<KnownOrigin> {
        let peers = self.peers(stream, ASKED_PEERS);
        asked.peers = peers.len();
        let calls = peers.into_iter();
        let calls = calls.map(|peer| self.ask(stream, service, peer));
        let mut calls: FuturesUnordered<_> = calls.collect();
        while let Some(answer) = calls.next().await {
            let Some((id, answer)) = answer else {
                continue;
            };
            asked.replied += 1;
            if let Some(record) = &answer.record {
                let record = decode_record(record, id.clone(), harrierward_clock::now());
                return Some(KnownOrigin {
                    origin: record.origin,
                    source: OriginSource::Peer(id),
                    known_at: record.known_at,
                });
            }
        }
        None
    }

    /// Concludes that a stream which was taken up at `since` began at the only version of a service, the only one of its
    /// host. `None` if it may have begun elsewhere, or if the store doesn't respond in time.
    async fn sole_version(
        &self,
        host: u32,
        service: u32,
        since: Instant,
        asked: &mut Asked,
    ) -> Option<KnownOrigin> {
        // Members are only added: what is known to be one of several stays so.
        if self.has_several(host, service) {
            return None;
        }
        let subjects = [Subject::Host(host), Subject::Service(service)];
        let check = self.store.origins.check(&subjects, since);
        if !matches!(timeout(STORE_TIMEOUT, check).await, Ok(Ok(()))) {
            asked.store = StoreEvidence::Unread;
            return None;
        }
        if self.has_several(host, service) {
            return None;
        }
        let services = self.store.origins.known(Subject::Host(host));
        let versions = self.store.origins.known(Subject::Service(service));
        services.seen.sole()?;
        let version = versions.seen.sole()?;
        asked.store = StoreEvidence::SoleVersion;
        Some(KnownOrigin {
            origin: StreamOrigin {
                service,
                version: SoftwareVersion::from_hash(version),
            },
            source: OriginSource::SoleVersion,
            known_at: since,
        })
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

    /// Looks a stream up in the store.
    async fn stored_record(
        &self,
        stream: StreamKey,
        since: Instant,
        asked: &mut Asked,
    ) -> Option<KnownOrigin> {
        let lookup = timeout(STORE_TIMEOUT, self.store.records.find(stream, since));
        let Ok(Ok(origin)) = lookup.await else {
            asked.store = StoreEvidence::Unread;
            return None;
        };
        let Some(origin) = origin else {
            if asked.store == StoreEvidence::NotAsked {
                asked.store = StoreEvidence::NoRecord;
            }
            return None;
        };
        asked.store = StoreEvidence::Record;
        Some(KnownOrigin {
            origin,
            source: OriginSource::Store,
            known_at: since,
        })
    }

    async fn find_elsewhere(
        &self,
        stream: Option<StreamKey>,
        host: &str,
        service: Option<&str>,
        asked: &mut Asked,
    ) -> Option<KnownOrigin> {
        let since = harrierward_clock::now();
        let service = service.map(short_hash);
        if let Some(service) = service {
            let known = self.sole_version(short_hash(host), service, since, asked);
            if let Some(known) = known.await {
                return Some(known);
            }
        }
        let stream = stream?;
        let known = self.ask_peers(stream, service.unwrap_or_default(), asked);
        if let Some(known) = known.await {
            return Some(known);
        }
        self.stored_record(stream, since, asked).await
    }
}

#[async_trait]
impl StreamOrigins for StreamService {
    async fn admit(&self, host: &str, origin: StreamOrigin) {
        self.admit_origin(short_hash(host), origin).await;
    }

    fn note(&self, stream: StreamKey, origin: StreamOrigin) {
        self.note_own(stream, origin);
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
        let mut asked = Asked::default();
        let known = self.find_elsewhere(stream, host, service, &mut asked).await;
        OriginLookup { known, asked }
    }
}
