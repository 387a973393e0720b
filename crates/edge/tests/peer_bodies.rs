//! Guards against taking a cut message of a peer for a smaller one: a protobuf message has no end mark.

mod support;

use std::time::Duration;

use bytes::Bytes;
use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_edge::{ConnectionPool, HttpPeers, PoolSettings};
use harrierward_relay::{PeerCopies, RelayPeer, RelayReply, SourceFailure, SpaceRequest};
use harrierward_wire::{SpaceContent, SpaceReply, SpaceRow, encode};
use support::{chunked, close_delimited, start_raw_server, with_length};

const REVISION: u64 = 7;

/// Returns a peer's copy of a space with one row.
fn space_reply() -> SpaceReply {
    let content = SpaceContent {
        rows: vec![SpaceRow {
            key: "replicas/i-1".to_owned(),
            value: Some(Bytes::from_static(b"127.0.0.1:9000")),
            revision: REVISION,
        }],
    };
    SpaceReply {
        revision: REVISION,
        digest: 1,
        store_time_ms: 1_000,
        proof_age_ms: 1,
        held_ms: 1,
        format: 1,
        content: Bytes::from(encode(&content)),
        ..SpaceReply::default()
    }
}

/// Returns the reply's bytes up to the field of the rows.
fn bytes_before_rows(reply: &SpaceReply) -> Vec<u8> {
    let without_rows = SpaceReply {
        content: Bytes::new(),
        ..reply.clone()
    };
    let bytes = encode(&without_rows);
    assert!(encode(reply).starts_with(&bytes));
    bytes
}

/// Requests all rows from a peer that sends this response.
async fn request_all_rows(response: Vec<u8>) -> RelayReply {
    let peer = RelayPeer {
        id: "peer".to_owned(),
        address: start_raw_server(response).await,
    };
    let log = DecisionLog::new(LogBounds::default());
    let pool = ConnectionPool::new(PoolSettings::default(), log);
    let request = SpaceRequest {
        space: "replicas".to_owned(),
        after: 0,
        hold: Duration::ZERO,
        known_age: None,
    };
    HttpPeers::new(pool).request(&peer, request).await
}

/// Guards against a copy that loses all its rows to a reply that was cut before them.
#[tokio::test]
async fn a_relayed_copy_that_is_cut_before_its_rows_is_not_an_empty_one() {
    let cut = close_delimited(&bytes_before_rows(&space_reply()));
    let reply = request_all_rows(cut).await;
    assert!(
        matches!(reply, RelayReply::Failed(SourceFailure::Unresponsive, _)),
        "{reply:?}"
    );
}

/// Guards against refusing copies whose framing proves them whole.
#[tokio::test]
async fn a_relayed_copy_with_a_length_or_chunks_is_read() {
    let bytes = encode(&space_reply());
    for response in [with_length(&bytes), chunked(&bytes)] {
        let RelayReply::Page(page) = request_all_rows(response).await else {
            panic!("the copy was not read");
        };
        assert_eq!(page.changes.len(), 1);
    }
}
