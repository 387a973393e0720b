//! The rows of an answer as bytes, compressed where they are many.

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use harrierward_external::RowChange;
use harrierward_wire::{SpaceContent, SpaceRow, decode, encode};

/// Bytes from which on content is compressed: the rows of thousands of replicas are much alike, and small machines have
/// small links.
const COMPRESS_FROM: usize = 8 * 1024;

/// Most bytes that compressed content may grow to: an answer that claims more is not read.
const LARGEST_CONTENT: u64 = 256 * 1024 * 1024;

/// Encoded rows.
#[derive(Debug, Clone, Default)]
pub(super) struct Content {
    pub bytes: Bytes,
    pub is_compressed: bool,
}

impl Content {
    /// Encodes rows.
    pub fn of(changes: Vec<RowChange>) -> Self {
        let rows = changes.into_iter().map(|change| SpaceRow {
            key: change.key,
            value: change.value,
            revision: change.revision,
        });
        let bytes = encode(&SpaceContent {
            rows: rows.collect(),
        });
        if bytes.len() < COMPRESS_FROM {
            return Self::plain(bytes);
        }
        compress(&bytes).map_or_else(
            // Writing to memory does not fail; if it did, the plain bytes serve as well.
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

    /// The rows; `None` if the bytes cannot be read.
    pub fn rows(&self) -> Option<Vec<RowChange>> {
        let content: SpaceContent = if self.is_compressed {
            let mut plain = Vec::new();
            let decoder = ZlibDecoder::new(&self.bytes[..]);
            decoder.take(LARGEST_CONTENT).read_to_end(&mut plain).ok()?;
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
