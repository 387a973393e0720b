//! A zone of a whole fleet, and one of twice that size: what the store has to give, and how long a start, a change and the loss of
//! the reader take.
//!
//! What happened: 985 daemons before 10,000 replicas each read all of them for itself, some 3.5 MB a daemon and start, so that the
//! bytes of the store cost a third of all that the fleet earned, and each change was sent 985 times.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_external::{
    ChangePage, CopyProof, PageStart, PlatformError, PlatformErrorKind, Row, RowChange, RowReading,
    SpacePage, WatchedTable,
};
use harrierward_relay::{
    PeerCopies, Relay, RelayPeer, RelayReply, SharedSpace, SourceFailure, SpaceRequest, Watch,
    WatchSettings,
};
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep, timeout};

const SPACE: &str = "replicas";

/// Rows of a page of the store.
const PAGE_ROWS: usize = 500;

/// Bytes of a row between daemons, compressed.
const ROW_BYTES: f64 = 60.0;

/// What a small machine sends in a second.
const LINK_BYTES: f64 = 3_750_000.0;

/// Time within which the members of a fleet that starts know each other.
const MEMBERS_KNOWN: Duration = Duration::from_millis(900);

/// The store: rows, and how many of them it gave out.
struct CountingStore {
    rows: Mutex<Vec<Row>>,
    newest: tokio::sync::watch::Sender<u64>,
    rows_read: AtomicU64,
    calls: AtomicU64,
    is_away: AtomicBool,
    /// Changes up to this revision are forgotten.
    forgotten: AtomicU64,
    /// Reads show the rows as they were at this revision; 0 for as they are.
    stale_at: AtomicU64,
}

impl CountingStore {
    fn new(rows: usize) -> Arc<Self> {
        let row = |number| Row {
            key: format!("{number:06}"),
            value: Bytes::new(),
            revision: 1,
        };
        Arc::new(Self {
            rows: Mutex::new((0..rows).map(row).collect()),
            newest: tokio::sync::watch::Sender::new(1),
            rows_read: AtomicU64::new(0),
            calls: AtomicU64::new(0),
            is_away: AtomicBool::new(false),
            forgotten: AtomicU64::new(0),
            stale_at: AtomicU64::new(0),
        })
    }

    fn change(&self, number: usize) -> u64 {
        let revision = *self.newest.borrow() + 1;
        self.rows.lock().unwrap()[number].revision = revision;
        self.newest.send_replace(revision);
        revision
    }

    async fn call(&self) -> Result<(), PlatformError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        sleep(Duration::from_millis(4)).await;
        if !self.is_away.load(Ordering::Relaxed) {
            return Ok(());
        }
        let kind = PlatformErrorKind::NotDone;
        Err(PlatformError::new("read", "store", kind, "away"))
    }

    fn count(&self, rows: usize) {
        let rows = u64::try_from(rows).unwrap();
        self.rows_read.fetch_add(rows, Ordering::Relaxed);
    }
}

#[async_trait]
impl WatchedTable for CountingStore {
    async fn read_page(&self, _: &str, start: PageStart<'_>) -> Result<SpacePage, PlatformError> {
        self.call().await?;
        let all = self.rows.lock().unwrap();
        let from = start.from.parse().unwrap_or(0);
        let until = (from + start.most_rows.min(PAGE_ROWS)).min(all.len());
        self.count(until - from);
        Ok(SpacePage {
            rows: all[from..until].to_vec(),
            next: (until < all.len()).then(|| until.to_string()),
            revision: match self.stale_at.load(Ordering::Relaxed) {
                0 => *self.newest.borrow(),
                stale => stale,
            },
            ..SpacePage::default()
        })
    }

    async fn read_row(&self, _: &str) -> Result<RowReading, PlatformError> {
        Ok(RowReading::default())
    }

    async fn wait_changes(
        &self,
        _: &str,
        after: u64,
        wait: Duration,
    ) -> Result<ChangePage, PlatformError> {
        self.call().await?;
        if after < self.forgotten.load(Ordering::Relaxed) {
            let kind = PlatformErrorKind::HistoryLost;
            return Err(PlatformError::new("changes", "store", kind, "forgotten"));
        }
        let mut newest = self.newest.subscribe();
        let _ = timeout(wait, newest.wait_for(|newest| *newest > after)).await;
        let all = self.rows.lock().unwrap();
        let changed = all.iter().filter(|row| row.revision > after);
        let changes: Vec<RowChange> = changed
            .map(|row| RowChange {
                key: row.key.clone(),
                revision: row.revision,
                value: Some(row.value.clone()),
            })
            .collect();
        self.count(changes.len());
        Ok(ChangePage {
            changes,
            revision: *self.newest.borrow(),
            ..ChangePage::default()
        })
    }
}

/// A machine: what it holds, and its link, over which one answer goes at a time.
struct Machine {
    space: Arc<SharedSpace>,
    link: Semaphore,
    is_silent: AtomicBool,
    rows_sent: AtomicU64,
}

/// The zone's machines as peers see them.
#[derive(Default)]
struct Network {
    machines: Mutex<HashMap<String, Arc<Machine>>>,
}

#[async_trait]
impl PeerCopies for Network {
    async fn request(&self, peer: &RelayPeer, request: SpaceRequest) -> RelayReply {
        let sent_at = harrierward_clock::now();
        let machine = self.machines.lock().unwrap().get(&peer.id).cloned();
        let Some(machine) = machine else {
            return RelayReply::NotReady;
        };
        sleep(Duration::from_millis(1)).await;
        if machine.is_silent.load(Ordering::Relaxed) {
            sleep(request.hold + Duration::from_millis(400)).await;
            return RelayReply::Failed(SourceFailure::Unresponsive, "silent".to_owned());
        }
        let Some(held) = machine.space.reply(&request).await else {
            return RelayReply::NotReady;
        };
        let reply = held.reply;
        if reply.is_full && request.after > 0 {
            return RelayReply::HistoryLost;
        }
        let rows = reply.changes.len();
        machine
            .rows_sent
            .fetch_add(u64::try_from(rows).unwrap(), Ordering::Relaxed);
        let _turn = machine.link.acquire().await;
        #[allow(clippy::cast_precision_loss)]
        let bytes = rows as f64 * ROW_BYTES;
        sleep(Duration::from_secs_f64(bytes / LINK_BYTES)).await;
        let as_of = (sent_at + held.held).checked_sub(held.proof_age);
        RelayReply::Page(ChangePage {
            changes: reply.changes,
            revision: reply.revision,
            store_time_ms: reply.store_time_ms,
            proof: as_of.map(|as_of| CopyProof {
                as_of,
                digest: reply.digest,
            }),
        })
    }
}

struct Zone {
    store: Arc<CountingStore>,
    network: Arc<Network>,
    relays: Vec<Arc<Relay>>,
    peers: Vec<RelayPeer>,
    began: Instant,
}

impl Zone {
    /// All daemons start at the same moment, and know each other only some time later.
    async fn start(daemons: usize, rows: usize) -> Self {
        let store = CountingStore::new(rows);
        let network = Arc::new(Network::default());
        let peers: Vec<RelayPeer> = (0..daemons)
            .map(|number| RelayPeer {
                id: format!("front-{number}@1"),
                address: String::new(),
            })
            .collect();
        let began = Instant::now();
        let relays = peers.iter().map(|peer| {
            let log = DecisionLog::new(LogBounds::default());
            let relay = Relay::new(
                &peer.id,
                store.clone(),
                network.clone(),
                &[SPACE],
                log.clone(),
            );
            let relay = Arc::new(relay);
            let space = relay.space(SPACE).unwrap().clone();
            let machine = Machine {
                space: space.clone(),
                link: Semaphore::new(1),
                is_silent: AtomicBool::new(false),
                rows_sent: AtomicU64::new(0),
            };
            let mut machines = network.machines.lock().unwrap();
            machines.insert(peer.id.clone(), Arc::new(machine));
            let paced = relay.clone();
            let watch = Watch {
                table: relay.clone(),
                space: SPACE,
                partitions: vec![String::new()],
                settings: WatchSettings::default(),
                pace: Arc::new(move || paced.interval(SPACE).unwrap_or_default()),
                full_read_pace: Arc::new(|_| Duration::from_secs(1_000)),
                log,
            };
            tokio::spawn(watch.run_shared(space, |_| {}));
            relay
        });
        let relays: Vec<Arc<Relay>> = relays.collect();
        let zone = Self {
            store,
            network,
            relays,
            peers,
            began,
        };
        for (number, relay) in zone.relays.iter().enumerate() {
            relay.set_members(&zone.peers[number / 2..number / 2 + 10], 5 * 10);
        }
        sleep(MEMBERS_KNOWN).await;
        zone.know(&zone.peers);
        zone
    }

    fn know(&self, members: &[RelayPeer]) {
        for relay in &self.relays {
            relay.set_members(members, 5 * members.len());
        }
    }

    fn machine(&self, id: &str) -> Arc<Machine> {
        self.network.machines.lock().unwrap()[id].clone()
    }

    fn revisions(&self) -> impl Iterator<Item = u64> {
        let spaces = self.relays.iter().map(|relay| relay.space(SPACE).unwrap());
        spaces.map(|space| {
            let copy = space.copy();
            copy.as_of().map_or(0, |_| copy.revision())
        })
    }

    /// Time until all daemons but those that are silent hold a revision.
    async fn until_all_hold(&self, revision: u64, silent: usize) -> Duration {
        let began = Instant::now();
        loop {
            let behind = self.revisions().filter(|held| *held < revision).count();
            if behind <= silent {
                return began.elapsed();
            }
            assert!(began.elapsed() < Duration::from_secs(60), "{behind} behind");
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Age of the oldest proof of a daemon that is not silent.
    fn oldest_proof(&self) -> Duration {
        let heard = self
            .peers
            .iter()
            .zip(&self.relays)
            .filter(|(peer, _)| !self.machine(&peer.id).is_silent.load(Ordering::Relaxed));
        let ages = heard.map(|(_, relay)| {
            let as_of = relay.space(SPACE).unwrap().copy().as_of();
            as_of.map_or(Duration::MAX, harrierward_clock::age)
        });
        ages.max().unwrap_or_default()
    }

    /// The daemon that reads the store for the others.
    fn reader(&self) -> &RelayPeer {
        let sent = |peer: &&RelayPeer| self.machine(&peer.id).rows_sent.load(Ordering::Relaxed);
        let follows = |relay: &Arc<Relay>| relay.is_follower(SPACE);
        let all = self.peers.iter().zip(&self.relays);
        let readers = all
            .filter(|(_, relay)| !follows(relay))
            .map(|(peer, _)| peer);
        readers.max_by_key(sent).expect("a reader")
    }
}

/// Time within which daemons are to serve again that were all killed at once.
const RECOVERY: Duration = Duration::from_secs(18);

/// Daemons of a zone and replicas of a fleet: today's, and twice that.
const SIZES: [(usize, usize); 2] = [(200, 10_000), (400, 20_000)];

#[tokio::test(start_paused = true)]
async fn a_zone_that_starts_reads_the_store_once() {
    for ((daemons, rows), within) in SIZES.into_iter().zip([RECOVERY / 2, RECOVERY]) {
        let zone = Zone::start(daemons, rows).await;
        zone.until_all_hold(1, 0).await;
        let took = zone.began.elapsed();
        assert!(took < within, "{took:?} with {daemons}");
        // A look of each at the size of the space, and the space once.
        let looks = 128 * daemons;
        let read = zone.store.rows_read.load(Ordering::Relaxed);
        let most = u64::try_from(rows + looks).unwrap();
        assert!(read <= most, "{read} rows with {daemons} daemons");
        let busiest = zone.peers.iter().map(|peer| {
            let sent = zone.machine(&peer.id).rows_sent.load(Ordering::Relaxed);
            usize::try_from(sent).unwrap()
        });
        assert!(busiest.max().unwrap() <= 8 * rows);
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_is_known_to_all_soon_and_read_once() {
    for (daemons, rows) in SIZES {
        let zone = Zone::start(daemons, rows).await;
        zone.until_all_hold(1, 0).await;
        sleep(Duration::from_secs(2)).await;
        let read_before = zone.store.rows_read.load(Ordering::Relaxed);
        let calls_before = zone.store.calls.load(Ordering::Relaxed);
        for number in 0..20 {
            let revision = zone.store.change(number);
            let took = zone.until_all_hold(revision, 0).await;
            assert!(took < Duration::from_millis(1_250), "{took:?}");
            assert!(zone.oldest_proof() < Duration::from_millis(2_500));
        }
        let read = zone.store.rows_read.load(Ordering::Relaxed) - read_before;
        assert!(read <= 25, "{read} rows for 20 changes");
        let calls = zone.store.calls.load(Ordering::Relaxed) - calls_before;
        assert!(calls <= 60, "{calls} calls of {daemons} daemons");
    }
}

/// The reader, and a daemon that many follow, fall silent: changes come to all others all the same, and their proofs stay young.
#[tokio::test(start_paused = true)]
async fn a_reader_that_falls_silent_is_passed_over() {
    let (daemons, rows) = SIZES[0];
    let zone = Zone::start(daemons, rows).await;
    zone.until_all_hold(1, 0).await;
    sleep(Duration::from_secs(2)).await;
    let reader = zone.reader().clone();
    let relay = zone.peers.iter().find(|peer| {
        **peer != reader && zone.machine(&peer.id).rows_sent.load(Ordering::Relaxed) > 0
    });
    for silent in [&reader, relay.unwrap()] {
        let machine = zone.machine(&silent.id);
        machine.is_silent.store(true, Ordering::Relaxed);
    }
    let read_before = zone.store.rows_read.load(Ordering::Relaxed);
    for number in 0..30 {
        zone.store.change(number);
        sleep(Duration::from_millis(200)).await;
        let oldest = zone.oldest_proof();
        assert!(oldest < Duration::from_millis(4_500), "{oldest:?}");
    }
    let revision = zone.store.change(40);
    // The silent ones still hear of the store themselves, or of those whom they follow.
    let took = zone.until_all_hold(revision, 2).await;
    assert!(took < Duration::from_millis(2_500), "{took:?}");
    let read = zone.store.rows_read.load(Ordering::Relaxed) - read_before;
    assert!(read < 31 * 20, "{read} rows for 31 changes");
}

/// Old rows are not taken for new ones: where the store is away, every daemon knows how old its rows are.
#[tokio::test(start_paused = true)]
async fn nobody_takes_what_it_is_told_for_younger_than_the_store_said() {
    let (daemons, rows) = SIZES[0];
    let zone = Zone::start(daemons, rows).await;
    zone.until_all_hold(1, 0).await;
    sleep(Duration::from_secs(2)).await;
    let away_since = Instant::now();
    zone.store.is_away.store(true, Ordering::Relaxed);
    sleep(Duration::from_secs(8)).await;
    for relay in &zone.relays {
        let as_of = relay.space(SPACE).unwrap().copy().as_of().expect("read");
        // A question that the store had let in before is answered at its end.
        assert!(as_of <= away_since + Duration::from_millis(10));
    }
    zone.store.is_away.store(false, Ordering::Relaxed);
    let revision = zone.store.change(0);
    let took = zone.until_all_hold(revision, 0).await;
    assert!(took < Duration::from_millis(2_500), "{took:?}");
}

/// A zone that shrinks goes back to the store, and comes back to its tree when it has grown: nothing is read whole for that.
#[tokio::test(start_paused = true)]
async fn the_way_changes_with_the_zone_in_both_directions() {
    let (daemons, rows) = (60, 2_000);
    let zone = Zone::start(daemons, rows).await;
    zone.until_all_hold(1, 0).await;
    let followers = |zone: &Zone| {
        let all = zone.relays.iter();
        all.filter(|relay| relay.is_follower(SPACE)).count()
    };
    assert_eq!(followers(&zone), daemons - 1);
    let read_before = zone.store.rows_read.load(Ordering::Relaxed);
    zone.know(&zone.peers[..20]);
    let revision = zone.store.change(1);
    zone.until_all_hold(revision, 0).await;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(followers(&zone), 0);
    zone.know(&zone.peers);
    sleep(Duration::from_secs(3)).await;
    assert_eq!(followers(&zone), daemons - 1);
    let read = zone.store.rows_read.load(Ordering::Relaxed) - read_before;
    assert!(
        read <= 100,
        "{read} rows for a change and two changes of the way"
    );
}

/// The store forgets its history and shows old rows for some seconds: the reader looks at one page at a time, nobody else reads at all,
/// and all know the newest rows soon after its end.
#[tokio::test(start_paused = true)]
async fn a_forgotten_history_is_the_readers_to_make_good() {
    let (daemons, rows) = SIZES[0];
    let zone = Zone::start(daemons, rows).await;
    zone.until_all_hold(1, 0).await;
    sleep(Duration::from_secs(2)).await;
    let read_before = zone.store.rows_read.load(Ordering::Relaxed);
    zone.store.stale_at.store(1, Ordering::Relaxed);
    let mut newest = 0;
    for number in 0..10 {
        newest = zone.store.change(number);
        sleep(Duration::from_millis(100)).await;
    }
    zone.store.forgotten.store(newest + 5, Ordering::Relaxed);
    zone.store.newest.send_replace(newest + 6);
    sleep(Duration::from_secs(6)).await;
    let read = zone.store.rows_read.load(Ordering::Relaxed) - read_before;
    // The same as two whole reads, whatever the number of daemons.
    let most = u64::try_from(2 * rows).unwrap();
    assert!(read <= most, "{read} rows while they were old");
    zone.store.stale_at.store(0, Ordering::Relaxed);
    let took = zone.until_all_hold(newest + 6, 0).await;
    assert!(took < Duration::from_millis(2_500), "{took:?}");
    let read = zone.store.rows_read.load(Ordering::Relaxed) - read_before;
    assert!(read <= 2 * most, "{read} rows for a forgotten history");
}
