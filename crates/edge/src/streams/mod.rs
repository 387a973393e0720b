//! Where streams began: remembers it for this daemon's streams, notifies peers while several software versions serve, and
//! asks them when a caller takes a stream up.

mod requests;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use harrierward_decisions::{DecisionLog, Record};
use harrierward_serving::{
    Location, ReplicaSet, RouteTable, SharedRoutes, StreamTerms, short_hash,
};
use harrierward_stream_origins::{
    OriginLedger, OriginRecord, RecordSource, SoftwareVersion, StreamKey, StreamOrigin, Testimony,
    VersionHistory,
};
use harrierward_wire::{
    NodeDatagram, StreamAnswer, StreamAsk, StreamNotice, StreamRecord, encode, node_datagram,
};
use tokio::net::UdpSocket;
use tokio::time::Instant;

use crate::calls::DatagramCalls;
use crate::rendezvous::ranked;
use crate::slots::CoordinatorCandidate;

/// Peers that are notified of a stream: it stays known when its daemon and two of them end at once.
const NOTIFIED_PEERS: usize = 3;

/// Records in one datagram; some 1 kB.
const MAX_RECORDS_PER_NOTICE: usize = 32;

/// Lower bound of the time within which a stream that is taken up can have begun.
const MIN_WINDOW: Duration = Duration::from_secs(5);

/// That time as a multiple of the longest timeout of routes whose streams may be taken up: several tries of one caller.
const WINDOW_FACTOR: u32 = 2;

/// Longest lifetime that a peer's record is given.
const MAX_LIFETIME: Duration = Duration::from_secs(3_600);

/// A peer that remembers streams.
struct StreamPeer {
    /// Instance id.
    id: Arc<str>,
    /// Address for datagrams.
    address: SocketAddr,
    location: Location,
}

struct State {
    ledger: OriginLedger,
    history: VersionHistory,
    /// Services of which a sole version was proven at the last tick.
    sole: HashSet<u32>,
}

/// Origins of streams, as one daemon knows them.
pub struct StreamService {
    instance_id: Arc<str>,
    location: Location,
    replicas: Arc<ReplicaSet>,
    routes: SharedRoutes,
    members: ArcSwap<Vec<CoordinatorCandidate>>,
    socket: OnceLock<Arc<UdpSocket>>,
    calls: DatagramCalls<StreamAnswer>,
    next_call: AtomicU32,
    log: DecisionLog,
    state: Mutex<State>,
}

impl StreamService {
    /// Starts without records and with this daemon as the only member.
    pub fn new(
        instance_id: &str,
        location: Location,
        replicas: Arc<ReplicaSet>,
        routes: SharedRoutes,
        log: DecisionLog,
    ) -> Self {
        Self {
            instance_id: instance_id.into(),
            location,
            replicas,
            routes,
            members: ArcSwap::default(),
            socket: OnceLock::new(),
            calls: DatagramCalls::default(),
            next_call: AtomicU32::new(1),
            log,
            state: Mutex::new(State {
                ledger: OriginLedger::default(),
                history: VersionHistory::default(),
                sole: HashSet::new(),
            }),
        }
    }

    /// Sets the socket for datagrams; nothing is sent before.
    pub fn set_socket(&self, socket: Arc<UdpSocket>) {
        // Set once, during startup.
        let _ = self.socket.set(socket);
    }

    /// Sets the members that remember streams; includes this daemon unless it is leaving.
    pub fn set_members(&self, members: Vec<CoordinatorCandidate>) {
        self.members.store(Arc::new(members));
    }

    /// Observes the versions listed now, and notifies peers of this daemon's streams at services that no longer have only
    /// one; called at each tick of the membership.
    pub fn tick(&self) {
        let now = harrierward_clock::now();
        let view = self.replicas.view();
        let window = self.window();
        let mut state = self.lock();
        let state = &mut *state;
        let versions = view.services().flat_map(|service| {
            let hash = short_hash(service);
            let versions = view.versions(service).iter();
            versions.map(move |version| (hash, *version))
        });
        state
            .history
            .observe(versions, self.replicas.proof_age(), now);
        let services: Vec<u32> = view.services().map(short_hash).collect();
        let sole = services.into_iter();
        let sole = sole.filter(|service| is_sole(&state.history, *service, window, now));
        let sole: HashSet<u32> = sole.collect();
        let before = std::mem::replace(&mut state.sole, sole);
        let ended: Vec<u32> = before.difference(&state.sole).copied().collect();
        for service in ended {
            let streams = state.ledger.take_unannounced(service, now);
            self.log.record(&Record::VersionsMixed {
                service: &self.service_name(service),
                versions: state.history.versions(service, window, now).len(),
                listed_age_ms: self.replicas.proof_age().map(millis),
                streams: streams.len(),
            });
            self.announce(&streams, now);
        }
    }

    /// Handles a datagram about streams; returns any other.
    pub fn receive(
        &self,
        kind: node_datagram::Kind,
        from: SocketAddr,
    ) -> Option<node_datagram::Kind> {
        match kind {
            node_datagram::Kind::StreamNotice(notice) => self.apply(&notice),
            node_datagram::Kind::StreamAsk(ask) => {
                let answer = self.answer(&ask);
                self.send(node_datagram::Kind::StreamAnswer(answer), from);
            }
            node_datagram::Kind::StreamAnswer(answer) => {
                // A late reply needs no handling: the caller was refused, and may try again.
                let _ = self.calls.complete(answer.number, answer);
            }
            other => return Some(other),
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time within which a stream that is taken up now can have begun.
    fn window(&self) -> Duration {
        let routes = self.routes.load();
        let longest = routes.as_deref().map(longest_timeout).unwrap_or_default();
        (longest * WINDOW_FACTOR).max(MIN_WINDOW)
    }

    fn service_name(&self, service: u32) -> String {
        let view = self.replicas.view();
        let named = view.service_by_hash(service);
        named.map_or_else(String::new, |(name, _)| name.to_owned())
    }

    /// Records a stream of this daemon, and notifies peers unless each daemon can conclude where it began.
    fn note_own(&self, stream: StreamKey, origin: StreamOrigin, terms: StreamTerms) {
        let now = harrierward_clock::now();
        let mut state = self.lock();
        let is_announced = terms.is_split || !state.sole.contains(&origin.service);
        let record = OriginRecord {
            origin,
            source: RecordSource::Own,
            known_at: now,
            expires_at: now + terms.lifetime,
            is_announced,
        };
        state.ledger.note(stream, record.clone(), now);
        drop(state);
        if is_announced {
            self.announce(&[(stream, record)], now);
        }
    }

    /// Notifies the peers that are asked first of each of these streams.
    fn announce(&self, streams: &[(StreamKey, OriginRecord)], now: Instant) {
        let mut by_peer: HashMap<SocketAddr, Vec<StreamRecord>> = HashMap::new();
        for (stream, record) in streams {
            for peer in self.peers(*stream, NOTIFIED_PEERS) {
                let encoded = encode_record(*stream, record, now);
                by_peer.entry(peer.address).or_default().push(encoded);
            }
        }
        for (address, records) in by_peer {
            for records in records.chunks(MAX_RECORDS_PER_NOTICE) {
                let notice = StreamNotice {
                    from: self.instance_id.to_string(),
                    records: records.to_vec(),
                };
                self.send(node_datagram::Kind::StreamNotice(notice), address);
            }
        }
    }

    /// Returns the first peers in a stream's rank order, which is the same on all daemons with the same members.
    fn peers(&self, stream: StreamKey, count: usize) -> Vec<StreamPeer> {
        let members = self.members.load();
        let others = members
            .iter()
            .filter(|member| *member.id != *self.instance_id);
        let ranked = ranked(stream.hash(), others, |member| &member.id, count);
        let addressed = ranked.into_iter().filter_map(|member| {
            Some(StreamPeer {
                id: member.id.as_str().into(),
                address: member.address?,
                location: member.location,
            })
        });
        addressed.collect()
    }

    fn apply(&self, notice: &StreamNotice) {
        let now = harrierward_clock::now();
        let from: Arc<str> = notice.from.as_str().into();
        let mut state = self.lock();
        for record in &notice.records {
            let stream = StreamKey::from_hash(record.stream);
            let decoded = decode_record(record, from.clone(), now);
            state.ledger.note(stream, decoded, now);
        }
    }

    fn answer(&self, ask: &StreamAsk) -> StreamAnswer {
        let now = harrierward_clock::now();
        let window = self.window();
        let mut state = self.lock();
        let stream = StreamKey::from_hash(ask.stream);
        let known = state.ledger.get(stream, now);
        let record = known.map(|known| encode_record(stream, known, now));
        let testimony = testimony(&state.history, ask.service, window, now);
        StreamAnswer {
            number: ask.number,
            record,
            versions: testimony.versions.iter().map(|one| one.hash()).collect(),
            is_complete: testimony.is_complete,
            proof_age_ms: self.replicas.proof_age().map_or(u32::MAX, millis_u32),
        }
    }

    fn send(&self, kind: node_datagram::Kind, address: SocketAddr) {
        let datagram = NodeDatagram { kind: Some(kind) };
        if let Some(socket) = self.socket.get() {
            // Loss is tolerated: several peers are notified and asked, and requests are sent again.
            let _ = socket.try_send_to(&encode(&datagram), address);
        }
    }
}

/// Returns the longest timeout of the routes whose streams may be taken up.
fn longest_timeout(routes: &RouteTable) -> Duration {
    let routes = routes.configuration.routes.iter();
    let resumable = routes.filter(|route| route.is_resumable());
    resumable
        .map(|route| route.timeout)
        .max()
        .unwrap_or_default()
}

fn testimony(history: &VersionHistory, service: u32, window: Duration, now: Instant) -> Testimony {
    Testimony {
        versions: history.versions(service, window, now),
        is_complete: history.covers(window, now),
    }
}

fn is_sole(history: &VersionHistory, service: u32, window: Duration, now: Instant) -> bool {
    let testimony = testimony(history, service, window, now);
    testimony.is_complete && testimony.versions.len() == 1
}

fn encode_record(stream: StreamKey, record: &OriginRecord, now: Instant) -> StreamRecord {
    let remaining = record.expires_at.saturating_duration_since(now);
    StreamRecord {
        stream: stream.hash(),
        service: record.origin.service,
        version: record.origin.version.hash(),
        remaining_ms: millis_u32(remaining),
        known_ms: millis_u32(now.saturating_duration_since(record.known_at)),
    }
}

fn decode_record(record: &StreamRecord, from: Arc<str>, now: Instant) -> OriginRecord {
    let lifetime = Duration::from_millis(u64::from(record.remaining_ms)).min(MAX_LIFETIME);
    let known = Duration::from_millis(u64::from(record.known_ms));
    OriginRecord {
        origin: StreamOrigin {
            service: record.service,
            version: SoftwareVersion::from_hash(record.version),
        },
        source: RecordSource::Peer(from),
        known_at: now.checked_sub(known).unwrap_or(now),
        expires_at: now + lifetime,
        is_announced: true,
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn millis_u32(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
