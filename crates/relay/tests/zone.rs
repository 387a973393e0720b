//! Guards against zones whose store traffic grows with the number of daemons, and against slow or stale relayed copies.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_external::{
    ChangePage, FreshnessProof, PageStart, PlatformError, PlatformErrorKind, Row, RowChange,
    RowRead, SpacePage, WatchedTable,
};
use harrierward_relay::{
    PeerCopies, Relay, RelayPeer, RelayReply, SharedSpace, SourceFailure, SpacePublisher,
    SpaceRequest, Watch, WatchSettings,
};
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep, sleep_until};

const SPACE: &str = "replicas";

/// Maximum number of rows per page of the store.
const PAGE_ROWS: usize = 500;

/// Compressed size of a relayed row.
const ROW_BYTES: f64 = 60.0;

/// Bandwidth of a machine's link in bytes per second.
const LINK_BYTES: f64 = 3_750_000.0;

/// Time from the start until all members know each other.
const MEMBERS_KNOWN: Duration = Duration::from_millis(900);

/// A store that counts its calls and the rows read.
struct CountingStore {
    rows: Mutex<Vec<Row>>,
    newest: tokio::sync::watch::Sender<u64>,
    rows_read: AtomicU64,
    calls: AtomicU64,
    is_unavailable: AtomicBool,
    /// The history is lost up to this revision.
    lost_up_to: AtomicU64,
    /// Revision reported by stale full reads; 0 for current reads.
    stale_at: AtomicU64,
    /// Feeds are held beyond their time while it is set, and fail then.
    are_feeds_silent: tokio::sync::watch::Sender<bool>,
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
            is_unavailable: AtomicBool::new(false),
            lost_up_to: AtomicU64::new(0),
            stale_at: AtomicU64::new(0),
            are_feeds_silent: tokio::sync::watch::Sender::new(false),
        })
    }

    /// Waits until there is a change after `after`, or until the time is over. Fails at the end of a silence that begins
    /// before.
    async fn hold(&self, after: u64, until: Instant) -> Result<(), PlatformError> {
        let mut silent = self.are_feeds_silent.subscribe();
        let mut newest = self.newest.subscribe();
        let is_silent = tokio::select! {
            biased;
            _ = silent.wait_for(|silent| *silent) => true,
            _ = newest.wait_for(|newest| *newest > after) => false,
            () = sleep_until(until) => false,
        };
        if !is_silent {
            return Ok(());
        }
        let _ = silent.wait_for(|silent| !*silent).await;
        let kind = PlatformErrorKind::Unknown;
        Err(PlatformError::new("changes", "store", kind, "answer lost"))
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
        if !self.is_unavailable.load(Ordering::Relaxed) {
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
        let until = (from + start.max_rows.min(PAGE_ROWS)).min(all.len());
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

    async fn read_row(&self, _: &str) -> Result<RowRead, PlatformError> {
        Ok(RowRead::default())
    }

    async fn wait_changes(
        &self,
        _: &str,
        after: u64,
        wait: Duration,
    ) -> Result<ChangePage, PlatformError> {
        self.call().await?;
        if after < self.lost_up_to.load(Ordering::Relaxed) {
            let kind = PlatformErrorKind::HistoryLost;
            return Err(PlatformError::new("changes", "store", kind, "forgotten"));
        }
        self.hold(after, Instant::now() + wait).await?;
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

/// One daemon's path to the store.
struct StorePath {
    store: Arc<CountingStore>,
    is_cut: Arc<AtomicBool>,
}

/// Time after which a call over a path that is cut fails, beyond the time for which a feed is held.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);

impl StorePath {
    async fn pass(&self, wait: Duration) -> Result<(), PlatformError> {
        if !self.is_cut.load(Ordering::Relaxed) {
            return Ok(());
        }
        sleep(wait + CALL_TIMEOUT).await;
        let kind = PlatformErrorKind::Unknown;
        Err(PlatformError::new("call", "store", kind, "no answer"))
    }
}

#[async_trait]
impl WatchedTable for StorePath {
    async fn read_page(
        &self,
        space: &str,
        start: PageStart<'_>,
    ) -> Result<SpacePage, PlatformError> {
        self.pass(Duration::ZERO).await?;
        self.store.read_page(space, start).await
    }

    async fn read_row(&self, key: &str) -> Result<RowRead, PlatformError> {
        self.store.read_row(key).await
    }

    async fn wait_changes(
        &self,
        space: &str,
        after: u64,
        wait: Duration,
    ) -> Result<ChangePage, PlatformError> {
        self.pass(wait).await?;
        let page = self.store.wait_changes(space, after, wait).await;
        // A response is lost as well if the path is cut while the store holds the request.
        self.pass(Duration::ZERO).await?;
        page
    }
}

/// A daemon's copy, and its link, which transfers one reply at a time.
struct Machine {
    space: Arc<SharedSpace>,
    link: Semaphore,
    is_unresponsive: AtomicBool,
    rows_sent: AtomicU64,
    has_lost_store: Arc<AtomicBool>,
}

/// Simulated transport between the zone's daemons.
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
        if machine.is_unresponsive.load(Ordering::Relaxed) {
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
        let _permit = machine.link.acquire().await;
        #[allow(clippy::cast_precision_loss)]
        let bytes = rows as f64 * ROW_BYTES;
        sleep(Duration::from_secs_f64(bytes / LINK_BYTES)).await;
        let as_of = (sent_at + held.held).checked_sub(held.proof_age);
        RelayReply::Page(ChangePage {
            changes: reply.changes,
            revision: reply.revision,
            store_time_ms: reply.store_time_ms,
            proof: as_of.map(|as_of| FreshnessProof {
                peer: peer.id.as_str().into(),
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
    started_at: Instant,
}

impl Zone {
    /// Starts all daemons at once; they know all members only after [`MEMBERS_KNOWN`].
    async fn start(daemons: usize, rows: usize) -> Self {
        let store = CountingStore::new(rows);
        let network = Arc::new(Network::default());
        let peers: Vec<RelayPeer> = (0..daemons)
            .map(|number| RelayPeer {
                id: format!("front-{number}@1"),
                address: String::new(),
            })
            .collect();
        let started_at = Instant::now();
        let relays = peers.iter().map(|peer| {
            let log = DecisionLog::new(LogBounds::default());
            let has_lost_store = Arc::new(AtomicBool::new(false));
            let path = StorePath {
                store: store.clone(),
                is_cut: has_lost_store.clone(),
            };
            let relay = Relay::new(
                &peer.id,
                Arc::new(path),
                network.clone(),
                &[SPACE],
                log.clone(),
            );
            let relay = Arc::new(relay);
            let space = relay.space(SPACE).unwrap().clone();
            let machine = Machine {
                space: space.clone(),
                link: Semaphore::new(1),
                is_unresponsive: AtomicBool::new(false),
                rows_sent: AtomicU64::new(0),
                has_lost_store,
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
                first_read_check: None,
                log,
            };
            let publisher = SpacePublisher::new(space, |_| {});
            tokio::spawn(watch.run_shared(Arc::new(publisher)));
            relay
        });
        let relays: Vec<Arc<Relay>> = relays.collect();
        let zone = Self {
            store,
            network,
            relays,
            peers,
            started_at,
        };
        for (number, relay) in zone.relays.iter().enumerate() {
            relay.set_members(&zone.peers[number / 2..number / 2 + 10], 5 * 10);
        }
        sleep(MEMBERS_KNOWN).await;
        zone.set_members(&zone.peers);
        zone
    }

    fn set_members(&self, members: &[RelayPeer]) {
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

    /// Waits until at most `unresponsive` daemons lack a revision, and returns the time it took.
    async fn wait_until_all_hold(&self, revision: u64, unresponsive: usize) -> Duration {
        let started_at = Instant::now();
        loop {
            let behind = self.revisions().filter(|held| *held < revision).count();
            if behind <= unresponsive {
                return started_at.elapsed();
            }
            assert!(
                started_at.elapsed() < Duration::from_secs(60),
                "{behind} behind"
            );
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Returns the maximum age of the proofs of all responsive daemons.
    fn oldest_proof(&self) -> Duration {
        let responsive = self.peers.iter().zip(&self.relays).filter(|(peer, _)| {
            !self
                .machine(&peer.id)
                .is_unresponsive
                .load(Ordering::Relaxed)
        });
        let ages = responsive.map(|(_, relay)| {
            let as_of = relay.space(SPACE).unwrap().copy().as_of();
            as_of.map_or(Duration::MAX, harrierward_clock::age)
        });
        ages.max().unwrap_or_default()
    }

    /// Returns the daemon that reads the store for the others.
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

/// Recovery time objective after a crash of all daemons.
const RECOVERY: Duration = Duration::from_secs(18);

/// Pairs of the number of daemons in a zone and of replicas in the fleet.
const SIZES: [(usize, usize); 2] = [(200, 10_000), (400, 20_000)];

#[tokio::test(start_paused = true)]
async fn a_zone_that_starts_reads_the_store_once() {
    for ((daemons, rows), max_elapsed) in SIZES.into_iter().zip([RECOVERY / 2, RECOVERY]) {
        let zone = Zone::start(daemons, rows).await;
        zone.wait_until_all_hold(1, 0).await;
        let elapsed = zone.started_at.elapsed();
        assert!(elapsed < max_elapsed, "{elapsed:?} with {daemons}");
        // Each daemon reads one short page to learn the space's size; the full space is read once.
        let first_page_rows = 128 * daemons;
        let read = zone.store.rows_read.load(Ordering::Relaxed);
        let max_rows = u64::try_from(rows + first_page_rows).unwrap();
        assert!(read <= max_rows, "{read} rows with {daemons} daemons");
        let busiest = zone.peers.iter().map(|peer| {
            let sent = zone.machine(&peer.id).rows_sent.load(Ordering::Relaxed);
            usize::try_from(sent).unwrap()
        });
        assert!(busiest.max().unwrap() <= 8 * rows);
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_reaches_all_soon_and_is_read_once() {
    for (daemons, rows) in SIZES {
        let zone = Zone::start(daemons, rows).await;
        zone.wait_until_all_hold(1, 0).await;
        sleep(Duration::from_secs(2)).await;
        let read_before = zone.store.rows_read.load(Ordering::Relaxed);
        let calls_before = zone.store.calls.load(Ordering::Relaxed);
        for number in 0..20 {
            let revision = zone.store.change(number);
            let elapsed = zone.wait_until_all_hold(revision, 0).await;
            assert!(elapsed < Duration::from_millis(1_250), "{elapsed:?}");
            assert!(zone.oldest_proof() < Duration::from_millis(2_500));
        }
        let read = zone.store.rows_read.load(Ordering::Relaxed) - read_before;
        assert!(read <= 25, "{read} rows for 20 changes");
        let calls = zone.store.calls.load(Ordering::Relaxed) - calls_before;
        assert!(calls <= 60, "{calls} calls of {daemons} daemons");
    }
}

/// Changes and recent proofs must reach all others although the reader and a relaying daemon are unresponsive.
#[tokio::test(start_paused = true)]
async fn an_unresponsive_reader_is_skipped() {
    let (daemons, rows) = SIZES[0];
    let zone = Zone::start(daemons, rows).await;
    zone.wait_until_all_hold(1, 0).await;
    sleep(Duration::from_secs(2)).await;
    let reader = zone.reader().clone();
    let relay = zone.peers.iter().find(|peer| {
        **peer != reader && zone.machine(&peer.id).rows_sent.load(Ordering::Relaxed) > 0
    });
    for unresponsive in [&reader, relay.unwrap()] {
        let machine = zone.machine(&unresponsive.id);
        machine.is_unresponsive.store(true, Ordering::Relaxed);
    }
    let read_before = zone.store.rows_read.load(Ordering::Relaxed);
    for number in 0..30 {
        zone.store.change(number);
        sleep(Duration::from_millis(200)).await;
        let oldest = zone.oldest_proof();
        assert!(oldest < Duration::from_millis(4_500), "{oldest:?}");
    }
    let revision = zone.store.change(40);
    // The two unresponsive daemons may still receive changes themselves.
    let elapsed = zone.wait_until_all_hold(revision, 2).await;
    assert!(elapsed < Duration::from_millis(2_500), "{elapsed:?}");
    let read = zone.store.rows_read.load(Ordering::Relaxed) - read_before;
    assert!(read < 31 * 20, "{read} rows for 31 changes");
}

/// Relayed proofs must not be newer than the store's last response.
#[tokio::test(start_paused = true)]
async fn relayed_proofs_are_never_newer_than_the_store_response() {
    let (daemons, rows) = SIZES[0];
    let zone = Zone::start(daemons, rows).await;
    zone.wait_until_all_hold(1, 0).await;
    sleep(Duration::from_secs(2)).await;
    let unavailable_since = Instant::now();
    zone.store.is_unavailable.store(true, Ordering::Relaxed);
    sleep(Duration::from_secs(8)).await;
    for relay in &zone.relays {
        let as_of = relay.space(SPACE).unwrap().copy().as_of().expect("read");
        // A request admitted before the outage still gets a response.
        assert!(as_of <= unavailable_since + Duration::from_millis(10));
    }
    zone.store.is_unavailable.store(false, Ordering::Relaxed);
    let revision = zone.store.change(0);
    let elapsed = zone.wait_until_all_hold(revision, 0).await;
    assert!(elapsed < Duration::from_millis(2_500), "{elapsed:?}");
}

/// A zone that shrinks and grows again must change its relay mode without full reads.
#[tokio::test(start_paused = true)]
async fn the_relay_mode_follows_the_size_of_the_zone() {
    let (daemons, rows) = (60, 2_000);
    let zone = Zone::start(daemons, rows).await;
    zone.wait_until_all_hold(1, 0).await;
    let followers = |zone: &Zone| {
        let all = zone.relays.iter();
        all.filter(|relay| relay.is_follower(SPACE)).count()
    };
    assert_eq!(followers(&zone), daemons - 1);
    let read_before = zone.store.rows_read.load(Ordering::Relaxed);
    zone.set_members(&zone.peers[..20]);
    let revision = zone.store.change(1);
    zone.wait_until_all_hold(revision, 0).await;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(followers(&zone), 0);
    zone.set_members(&zone.peers);
    sleep(Duration::from_secs(3)).await;
    assert_eq!(followers(&zone), daemons - 1);
    let read = zone.store.rows_read.load(Ordering::Relaxed) - read_before;
    assert!(
        read <= 100,
        "{read} rows for a change and two changes of the relay mode"
    );
}

/// After lost history with stale reads only the reader may do full reads, and all daemons must converge afterwards.
#[tokio::test(start_paused = true)]
async fn only_the_reader_recovers_lost_history() {
    let (daemons, rows) = SIZES[0];
    let zone = Zone::start(daemons, rows).await;
    zone.wait_until_all_hold(1, 0).await;
    sleep(Duration::from_secs(2)).await;
    let read_before = zone.store.rows_read.load(Ordering::Relaxed);
    zone.store.stale_at.store(1, Ordering::Relaxed);
    let mut newest = 0;
    for number in 0..10 {
        newest = zone.store.change(number);
        sleep(Duration::from_millis(100)).await;
    }
    zone.store.lost_up_to.store(newest + 5, Ordering::Relaxed);
    zone.store.newest.send_replace(newest + 6);
    sleep(Duration::from_secs(6)).await;
    let read = zone.store.rows_read.load(Ordering::Relaxed) - read_before;
    // Equal to two full reads, whatever the number of daemons.
    let max_rows = u64::try_from(2 * rows).unwrap();
    assert!(read <= max_rows, "{read} rows while reads were stale");
    zone.store.stale_at.store(0, Ordering::Relaxed);
    let elapsed = zone.wait_until_all_hold(newest + 6, 0).await;
    assert!(elapsed < Duration::from_millis(2_500), "{elapsed:?}");
    let read = zone.store.rows_read.load(Ordering::Relaxed) - read_before;
    assert!(read <= 2 * max_rows, "{read} rows after lost history");
}

/// Shortest time, over all sites, within which a change must be known everywhere.
const CHANGE_BOUND: Duration = Duration::from_millis(2_000);

/// Moments of a fault relative to the holds of feeds and of questions to peers, which last up to 1 s.
const PHASES: [Duration; 4] = [
    Duration::from_millis(50),
    Duration::from_millis(300),
    Duration::from_millis(550),
    Duration::from_millis(800),
];

/// Guards against a reader that asks its own followers, which know no more, after its feed has broken.
#[tokio::test(start_paused = true)]
async fn a_reader_whose_feed_breaks_asks_the_store_again() {
    let zone = Zone::start(36, 90).await;
    zone.wait_until_all_hold(1, 0).await;
    for phase in PHASES {
        sleep(Duration::from_secs(4) + phase).await;
        zone.store.are_feeds_silent.send_replace(true);
        sleep(Duration::from_millis(200)).await;
        let revision = zone.store.change(1);
        let changed_at = Instant::now();
        sleep(Duration::from_millis(1_000)).await;
        zone.store.lost_up_to.store(revision, Ordering::Relaxed);
        zone.store.are_feeds_silent.send_replace(false);
        zone.wait_until_all_hold(revision, 0).await;
        let elapsed = changed_at.elapsed();
        assert!(elapsed < CHANGE_BOUND, "{elapsed:?} at {phase:?}");
    }
}

/// Guards against followers that wait for a reader which is cut off from the store.
#[tokio::test(start_paused = true)]
async fn a_zone_whose_reader_loses_the_store_is_told_of_changes_in_time() {
    for phase in PHASES {
        let zone = Zone::start(36, 90).await;
        zone.wait_until_all_hold(1, 0).await;
        sleep(Duration::from_secs(4) + phase).await;
        let reader = zone.machine(&zone.reader().id);
        reader.has_lost_store.store(true, Ordering::Relaxed);
        sleep(Duration::from_millis(100)).await;
        for number in 0..10 {
            let revision = zone.store.change(number);
            // The reader itself may learn of it from its peers.
            let elapsed = zone.wait_until_all_hold(revision, 1).await;
            assert!(
                elapsed < CHANGE_BOUND,
                "{elapsed:?} at {phase:?}, change {number}"
            );
            sleep(Duration::from_millis(330)).await;
        }
    }
}
