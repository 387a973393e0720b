//! Where streams began: remembers it for this daemon's streams, notifies peers and stores it unless only one software
//! version can have begun them, and asks both when a caller takes a stream up.

mod origin_sets;
mod records;
mod requests;
mod tasks;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use harrierward_decisions::{DecisionLog, Record};
use harrierward_external::{Row, Table, WatchedTable};
use harrierward_serving::{Location, ReplicaSet, SharedRoutes, short_hash};
use harrierward_stream_origins::{
    OriginLedger, OriginRecord, RecordSource, SoftwareVersion, StoredOrigin, StreamKey,
    StreamOrigin,
};
use harrierward_wire::{
    NodeDatagram, StreamAnswer, StreamAsk, StreamNotice, StreamRecord, encode, node_datagram,
};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::calls::DatagramCalls;
use crate::rendezvous::ranked;
use crate::slots::CoordinatorCandidate;

use origin_sets::{OriginSets, Subject};
use records::StreamRecords;

/// Peers that are notified of a stream: it stays known when its daemon and two of them end at once.
const NOTIFIED_PEERS: usize = 3;

/// Records in one datagram; some 1 kB.
const MAX_RECORDS_PER_NOTICE: usize = 32;

/// Time for which a record is kept, if there is room. A stream without one is refused, unless only one version has ever
/// served.
const RETENTION: Duration = Duration::from_secs(600);

/// Time between two comparisons of the origins in use with those that the store holds. A stream that begins at one which
/// it lacks has it stored at once.
const ORIGIN_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Age of the last contact with the store from which this daemon's streams are recorded at peers, whatever served so far:
/// a stream can't be proven to be of the only version without the store.
const MAX_CONTACT_AGE: Duration = Duration::from_secs(4);

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
    /// Services at the last tick that have had one version only, under hosts without another service, as far as this
    /// daemon knew.
    sole: HashSet<u32>,
    /// Last moment of which the store's changes are known.
    contact_at: Option<Instant>,
    /// When origins in use were compared with the store's last.
    origins_checked_at: Option<Instant>,
}

/// The store's rows on streams.
struct StreamStore {
    origins: OriginSets,
    records: StreamRecords,
    /// Writes per second that the store sustains from all daemons together.
    writes_per_second: f64,
}

/// Origins of streams, as one daemon knows them.
pub struct StreamService {
    instance_id: Arc<str>,
    location: Location,
    replicas: Arc<ReplicaSet>,
    routes: SharedRoutes,
    store: StreamStore,
    members: ArcSwap<Vec<CoordinatorCandidate>>,
    socket: OnceLock<Arc<UdpSocket>>,
    calls: DatagramCalls<StreamAnswer>,
    next_call: AtomicU32,
    log: DecisionLog,
    state: Mutex<State>,
    /// Signals that an origin in use isn't stored.
    origin_due: Notify,
    /// When an origin could not be stored last.
    store_failed_at: ArcSwapOption<Instant>,
}

/// The store as [`StreamService`] uses it.
pub struct StreamStoreParts {
    /// Rows.
    pub table: Arc<dyn Table>,
    /// Checks of rows.
    pub watched: Arc<dyn WatchedTable>,
    /// Writes per second that the store sustains from all daemons together.
    pub writes_per_second: f64,
}

impl StreamService {
    /// Starts without records and with this daemon as the only member.
    pub fn new(
        instance_id: &str,
        location: Location,
        replicas: Arc<ReplicaSet>,
        routes: SharedRoutes,
        store: StreamStoreParts,
        log: DecisionLog,
    ) -> Self {
        let instance_id: Arc<str> = instance_id.into();
        let store = StreamStore {
            origins: OriginSets::new(store.table.clone(), store.watched, log.clone()),
            records: StreamRecords::new(instance_id.clone(), store.table, log.clone()),
            writes_per_second: store.writes_per_second,
        };
        Self {
            instance_id,
            location,
            replicas,
            routes,
            store,
            members: ArcSwap::default(),
            socket: OnceLock::new(),
            calls: DatagramCalls::default(),
            next_call: AtomicU32::new(1),
            log,
            state: Mutex::new(State {
                ledger: OriginLedger::default(),
                sole: HashSet::new(),
                contact_at: None,
                origins_checked_at: None,
            }),
            origin_due: Notify::new(),
            store_failed_at: ArcSwapOption::empty(),
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

    /// Learns a row that holds where streams may have begun, from the watch of the store.
    pub fn apply_origin_set(&self, row: &Row) {
        self.store.origins.apply(row);
    }

    /// Records that the store's changes up to this moment are known.
    pub fn note_store_contact(&self, as_of: Instant) {
        let mut state = self.lock();
        state.contact_at = state.contact_at.max(Some(as_of));
    }

    /// Records this daemon's streams elsewhere at services that are no longer the only origin for sure, and schedules
    /// origins in use to be stored; called at each tick of the membership.
    pub fn tick(&self) {
        self.check_origins();
        let now = harrierward_clock::now();
        let mut state = self.lock();
        let state = &mut *state;
        let contact_age = state.contact_at.map(harrierward_clock::age);
        let is_in_contact = contact_age.is_some_and(|age| age <= MAX_CONTACT_AGE);
        let sole = if is_in_contact {
            self.sole_services()
        } else {
            HashSet::new()
        };
        let before = std::mem::replace(&mut state.sole, sole);
        let ended: Vec<u32> = before.difference(&state.sole).copied().collect();
        for service in ended {
            let streams = state.ledger.take_unannounced(service, now);
            let known = self.store.origins.known(Subject::Service(service));
            self.log.record(&Record::VersionsMixed {
                service: &self.service_name(service),
                versions: known.seen.len(),
                contact_age_ms: contact_age.map(millis),
                streams: streams.len(),
            });
            self.announce(&streams, now);
        }
    }

    /// Schedules origins in use that the store lacks to be stored, now and then.
    fn check_origins(&self) {
        let now = harrierward_clock::now();
        {
            let mut state = self.lock();
            let is_due = state
                .origins_checked_at
                .is_none_or(|at| now.saturating_duration_since(at) >= ORIGIN_CHECK_INTERVAL);
            // Before the rows have been read, most of them only seem to be missing.
            if state.contact_at.is_none() || !is_due {
                return;
            }
            state.origins_checked_at = Some(now);
        }
        if !self.missing_origins().is_empty() {
            self.origin_due.notify_one();
        }
    }

    /// Returns the services with one version only, under hosts with one service only.
    fn sole_services(&self) -> HashSet<u32> {
        let view = self.replicas.view();
        let beside_others = self.store.origins.services_beside_others();
        let services = view.services().map(short_hash);
        let sole = services.filter(|service| {
            let versions = self.store.origins.known(Subject::Service(*service));
            versions.seen.sole().is_some() && !beside_others.contains(u64::from(*service))
        });
        sole.collect()
    }

    /// Returns the listed versions and the configured services that the store doesn't hold, as far as this daemon knows.
    fn missing_origins(&self) -> Vec<(Subject, Vec<u64>)> {
        let mut used: BTreeMap<Subject, Vec<u64>> = BTreeMap::new();
        let view = self.replicas.view();
        for service in view.services() {
            let versions = view.versions(service).iter().map(|version| version.hash());
            used.insert(Subject::Service(short_hash(service)), versions.collect());
        }
        let routes = self.routes.load();
        let routes = routes.iter().flat_map(|table| &table.configuration.routes);
        for route in routes.filter(|route| route.is_resumable()) {
            let services = route.services.iter();
            let services = services.map(|one| u64::from(short_hash(&one.service)));
            let host = Subject::Host(short_hash(&route.host));
            used.entry(host).or_default().extend(services);
        }
        let missing = used
            .into_iter()
            .filter(|(subject, members)| self.store.origins.lacks(*subject, members));
        missing.collect()
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

    fn service_name(&self, service: u32) -> String {
        let view = self.replicas.view();
        let named = view.service_by_hash(service);
        named.map_or_else(String::new, |(name, _)| name.to_owned())
    }

    /// Records a stream of this daemon, also elsewhere unless each daemon can conclude where it began.
    fn note_own(&self, stream: StreamKey, origin: StreamOrigin) {
        let now = harrierward_clock::now();
        let mut state = self.lock();
        let is_announced = !state.sole.contains(&origin.service);
        let record = OriginRecord {
            origin,
            source: RecordSource::Own,
            known_at: now,
            expires_at: now + RETENTION,
            is_announced,
        };
        state.ledger.note(stream, record.clone(), now);
        drop(state);
        if is_announced {
            self.announce(&[(stream, record)], now);
        }
    }

    /// Notifies the peers that are asked first of each of these streams, and schedules the streams to be stored.
    fn announce(&self, streams: &[(StreamKey, OriginRecord)], now: Instant) {
        let stored = streams.iter().map(|(stream, record)| StoredOrigin {
            stream: *stream,
            origin: record.origin,
        });
        self.store.records.add(stored);
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
        let mut state = self.lock();
        let stream = StreamKey::from_hash(ask.stream);
        let known = state.ledger.get(stream, now);
        let record = known.map(|known| encode_record(stream, known, now));
        let versions = self.store.origins.known(Subject::Service(ask.service));
        StreamAnswer {
            number: ask.number,
            record,
            versions: versions.seen.iter().collect(),
            ..StreamAnswer::default()
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
    let lifetime = Duration::from_millis(u64::from(record.remaining_ms)).min(RETENTION);
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
