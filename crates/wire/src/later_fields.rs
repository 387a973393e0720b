//! Unknown fields: fields that a later build has added to a row, preserved when this build rewrites it.
//!
//! Builds of several versions run side by side during an upgrade; a rewrite from known fields alone would erase the
//! others.

use std::ops::RangeInclusive;

use prost::bytes::Buf;
use prost::encoding::{DecodeContext, decode_key, skip_field};

/// Returns the encoded fields whose numbers are not known, in their order; `None` if the bytes are not a message.
pub fn later_fields(bytes: &[u8], known: &RangeInclusive<u32>) -> Option<Vec<u8>> {
    let mut later = Vec::new();
    let mut remaining = bytes;
    while remaining.has_remaining() {
        let field = remaining;
        let (number, wire_type) = decode_key(&mut remaining).ok()?;
        skip_field(wire_type, number, &mut remaining, DecodeContext::default()).ok()?;
        if !known.contains(&number) {
            let length = field.len() - remaining.len();
            later.extend_from_slice(&field[..length]);
        }
    }
    Some(later)
}
