//! Encoding of a reply's rows, compressed above a size limit.

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use harrierward_external::RowChange;
use harrierward_wire::{SpaceContent, SpaceRow, decode, encode};

/// Size in bytes from which content is compressed: rows of replicas are similar and links may be slow.
const MIN_COMPRESSED_BYTES: usize = 8 * 1024;

/// Maximum size of decompressed content in bytes; longer content is truncated, so that it fails to decode.
const MAX_CONTENT_BYTES: u64 = 256 * 1024 * 1024;

/// Rows encoded for a reply.
#[derive(Debug, Clone, Default)]
pub(super) struct Content {
    pub bytes: Bytes,
    pub is_compressed: bool,
}

impl Content {
    /// Encodes rows, compressed if they are large.
    pub fn of(changes: Vec<RowChange>) -> Self {
        let rows = changes.into_iter().map(|change| SpaceRow {
            key: change.key,
            value: change.value,
            revision: change.revision,
        });
        let bytes = encode(&SpaceContent {
            rows: rows.collect(),
        });
        if bytes.len() < MIN_COMPRESSED_BYTES {
            return Self::plain(bytes);
        }
        compress(&bytes).map_or_else(
            // Compression into memory cannot fail; the uncompressed bytes serve as a fallback.
            |_| Self::plain(bytes),
            |compressed| Self {
                bytes: compressed.into(),
                is_compressed: true,
            },
        )
    }

    fn plain(bytes: Vec<u8>) -> Self {
        Self {
            bytes: bytes.into(),
            is_compressed: false,
        }
    }

    /// Decodes the rows; `None` if the bytes are invalid.
    pub fn rows(&self) -> Option<Vec<RowChange>> {
        let content: SpaceContent = if self.is_compressed {
            let mut plain = Vec::new();
            let decoder = ZlibDecoder::new(&self.bytes[..]);
            decoder
                .take(MAX_CONTENT_BYTES)
                .read_to_end(&mut plain)
                .ok()?;
            decode(&plain)?
        } else {
            decode(&self.bytes)?
        };
        let rows = content.rows.into_iter().map(|row| RowChange {
            key: row.key,
            revision: row.revision,
            value: row.value,
        });
        Some(rows.collect())
    }
}

fn compress(bytes: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    encoder.finish()
}
