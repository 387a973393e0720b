//! Lookup of a stream that a caller takes up: own records first, then those of peers.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use harrierward_serving::{
    AskedPeers, KnownOrigin, OriginLookup, OriginSource, StreamOrigins, StreamTerms, short_hash,
};
use harrierward_stream_origins::{
    RecordSource, SoftwareVersion, StreamKey, StreamOrigin, Testimony, sole_version,
};
use harrierward_wire::{StreamAnswer, StreamAsk, node_datagram};
use tokio::time::Instant;

use super::{StreamPeer, StreamService, decode_record, testimony};
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
        stream: Option<StreamKey>,
        service: u32,
        peer: StreamPeer,
    ) -> Option<(Arc<str>, StreamAnswer)> {
        let ask = StreamAsk {
            number: self.next_call.fetch_add(1, Ordering::Relaxed),
            stream: stream.map_or(0, StreamKey::hash),
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

    /// Returns what this daemon and its peers saw of a service's versions, its own testimony first.
    fn testimonies(
        &self,
        service: u32,
        answers: &[(Arc<str>, StreamAnswer)],
        now: Instant,
    ) -> Vec<Testimony> {
        let own = testimony(&self.lock().history, service, self.window(), now);
        let others = answers.iter().map(|(_, answer)| Testimony {
            versions: answer
                .versions
                .iter()
                .map(|hash| SoftwareVersion::from_hash(*hash))
                .collect(),
            is_complete: answer.is_complete,
        });
        std::iter::once(own).chain(others).collect()
    }

    /// Concludes from testimonies that only one version can have begun a stream.
    fn conclude(
        &self,
        service: u32,
        testimonies: &[Testimony],
        answers: &[(Arc<str>, StreamAnswer)],
        now: Instant,
    ) -> Option<KnownOrigin> {
        let sole = sole_version(testimonies)?;
        let (witness, age) = match sole.witness.checked_sub(1) {
            None => {
                let proof_age = self.replicas.proof_age();
                (self.instance_id.clone(), proof_age.unwrap_or_default())
            }
            Some(position) => {
                let (id, answer) = &answers[position];
                let age = Duration::from_millis(u64::from(answer.proof_age_ms));
                (id.clone(), age)
            }
        };
        Some(KnownOrigin {
            origin: StreamOrigin {
                service,
                version: sole.version,
            },
            source: OriginSource::SoleVersion(witness),
            known_at: now.checked_sub(age).unwrap_or(now),
        })
    }
}

#[async_trait]
impl StreamOrigins for StreamService {
    fn note(&self, stream: StreamKey, origin: StreamOrigin, terms: StreamTerms) {
        self.note_own(stream, origin, terms);
    }

    async fn find(&self, stream: Option<StreamKey>, service: Option<&str>) -> OriginLookup {
        if let Some(known) = stream.and_then(|stream| self.own_record(stream)) {
            return OriginLookup {
                known: Some(known),
                ..OriginLookup::default()
            };
        }
        let service_hash = service.map_or(0, short_hash);
        let rank = stream.unwrap_or_else(|| StreamKey::from_hash(rand::random()));
        let peers = self.peers(rank, ASKED_PEERS);
        let asked = peers.len();
        let calls = peers.into_iter();
        let calls = calls.map(|peer| self.ask(stream, service_hash, peer));
        let mut calls: FuturesUnordered<_> = calls.collect();
        let mut answers = Vec::with_capacity(asked);
        while let Some(answer) = calls.next().await {
            let Some((id, answer)) = answer else {
                continue;
            };
            if let Some(record) = &answer.record {
                let record = decode_record(record, id.clone(), harrierward_clock::now());
                let known = KnownOrigin {
                    origin: record.origin,
                    source: OriginSource::Peer(id),
                    known_at: record.known_at,
                };
                return OriginLookup {
                    known: Some(known),
                    peers: AskedPeers {
                        asked,
                        replied: answers.len() + 1,
                        ..AskedPeers::default()
                    },
                };
            }
            answers.push((id, answer));
        }
        let now = harrierward_clock::now();
        let testimonies = self.testimonies(service_hash, &answers, now);
        let versions: HashSet<SoftwareVersion> = testimonies
            .iter()
            .flat_map(|one| one.versions.iter().copied())
            .collect();
        let sole = service.and_then(|_| self.conclude(service_hash, &testimonies, &answers, now));
        OriginLookup {
            known: sole,
            peers: AskedPeers {
                asked,
                replied: answers.len(),
                complete: testimonies.iter().filter(|one| one.is_complete).count(),
                versions: versions.len(),
            },
        }
    }
}
