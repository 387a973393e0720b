//! What the items and results of a job take of this daemon's memory. A job for which there is no room is accepted all
//! the same: the store has its items, and they are read once there is room.

use harrierward_serving::ServingRequest;
use harrierward_wire::JobHeadRow;

use crate::model::JobResult;
use crate::store::MAX_ROW_BYTES;

/// Memory of an item beside its body and headers: its state, and the request's fields.
const ITEM_OVERHEAD_BYTES: usize = 1 << 10;

/// Copies of a job's items while they are read: as received, and decoded.
const READ_COPIES: usize = 2;

/// Copies of results while they are read: as received, decoded, and joined.
const RESULT_READ_COPIES: usize = 3;

/// Copies of results while a response is built: as read, and encoded.
const RESULT_COPIES: usize = 2;

/// Returns the bytes that a job's requests take.
pub fn bytes_of(requests: &[ServingRequest]) -> usize {
    let bytes = requests.iter().map(|request| {
        let headers = request.headers.iter();
        let headers: usize = headers
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        request.body.len() + request.target.len() + headers + ITEM_OVERHEAD_BYTES
    });
    bytes.sum()
}

/// Returns an upper bound of the bytes that it takes to read the items of the job with this header, whose submission
/// had `max_body_bytes` at most.
pub fn bytes_to_read(header: &JobHeadRow, max_body_bytes: usize) -> usize {
    let stored = if header.item_object.is_empty() {
        header.item_rows as usize * MAX_ROW_BYTES
    } else {
        max_body_bytes
    };
    stored * READ_COPIES + header.items.len() * ITEM_OVERHEAD_BYTES
}

/// Returns the bytes that it takes to read `results` results, of which a page has about `page_bytes` at most.
pub fn bytes_to_read_results(results: usize, page_bytes: usize) -> usize {
    let page = results.saturating_mul(MAX_ROW_BYTES).min(page_bytes);
    page * RESULT_READ_COPIES
}

/// Returns the bytes that results take until they are encoded.
pub fn bytes_of_results(results: &[JobResult]) -> usize {
    let texts = results.iter().map(|result| result.text.len());
    texts.sum::<usize>() * RESULT_COPIES
}
