//! The roster: each daemon writes a row of itself at its start, so that daemons whose seeds have all gone, or that
//! were cut off while others came, find each other again.
//!
//! Why so few reads: gossip spreads whom one member finds, so only the pollers of a zone, and whoever is alone,
//! read the roster. Rows of members that died are removed by one of their finders.

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

/// How often the roster is read, and how often by a member that is alone.
const READ_EVERY: Duration = Duration::from_secs(30);
const READ_ALONE_EVERY: Duration = Duration::from_secs(5);
const TICK: Duration = Duration::from_secs(1);
const PAGE: usize = 500;

/// Time for which a member must be dead before its row is removed.
const REMOVE_AFTER: Duration = Duration::from_secs(120);

fn row_key(member: &str) -> String {
    format!("{ROW_PREFIX}{member}")
}

pub(crate) async fn run(shared: Arc<Shared>) {
    while let Err(error) = register(&shared).await {
        log::debug!("{PREFIX} cannot write the own row yet: {error}");
        sleep(TICK).await;
    }
    let mut read_at = Duration::ZERO;
    while !shared.is_draining() {
        sleep(TICK).await;
        let alone = shared.view.load().members.len() <= 1;
        let every = if alone { READ_ALONE_EVERY } else { READ_EVERY };
        let now = shared.now();
        let chosen = alone || is_poller(&shared);
        if chosen && now.saturating_sub(read_at) >= every {
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

/// Asks members that are not known yet for their view, which tells them of this member in turn.
async fn read(shared: &Arc<Shared>) -> Result<(), PlatformError> {
    let mut after = String::new();
    let mut strangers = Vec::new();
    loop {
        let rows = shared
            .table
            .scan(RequestClass::Listing, ROW_PREFIX, &after, PAGE)
            .await?;
        for row in &rows {
            let record: MemberRecord = decode(&row.value).unwrap_or_default();
            let state = lock(&shared.membership).state(&record.id);
            match state {
                None => strangers.push(record.udp_address),
                Some(MemberState::Dead) => remove_if_gone(shared, &record.id).await,
                Some(_) => {}
            }
        }
        match rows.last() {
            Some(last) if rows.len() == PAGE => after = last.key.clone(),
            _ => break,
        }
    }
    membership_task::join(shared, &strangers).await;
    Ok(())
}

async fn remove_if_gone(shared: &Arc<Shared>, member: &str) {
    let now = shared.now();
    let dead_for = lock(&shared.membership).state_age(member, now);
    if dead_for.is_some_and(|age| age >= REMOVE_AFTER) {
        let remove = Transaction::default().delete(row_key(member));
        let _ = shared.table.transact(RequestClass::Listing, remove).await;
    }
}
