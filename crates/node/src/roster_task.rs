//! Member discovery through the table: each daemon writes a row at startup, so that members find each other without
//! seeds or after a partition. Only pollers and members that know no other member read the rows; gossip spreads what
//! they find.

use std::sync::Arc;
use std::time::Duration;

use harrierward_external::{PlatformError, RequestClass, Transaction};
use harrierward_wire::{MemberRecord, MemberState, decode, encode};
use tokio::time::sleep;

use crate::config_task::is_poller;
use crate::membership_task;
use crate::node::{Shared, lock};

const PREFIX: &str = "roster:";
const ROW_PREFIX: &str = "member/";

/// Poll interval of the roster for pollers, and for members that know no other member.
const READ_INTERVAL: Duration = Duration::from_secs(30);
const NO_PEER_READ_INTERVAL: Duration = Duration::from_secs(5);
const TICK: Duration = Duration::from_secs(1);
const PAGE_SIZE: usize = 500;

/// How long a member must be dead before its row is removed.
const DEAD_ROW_RETENTION: Duration = Duration::from_secs(120);

fn row_key(member: &str) -> String {
    format!("{ROW_PREFIX}{member}")
}

pub(crate) async fn run(shared: Arc<Shared>) {
    while let Err(error) = register(&shared).await {
        log::debug!("{PREFIX} cannot write the row of this member, will retry: {error}");
        sleep(TICK).await;
    }
    let mut read_at = Duration::ZERO;
    while !shared.is_draining() {
        sleep(TICK).await;
        let knows_no_peer = shared.view.load().members.len() <= 1;
        let interval = if knows_no_peer {
            NO_PEER_READ_INTERVAL
        } else {
            READ_INTERVAL
        };
        let now = shared.now();
        let is_reader = knows_no_peer || is_poller(&shared);
        if is_reader && now.saturating_sub(read_at) >= interval {
            read_at = now;
            if let Err(error) = read(&shared).await {
                log::debug!("{PREFIX} cannot read the roster: {error}");
            }
        }
    }
    let remove = Transaction::default().delete(row_key(&shared.identity.member));
    let _ = shared.table.transact(RequestClass::Listing, remove).await;
}

async fn register(shared: &Arc<Shared>) -> Result<(), PlatformError> {
    let record = lock(&shared.membership).own_record();
    let write = Transaction::default().put(row_key(&record.id), encode(&record));
    shared.table.transact(RequestClass::Commit, write).await?;
    Ok(())
}

/// Joins members that are not in the view, and removes the rows of dead ones.
async fn read(shared: &Arc<Shared>) -> Result<(), PlatformError> {
    let mut after = String::new();
    let mut unknown_addresses = Vec::new();
    loop {
        let rows = shared
            .table
            .scan(RequestClass::Listing, ROW_PREFIX, &after, PAGE_SIZE)
            .await?;
        for row in &rows {
            let record: MemberRecord = decode(&row.value).unwrap_or_default();
            let state = lock(&shared.membership).state(&record.id);
            match state {
                None => unknown_addresses.push(record.udp_address),
                Some(MemberState::Dead) => remove_if_dead(shared, &record.id).await,
                Some(_) => {}
            }
        }
        match rows.last() {
            Some(last) if rows.len() == PAGE_SIZE => after = last.key.clone(),
            _ => break,
        }
    }
    membership_task::join(shared, &unknown_addresses).await;
    Ok(())
}

async fn remove_if_dead(shared: &Arc<Shared>, member: &str) {
    let now = shared.now();
    let dead_for = lock(&shared.membership).state_age(member, now);
    if dead_for.is_some_and(|age| age >= DEAD_ROW_RETENTION) {
        let remove = Transaction::default().delete(row_key(member));
        let _ = shared.table.transact(RequestClass::Listing, remove).await;
    }
}
