//! Fields that a later build has added to a row: kept as they are when this build rewrites it.
//!
//! Why: builds run side by side while a fleet is upgraded, on and back. Whoever rewrites a row from the fields that it knows erases
//! what the others added, such as failures of items that were counted (10 of 500 failing items ran a fourth or fifth time on the
//! way back to a build that did not know the count).

use std::ops::RangeInclusive;

use prost::bytes::Buf;
use prost::encoding::{DecodeContext, decode_key, skip_field};

/// The fields of a message whose numbers are not among the known ones, one after the other as they were written; `None` if the bytes
/// are no message.
pub fn later_fields(bytes: &[u8], known: &RangeInclusive<u32>) -> Option<Vec<u8>> {
    let mut later = Vec::new();
    let mut rest = bytes;
    while rest.has_remaining() {
        let start = rest;
        let (number, wire_type) = decode_key(&mut rest).ok()?;
        skip_field(wire_type, number, &mut rest, DecodeContext::default()).ok()?;
        if !known.contains(&number) {
            let length = start.len() - rest.len();
            later.extend_from_slice(&start[..length]);
        }
    }
    Some(later)
}
