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
use harrierward_serving::{Location, ReplicaSet, RouteKind, SharedRoutes, short_hash};
use harrierward_stream_origins::{
    OriginLedger, OriginRecord, OriginSet, RecordSource, SoftwareVersion, StoredOrigin, StreamKey,
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

/// Versions that are sent for all: builds before level 9 conclude nothing from several.
const ANY_VERSIONS: [u64; 2] = [0, 1];

/// Time for which a record is kept, if there is room. A stream without one is refused, unless only one version has ever
/// served.
const RETENTION: Duration = Duration::from_secs(600);

/// Time between two checks of the same rows by one daemon, for each daemon of the fleet: all together send 250 a second at
/// most, which one partition of the store takes.
const CHECK_INTERVAL_PER_DAEMON_MS: u64 = 4;

/// Age of the streams that are recorded elsewhere when a service ends to be the only origin: older ones have mostly ended.
const ANNOUNCED_AGE: Duration = Duration::from_secs(60);

/// Time between two comparisons of the services of routes with those that the store holds. A stream that begins at one
/// which it lacks has it stored at once.
const ROUTE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Age of the last contact with the store from which this daemon's streams are recorded at peers, whatever served so far:
/// a stream can't be proven to be of the only version without the store.
const MAX_CONTACT_AGE: Duration = Duration::from_secs(4);

/// Versions of services and services of hosts that are in use.
type OriginsInUse = BTreeMap<Subject, Vec<u64>>;

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
    /// When the services of routes were compared with the store's last.
    routes_checked_at: Option<Instant>,
}

/// The store's rows on streams.
struct StreamStore {
    origins: Arc<OriginSets>,
    records: Arc<StreamRecords>,
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
            origins: Arc::new(OriginSets::new(
                store.table.clone(),
                store.watched,
                log.clone(),
            )),
            records: Arc::new(StreamRecords::new(
                instance_id.clone(),
                store.table,
                log.clone(),
            )),
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
            // Replies to an earlier instance at this address don't answer its calls.
            next_call: AtomicU32::new(rand::random()),
            log,
            state: Mutex::new(State {
                ledger: OriginLedger::default(),
                sole: HashSet::new(),
                contact_at: None,
                routes_checked_at: None,
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
        let daemons = u64::try_from(members.len()).unwrap_or(u64::MAX);
        let interval_ms = daemons.saturating_mul(CHECK_INTERVAL_PER_DAEMON_MS);
        self.store.origins.set_check_interval(interval_ms);
        self.members.store(Arc::new(members));
    }

    /// Learns that the row with this key is gone, from the watch of the store, as of this revision of the table.
    pub fn origin_set_removed(&self, key: &str, as_of: u64) {
        self.store.origins.removed(key, as_of);
    }

    /// Learns a row that holds where streams may have begun, from the watch of the store, as of this revision of the table.
    pub fn apply_origin_set(&self, row: &Row, as_of: u64) {
        self.store.origins.apply(row, as_of);
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
        let contact_age = state.contact_at.map(harrierward_clock::age);
        let is_in_contact = contact_age.is_some_and(|age| age <= MAX_CONTACT_AGE);
        let sole = if is_in_contact {
            self.sole_services()
        } else {
            HashSet::new()
        };
        let before = std::mem::replace(&mut state.sole, sole);
        let ended: Vec<u32> = before.difference(&state.sole).copied().collect();
        let since = now.checked_sub(ANNOUNCED_AGE).unwrap_or(now);
        let ended = ended.into_iter().map(|service| {
            let streams = state.ledger.take_unannounced(service, since);
            (service, streams)
        });
        let ended: Vec<_> = ended.collect();
        drop(state);
        for (service, streams) in ended {
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

    /// Schedules origins in use that the store lacks to be stored. Routes are compared now and then only.
    fn check_origins(&self) {
        let now = harrierward_clock::now();
        let with_routes = {
            let mut state = self.lock();
            // Before the rows have been read, most of them only seem to be missing.
            if state.contact_at.is_none() {
                return;
            }
            let is_due = state
                .routes_checked_at
                .is_none_or(|at| now.saturating_duration_since(at) >= ROUTE_CHECK_INTERVAL);
            if is_due {
                state.routes_checked_at = Some(now);
            }
            is_due
        };
        let are_missing = self.are_missing(self.listed_versions())
            || (with_routes && self.are_missing(self.routed_services()));
        if are_missing {
            self.origin_due.notify_one();
        }
    }

    fn are_missing(&self, used: OriginsInUse) -> bool {
        let mut used = used.iter();
        used.any(|(subject, members)| self.store.origins.lacks(*subject, members))
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

    /// Returns the listed versions and the services of routes that the store doesn't hold, as far as this daemon knows.
    fn missing_origins(&self) -> OriginsInUse {
        let mut missing = self.listed_versions();
        missing.extend(self.routed_services());
        missing.retain(|subject, members| self.store.origins.lacks(*subject, members));
        missing
    }

    /// Returns the versions of each service's replicas.
    fn listed_versions(&self) -> OriginsInUse {
        let view = self.replicas.view();
        let services = view.services().map(|service| {
            let versions = view.versions(service).iter().map(|version| version.hash());
            (Subject::Service(short_hash(service)), versions.collect())
        });
        services.collect()
    }

    /// Returns the services to which each host's routes with streams lead.
    fn routed_services(&self) -> OriginsInUse {
        let mut used = OriginsInUse::new();
        let routes = self.routes.load();
        let routes = routes.iter().flat_map(|table| &table.configuration.routes);
        // A route whose streams can't be taken up yet may change that and its service at once.
        for route in routes.filter(|route| matches!(route.kind, RouteKind::Stream { .. })) {
            let services = route.services.iter();
            let services = services.map(|one| u64::from(short_hash(&one.service)));
            let host = Subject::Host(hash_of_host(&route.host));
            used.entry(host).or_default().extend(services);
        }
        used
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

    /// Records a stream of this daemon: elsewhere too, and in the store at once, unless each daemon can conclude where it
    /// began; then in the store after a while.
    fn note_own(&self, stream: StreamKey, host: u32, origin: StreamOrigin) {
        let now = harrierward_clock::now();
        let mut state = self.lock();
        let is_announced = !self.is_sole_origin(&state, host, origin);
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
        } else {
            self.store.records.defer([StoredOrigin { stream, origin }]);
        }
    }

    /// True if each daemon in contact with the store can conclude that a stream began at this origin.
    fn is_sole_origin(&self, state: &State, host: u32, origin: StreamOrigin) -> bool {
        let services = self.store.origins.known(Subject::Host(host));
        let versions = self.store.origins.known(Subject::Service(origin.service));
        state.sole.contains(&origin.service)
            && services.stored.contains(u64::from(origin.service))
            && versions.stored.contains(origin.version.hash())
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
        StreamAnswer {
            number: ask.number,
            record,
            versions: self.refuting_versions(ask.service),
            ..StreamAnswer::default()
        }
    }

    /// Returns the versions by which builds before level 9 see that a version isn't the only one.
    fn refuting_versions(&self, service: u32) -> Vec<u64> {
        let mut versions = self
            .store
            .origins
            .known(Subject::Service(service))
            .seen
            .clone();
        let listed = self.listed_versions();
        let listed = listed.get(&Subject::Service(service)).into_iter().flatten();
        versions.merge(&OriginSet::of(listed.copied()));
        if versions.is_any() {
            return ANY_VERSIONS.to_vec();
        }
        versions.iter().collect()
    }

    fn send(&self, kind: node_datagram::Kind, address: SocketAddr) {
        let datagram = NodeDatagram { kind: Some(kind) };
        if let Some(socket) = self.socket.get() {
            // Loss is tolerated: several peers are notified and asked, and requests are sent again.
            let _ = socket.try_send_to(&encode(&datagram), address);
        }
    }
}

/// Returns the hash of a host's name, which has no case.
fn hash_of_host(host: &str) -> u32 {
    short_hash(&host.to_ascii_lowercase())
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
