//! Owns shards and replicas: whom the view names takes the ownership row, raising its epoch.
//!
//! Why no renewal: safety comes from the epoch alone, so holding costs nothing at the table. Two members may
//! believe for a while that they own the same thing; the older one's writes and orders are refused.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use harrierward_batch::{replica_key, shard_key};
use harrierward_external::{
    CommandKind, Condition, EngineCommand, MachineState, ReplicaId, RequestClass, Row, Transaction,
    TransactionOutcome,
};
use harrierward_gateway::Replica;
use harrierward_ownership::Cooldowns;
use harrierward_wire::{OwnershipRow, decode, encode};
use tokio::sync::mpsc;
use tokio::time::sleep;
use xxhash_rust::xxh3::Xxh3;

use crate::node::{Shared, lock};

const PREFIX: &str = "ownership:";

/// Ownership rows read in one call.
const ROWS_A_CALL: usize = 64;

/// Time to commit finished results before a shard is handed back.
const FLUSH_LIMIT: Duration = Duration::from_secs(2);

/// What is owned.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Asset {
    Shard(u32),
    Replica(ReplicaId),
}

impl Asset {
    fn key(&self) -> String {
        match self {
            Self::Shard(shard) => shard_key(*shard),
            Self::Replica(replica) => replica_key(&replica.0),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Held {
    epoch: u64,
    revision: u64,
}

/// What this member owns, as far as it knows.
#[derive(Debug, Default)]
pub(crate) struct Ownership {
    held: BTreeMap<Asset, Held>,
    wanted_since: BTreeMap<Asset, Duration>,
    /// What other members took from this one, while it is not known who did.
    lost: BTreeSet<Asset>,
    /// Something was lost, and what else is held has not been compared with the table since.
    must_verify: bool,
    /// Members that took something from this one live, whatever its view says, and are left alone for a while.
    rests: Cooldowns,
}

/// Patience with a member that took something from this one the first time, in times of the first patience; it doubles each
/// time.
const FIRST_REST: u32 = 2;

/// The same at most: longer would keep things from members whose owner has really died.
const LONGEST_REST: u32 = 32;

/// How often held ownership rows are read, to find what was lost without noticing.
const VERIFY_EVERY: Duration = Duration::from_secs(15);

impl Ownership {
    /// Replicas owned.
    pub fn replicas(&self) -> Vec<ReplicaId> {
        self.held
            .keys()
            .filter_map(|asset| match asset {
                Asset::Replica(replica) => Some(replica.clone()),
                Asset::Shard(_) => None,
            })
            .collect()
    }
}

/// Compares what is owned with what should be, again and again.
pub(crate) async fn run(shared: Arc<Shared>, mut lost_shards: mpsc::UnboundedReceiver<u32>) {
    let mut verified_at = Duration::ZERO;
    let mut wanted = Wanted::default();
    loop {
        while let Ok(shard) = lost_shards.try_recv() {
            lose(&shared, &Asset::Shard(shard));
        }
        if shared.is_draining() {
            return;
        }
        wanted.renew(&shared);
        step(&shared, &wanted.assets).await;
        let now = shared.now();
        let has_lost = std::mem::take(&mut lock(&shared.ownership).must_verify);
        if has_lost || now.saturating_sub(verified_at) >= VERIFY_EVERY {
            verified_at = now;
            verify(&shared).await;
        }
        sleep(shared.settings.ownership_every).await;
    }
}

/// The assets that this member should own. Ranking all members for each asset is the dearest thing that a daemon
/// does for control, so it is done only when members or replicas come or go.
#[derive(Default)]
struct Wanted {
    fingerprint: Option<u64>,
    assets: Vec<Asset>,
}

impl Wanted {
    fn renew(&mut self, shared: &Arc<Shared>) {
        let fingerprint = Some(fingerprint(shared));
        if self.fingerprint != fingerprint {
            self.fingerprint = fingerprint;
            self.assets = wanted_assets(shared);
        }
    }
}

/// Changes when the members that may own, or the replicas to be owned, change.
fn fingerprint(shared: &Arc<Shared>) -> u64 {
    let mut hasher = Xxh3::new();
    for member in shared.view.load().staying() {
        hasher.update(member.id.as_bytes());
    }
    for replica in shared.directory.load().replicas.values() {
        let live = replica.machine.state == MachineState::Live;
        hasher.update(replica.machine.replica.0.as_bytes());
        hasher.update(&[u8::from(live)]);
    }
    hasher.digest()
}

fn wanted_assets(shared: &Arc<Shared>) -> Vec<Asset> {
    let member = &shared.identity.member;
    let is_own = |asset: &Asset| shared.owner_of(&asset.key()).as_ref() == Some(member);
    let shards = (0..shared.settings.shards).map(Asset::Shard);
    let directory = shared.directory.load();
    let replicas = directory
        .replicas
        .values()
        .filter(|replica| replica.machine.state == MachineState::Live)
        .map(|replica| Asset::Replica(replica.machine.replica.clone()));
    shards.chain(replicas).filter(is_own).collect()
}

async fn step(shared: &Arc<Shared>, wanted: &[Asset]) {
    let now = shared.now();
    let (to_take, to_release) = {
        let mut ownership = lock(&shared.ownership);
        ownership
            .wanted_since
            .retain(|asset, _| wanted.contains(asset));
        ownership.lost.retain(|asset| wanted.contains(asset));
        let longest = shared.settings.ownership_patience * LONGEST_REST;
        ownership.rests.expire(longest, now);
        for asset in wanted {
            ownership.wanted_since.entry(asset.clone()).or_insert(now);
        }
        let to_take: Vec<Asset> = wanted
            .iter()
            .filter(|asset| !ownership.held.contains_key(asset))
            .cloned()
            .collect();
        let to_release: Vec<Asset> = ownership
            .held
            .keys()
            .filter(|asset| !wanted.contains(asset))
            .cloned()
            .collect();
        (to_take, to_release)
    };
    for asset in to_release {
        release(shared, &asset).await;
    }
    for group in to_take.chunks(ROWS_A_CALL) {
        take_group(shared, group, now).await;
    }
}

async fn take_group(shared: &Arc<Shared>, assets: &[Asset], now: Duration) {
    let keys: Vec<String> = assets.iter().map(Asset::key).collect();
    let rows = match shared.table.get(RequestClass::Urgent, &keys).await {
        Ok(rows) => rows,
        Err(error) => {
            log::debug!("{PREFIX} cannot read ownership: {error}");
            return;
        }
    };
    let takes = assets
        .iter()
        .zip(rows)
        .filter(|(asset, row)| may_take(shared, asset, row.as_ref(), now))
        .map(|(asset, row)| take(shared, asset, row));
    futures::future::join_all(takes).await;
}

/// A live owner is given time to hand back; one out of view only if it has lately taken something from this member.
fn may_take(shared: &Arc<Shared>, asset: &Asset, row: Option<&Row>, now: Duration) -> bool {
    let owner = row
        .and_then(|row| decode::<OwnershipRow>(&row.value))
        .unwrap_or_default()
        .owner;
    let first = shared.settings.ownership_patience;
    let mut ownership = lock(&shared.ownership);
    let was_lost = ownership.lost.remove(asset);
    if owner.is_empty() || owner == shared.identity.member {
        return true;
    }
    let longest = first * LONGEST_REST;
    if was_lost {
        let rests = &mut ownership.rests;
        rests.start(&owner, first * FIRST_REST, longest, now);
    }
    if now < ownership.rests.until(&owner) {
        return false;
    }
    let is_in_view = shared.view.load().member(&owner).is_some();
    let since = ownership.wanted_since.get(asset).copied().unwrap_or(now);
    !is_in_view || now.saturating_sub(since) >= first
}

async fn take(shared: &Arc<Shared>, asset: &Asset, row: Option<Row>) {
    let old = row
        .as_ref()
        .and_then(|row| decode::<OwnershipRow>(&row.value))
        .unwrap_or_default();
    let new = OwnershipRow {
        owner: shared.identity.member.clone(),
        epoch: old.epoch + 1,
    };
    let key = asset.key();
    let transaction = Transaction::default()
        .require(Condition::unchanged(&key, row.as_ref()))
        .put(key, encode(&new));
    // After a lost answer the next round finds the row with this member as its owner, and takes it once more.
    match shared
        .table
        .transact(RequestClass::Urgent, transaction)
        .await
    {
        Ok(TransactionOutcome::Committed { revision }) => {
            let held = Held {
                epoch: new.epoch,
                revision,
            };
            adopt(shared, asset, held).await;
        }
        Ok(TransactionOutcome::Conflict { .. }) => {}
        Err(error) => log::debug!("{PREFIX} cannot take {asset:?}: {error}"),
    }
}

async fn adopt(shared: &Arc<Shared>, asset: &Asset, held: Held) {
    log::debug!("{PREFIX} took {asset:?} at epoch {}", held.epoch);
    lock(&shared.ownership).held.insert(asset.clone(), held);
    match asset {
        Asset::Shard(shard) => shared.owner.take_shard(*shard, held.epoch, held.revision),
        Asset::Replica(id) => {
            let replica = shared.directory.load().replicas.get(id).cloned();
            if let Some(replica) = replica {
                fence(shared, &replica, held.epoch).await;
            }
        }
    }
}

/// Shuts earlier owners out at the engine before this one sends it batch work.
async fn fence(shared: &Arc<Shared>, replica: &Arc<Replica>, epoch: u64) {
    let order = EngineCommand {
        epoch,
        kind: CommandKind::Fence,
    };
    if let Err(error) = replica.engine.execute(order).await {
        log::debug!("{PREFIX} cannot fence {}: {error}", replica.machine.replica);
    }
    lock(&shared.runner).add_replica(replica.clone(), epoch);
}

fn forget(shared: &Arc<Shared>, asset: &Asset) {
    lock(&shared.ownership).held.remove(asset);
    match asset {
        Asset::Shard(shard) => shared.owner.drop_shard(*shard),
        Asset::Replica(id) => lock(&shared.runner).remove_replica(&id.0),
    }
}

/// Another member has taken the asset over. One takeover is one loss, however many writes and orders it refuses.
fn lose(shared: &Arc<Shared>, asset: &Asset) {
    let now = shared.now();
    {
        let mut ownership = lock(&shared.ownership);
        if !ownership.held.contains_key(asset) {
            return;
        }
        ownership.lost.insert(asset.clone());
        ownership.wanted_since.insert(asset.clone(), now);
        ownership.must_verify = true;
    }
    forget(shared, asset);
}

/// The engine refused this member's epoch: another owns the replica, unless this member has taken it again since.
pub(crate) fn replica_lost(shared: &Arc<Shared>, replica: &ReplicaId, epoch: u64) {
    let asset = Asset::Replica(replica.clone());
    let held = lock(&shared.ownership).held.get(&asset).copied();
    if held.is_some_and(|held| held.epoch == epoch) {
        lose(shared, &asset);
    }
}

/// Compares what this member believes to hold with the table. An owner that has nothing to commit would
/// otherwise never notice that it was taken over. After a loss it is done at once: who took one thing took others, and parts
/// of a fleet that take all things in the same turns can work, which those that hold shards without replicas cannot.
async fn verify(shared: &Arc<Shared>) {
    let held: Vec<(Asset, Held)> = {
        let ownership = lock(&shared.ownership);
        let held = ownership.held.iter();
        held.map(|(asset, held)| (asset.clone(), *held)).collect()
    };
    for group in held.chunks(ROWS_A_CALL) {
        let keys: Vec<String> = group.iter().map(|(asset, _)| asset.key()).collect();
        let Ok(rows) = shared.table.get(RequestClass::Listing, &keys).await else {
            return;
        };
        for ((asset, held), row) in group.iter().zip(rows) {
            if row.is_none_or(|row| row.revision != held.revision) {
                lose(shared, asset);
            }
        }
    }
}

/// Hands an asset back, so that the next owner need not wait.
async fn release(shared: &Arc<Shared>, asset: &Asset) {
    if let Asset::Shard(shard) = asset {
        shared.owner.flush_shard(*shard, FLUSH_LIMIT).await;
    }
    let held = lock(&shared.ownership).held.get(asset).copied();
    forget(shared, asset);
    let Some(held) = held else { return };
    let row = OwnershipRow {
        owner: String::new(),
        epoch: held.epoch,
    };
    let key = asset.key();
    let transaction = Transaction::default()
        .require(Condition::AtRevision {
            key: key.clone(),
            revision: held.revision,
        })
        .put(key, encode(&row));
    if let Err(error) = shared
        .table
        .transact(RequestClass::Urgent, transaction)
        .await
    {
        log::debug!("{PREFIX} cannot hand back {asset:?}: {error}");
    }
}

/// Hands everything back.
pub(crate) async fn release_all(shared: &Arc<Shared>) {
    let assets: Vec<Asset> = lock(&shared.ownership).held.keys().cloned().collect();
    let releases = assets.iter().map(|asset| release(shared, asset));
    futures::future::join_all(releases).await;
}
