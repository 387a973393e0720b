//! Ownership of shards and replicas: the member chosen by the view takes over the ownership row and raises its epoch.
//! Ownership needs no renewal: writes and commands with an older epoch are rejected, so a superseded owner is harmless.

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

const ROWS_PER_CALL: usize = 64;

/// Time to commit finished results before a shard is released.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// A resource with exactly one owner by its ownership row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Resource {
    Shard(u32),
    Replica(ReplicaId),
}

impl Resource {
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

/// What this member owns according to its last successful writes of ownership rows.
#[derive(Debug, Default)]
pub(crate) struct Ownership {
    held: BTreeMap<Resource, Held>,
    wanted_since: BTreeMap<Resource, Duration>,
    /// Resources that another member took over, until the new owner has been read from the row.
    lost: BTreeSet<Resource>,
    /// A resource was lost, and the others have not been compared with the table since.
    must_verify: bool,
    /// Members that took over a resource from this one, so they are alive even if out of view; nothing is taken over
    /// from them during their cooldown.
    cooldowns: Cooldowns,
}

/// First cooldown of a member that took over a resource from this one, in multiples of the grace period; doubles each
/// time.
const FIRST_COOLDOWN_FACTOR: u32 = 2;

/// Maximum cooldown, in multiples of the grace period; bounds the delay of a takeover from a crashed owner.
const MAX_COOLDOWN_FACTOR: u32 = 32;

/// Interval of comparisons of the resources held with the table.
const VERIFY_INTERVAL: Duration = Duration::from_secs(15);

impl Ownership {
    /// Returns the replicas that this member owns.
    pub fn replicas(&self) -> Vec<ReplicaId> {
        self.held
            .keys()
            .filter_map(|resource| match resource {
                Resource::Replica(replica) => Some(replica.clone()),
                Resource::Shard(_) => None,
            })
            .collect()
    }
}

/// Reconciles the resources held with those wanted until the daemon drains.
pub(crate) async fn run(shared: Arc<Shared>, mut lost_shards: mpsc::UnboundedReceiver<u32>) {
    let mut verified_at = Duration::ZERO;
    let mut wanted = Wanted::default();
    loop {
        while let Ok(shard) = lost_shards.try_recv() {
            note_lost(&shared, &Resource::Shard(shard));
        }
        if shared.is_draining() {
            return;
        }
        wanted.refresh(&shared);
        step(&shared, &wanted.resources).await;
        let now = shared.now();
        let has_lost = std::mem::take(&mut lock(&shared.ownership).must_verify);
        if has_lost || now.saturating_sub(verified_at) >= VERIFY_INTERVAL {
            verified_at = now;
            verify(&shared).await;
        }
        sleep(shared.settings.ownership_interval).await;
    }
}

/// Resources that this member should own, cached because rendezvous ranking is expensive; recomputed when members
/// or replicas change.
#[derive(Default)]
struct Wanted {
    fingerprint: Option<u64>,
    resources: Vec<Resource>,
}

impl Wanted {
    fn refresh(&mut self, shared: &Arc<Shared>) {
        let fingerprint = Some(fingerprint(shared));
        if self.fingerprint != fingerprint {
            self.fingerprint = fingerprint;
            self.resources = compute_wanted(shared);
        }
    }
}

/// Returns a hash of the eligible members and of the replicas with their state.
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

fn compute_wanted(shared: &Arc<Shared>) -> Vec<Resource> {
    let member = &shared.identity.member;
    let is_own = |resource: &Resource| shared.owner_of(&resource.key()).as_ref() == Some(member);
    let shards = (0..shared.settings.shards).map(Resource::Shard);
    let directory = shared.directory.load();
    let replicas = directory
        .replicas
        .values()
        .filter(|replica| replica.machine.state == MachineState::Live)
        .map(|replica| Resource::Replica(replica.machine.replica.clone()));
    shards.chain(replicas).filter(is_own).collect()
}

async fn step(shared: &Arc<Shared>, wanted: &[Resource]) {
    let now = shared.now();
    let (to_take_over, to_release) = {
        let mut ownership = lock(&shared.ownership);
        ownership
            .wanted_since
            .retain(|resource, _| wanted.contains(resource));
        ownership.lost.retain(|resource| wanted.contains(resource));
        let max_cooldown = shared.settings.takeover_grace_period * MAX_COOLDOWN_FACTOR;
        ownership.cooldowns.expire(max_cooldown, now);
        for resource in wanted {
            ownership
                .wanted_since
                .entry(resource.clone())
                .or_insert(now);
        }
        let to_take_over: Vec<Resource> = wanted
            .iter()
            .filter(|resource| !ownership.held.contains_key(resource))
            .cloned()
            .collect();
        let to_release: Vec<Resource> = ownership
            .held
            .keys()
            .filter(|resource| !wanted.contains(resource))
            .cloned()
            .collect();
        (to_take_over, to_release)
    };
    for resource in to_release {
        release(shared, &resource).await;
    }
    for batch in to_take_over.chunks(ROWS_PER_CALL) {
        take_over_batch(shared, batch, now).await;
    }
}

async fn take_over_batch(shared: &Arc<Shared>, resources: &[Resource], now: Duration) {
    let keys: Vec<String> = resources.iter().map(Resource::key).collect();
    let rows = match shared.table.get(RequestClass::Urgent, &keys).await {
        Ok(rows) => rows,
        Err(error) => {
            log::debug!("{PREFIX} cannot read ownership: {error}");
            return;
        }
    };
    let takeovers = resources
        .iter()
        .zip(rows)
        .filter(|(resource, row)| may_take_over(shared, resource, row.as_ref(), now))
        .map(|(resource, row)| take_over(shared, resource, row));
    futures::future::join_all(takeovers).await;
}

/// True unless another member owns the resource and is in cooldown, or is in view and the grace period lasts.
/// Starts that cooldown if the owner took the resource over from this member.
fn may_take_over(
    shared: &Arc<Shared>,
    resource: &Resource,
    row: Option<&Row>,
    now: Duration,
) -> bool {
    let owner = row
        .and_then(|row| decode::<OwnershipRow>(&row.value))
        .unwrap_or_default()
        .owner;
    let grace_period = shared.settings.takeover_grace_period;
    let mut ownership = lock(&shared.ownership);
    let was_lost = ownership.lost.remove(resource);
    if owner.is_empty() || owner == shared.identity.member {
        return true;
    }
    let max_cooldown = grace_period * MAX_COOLDOWN_FACTOR;
    if was_lost {
        let cooldowns = &mut ownership.cooldowns;
        cooldowns.start(
            &owner,
            grace_period * FIRST_COOLDOWN_FACTOR,
            max_cooldown,
            now,
        );
    }
    if now < ownership.cooldowns.until(&owner) {
        return false;
    }
    let is_in_view = shared.view.load().member(&owner).is_some();
    let since = ownership.wanted_since.get(resource).copied().unwrap_or(now);
    !is_in_view || now.saturating_sub(since) >= grace_period
}

async fn take_over(shared: &Arc<Shared>, resource: &Resource, row: Option<Row>) {
    let old = row
        .as_ref()
        .and_then(|row| decode::<OwnershipRow>(&row.value))
        .unwrap_or_default();
    let new = OwnershipRow {
        owner: shared.identity.member.clone(),
        epoch: old.epoch + 1,
    };
    let key = resource.key();
    let transaction = Transaction::default()
        .require(Condition::unchanged(&key, row.as_ref()))
        .put(key, encode(&new));
    // If the response is lost, the next round reads this member as the owner and takes the row over again.
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
            adopt(shared, resource, held).await;
        }
        Ok(TransactionOutcome::Conflict { .. }) => {}
        Err(error) => log::debug!("{PREFIX} cannot take over {resource:?}: {error}"),
    }
}

async fn adopt(shared: &Arc<Shared>, resource: &Resource, held: Held) {
    log::debug!("{PREFIX} took over {resource:?} at epoch {}", held.epoch);
    lock(&shared.ownership).held.insert(resource.clone(), held);
    match resource {
        Resource::Shard(shard) => shared.owner.take_shard(*shard, held.epoch, held.revision),
        Resource::Replica(id) => {
            let replica = shared.directory.load().replicas.get(id).cloned();
            if let Some(replica) = replica {
                fence(shared, &replica, held.epoch).await;
            }
        }
    }
}

/// Fences off earlier owners at the engine before this one sends it batch work.
async fn fence(shared: &Arc<Shared>, replica: &Arc<Replica>, epoch: u64) {
    let command = EngineCommand {
        epoch,
        kind: CommandKind::Fence,
    };
    if let Err(error) = replica.engine.execute(command).await {
        log::debug!("{PREFIX} cannot fence {}: {error}", replica.machine.replica);
    }
    lock(&shared.runner).add_replica(replica.clone(), epoch);
}

fn remove_held(shared: &Arc<Shared>, resource: &Resource) {
    lock(&shared.ownership).held.remove(resource);
    match resource {
        Resource::Shard(shard) => shared.owner.drop_shard(*shard),
        Resource::Replica(id) => lock(&shared.runner).remove_replica(&id.0),
    }
}

/// Handles a takeover by another member; later rejected writes and commands of the same epoch change nothing.
fn note_lost(shared: &Arc<Shared>, resource: &Resource) {
    let now = shared.now();
    {
        let mut ownership = lock(&shared.ownership);
        if !ownership.held.contains_key(resource) {
            return;
        }
        ownership.lost.insert(resource.clone());
        ownership.wanted_since.insert(resource.clone(), now);
        ownership.must_verify = true;
    }
    remove_held(shared, resource);
}

/// Handles an epoch rejected by the engine; ignored if this member has taken the replica over again since.
pub(crate) fn replica_lost(shared: &Arc<Shared>, replica: &ReplicaId, epoch: u64) {
    let resource = Resource::Replica(replica.clone());
    let held = lock(&shared.ownership).held.get(&resource).copied();
    if held.is_some_and(|held| held.epoch == epoch) {
        note_lost(shared, &resource);
    }
}

/// Compares the resources held with the table: an owner that commits nothing gets no rejected write after a takeover.
/// Runs immediately after a loss, because a member usually takes over several resources at once. During a partition the
/// resources should change sides together: a side that holds shards without replicas can't run their items.
async fn verify(shared: &Arc<Shared>) {
    let held: Vec<(Resource, Held)> = {
        let ownership = lock(&shared.ownership);
        let held = ownership.held.iter();
        held.map(|(resource, held)| (resource.clone(), *held))
            .collect()
    };
    for batch in held.chunks(ROWS_PER_CALL) {
        let keys: Vec<String> = batch.iter().map(|(resource, _)| resource.key()).collect();
        let Ok(rows) = shared.table.get(RequestClass::Listing, &keys).await else {
            return;
        };
        for ((resource, held), row) in batch.iter().zip(rows) {
            if row.is_none_or(|row| row.revision != held.revision) {
                note_lost(shared, resource);
            }
        }
    }
}

/// Releases a resource, so that the next owner need not wait for the grace period.
async fn release(shared: &Arc<Shared>, resource: &Resource) {
    if let Resource::Shard(shard) = resource {
        shared.owner.flush_shard(*shard, FLUSH_TIMEOUT).await;
    }
    let held = lock(&shared.ownership).held.get(resource).copied();
    remove_held(shared, resource);
    let Some(held) = held else { return };
    let row = OwnershipRow {
        owner: String::new(),
        epoch: held.epoch,
    };
    let key = resource.key();
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
        log::debug!("{PREFIX} cannot release {resource:?}: {error}");
    }
}

/// Releases all resources held.
pub(crate) async fn release_all(shared: &Arc<Shared>) {
    let resources: Vec<Resource> = lock(&shared.ownership).held.keys().cloned().collect();
    let releases = resources.iter().map(|resource| release(shared, resource));
    futures::future::join_all(releases).await;
}
