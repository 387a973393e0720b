//! Transactions that change a job's rows, within the limits of the store.

use harrierward_external::{Condition, Transaction, Write};
use harrierward_wire::{ItemProgressRow, JobHeadRow, ResultPieceRow, encode, encode_job_header};

use super::ListedResult;
use crate::keys;

/// Content of a row, in bytes; base64 adds a third.
pub(crate) const MAX_ROW_BYTES: usize = 45_000;

/// Content of the items or progress in one transaction, in bytes.
pub(super) const MAX_TRANSACTION_BYTES: usize = 600_000;

/// Entries of a transaction, conditions included, as the store allows.
const MAX_TRANSACTION_ENTRIES: usize = 100;

/// Splits a text into pieces of a row each, at character boundaries.
fn pieces_of(text: &str) -> Vec<&str> {
    let mut rest = text;
    let mut pieces = Vec::new();
    while rest.len() > MAX_ROW_BYTES {
        let mut end = MAX_ROW_BYTES;
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (piece, left) = rest.split_at(end);
        pieces.push(piece);
        rest = left;
    }
    pieces.push(rest);
    pieces
}

/// Returns the transaction that replaces a header and lists results from `position` on.
pub(super) fn listing(
    revision: u64,
    header: &JobHeadRow,
    position: u32,
    results: &[ListedResult],
) -> Transaction {
    let mut transaction = header_change(revision, header);
    for (position, result) in (position..).zip(results) {
        let pieces = pieces_of(&result.text);
        let count = u32::try_from(pieces.len()).unwrap_or(u32::MAX);
        for (number, text) in (0..).zip(pieces) {
            let row = ResultPieceRow {
                failed: result.failed,
                pieces: count,
                text: text.to_owned(),
            };
            let key = keys::result(&header.job_id, position, number);
            transaction = transaction.put(key, encode(&row));
        }
    }
    transaction
}

/// Adds progress rows as far as the transaction has capacity.
pub(super) fn add_progress(
    mut transaction: Transaction,
    job_id: &str,
    progress: &[(u32, ItemProgressRow)],
) -> Transaction {
    let puts = transaction.writes.iter().map(|write| match write {
        Write::Put { value, .. } => value.len(),
        Write::Delete { .. } => 0,
    });
    let mut bytes: usize = puts.sum();
    let entries = transaction.conditions.len() + transaction.writes.len();
    let mut free_entries = MAX_TRANSACTION_ENTRIES.saturating_sub(entries);
    for (item, row) in progress {
        let content = encode(row);
        let fits = content.len() <= MAX_ROW_BYTES && bytes + content.len() <= MAX_TRANSACTION_BYTES;
        if free_entries == 0 || !fits {
            continue;
        }
        free_entries -= 1;
        bytes += content.len();
        transaction = transaction.put(keys::progress(job_id, *item), content);
    }
    transaction
}

pub(super) fn header_change(revision: u64, header: &JobHeadRow) -> Transaction {
    let key = keys::header(&header.job_id);
    Transaction::default()
        .require(Condition::AtRevision {
            key: key.clone(),
            revision,
        })
        .put(key, encode_job_header(header))
}
