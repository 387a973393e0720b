//! A peer's reply of which only a part arrived never passes for another reply.

use harrierward_wire::{
    ConfigDeltaReply, Grant, PeerReply, PullReply, ResultsReply, decode, encode, peer_reply,
};

fn replies() -> Vec<PeerReply> {
    let grant = Grant {
        job_id: "job".to_owned(),
        line: "{}".to_owned(),
        ..Grant::default()
    };
    let kinds = [
        peer_reply::Kind::Pull(PullReply {
            grants: vec![grant.clone(), grant],
            ..PullReply::default()
        }),
        peer_reply::Kind::Results(ResultsReply {
            refused_shards: vec![1, 300, 70_000],
        }),
        peer_reply::Kind::Noted(true),
        peer_reply::Kind::ConfigDelta(ConfigDeltaReply {
            revision: 70_000,
            ..ConfigDeltaReply::default()
        }),
        peer_reply::Kind::ConfigRevision(70_000),
    ];
    kinds
        .into_iter()
        .map(|kind| PeerReply { kind: Some(kind) })
        .collect()
}

/// Guards against grants, refusals or changes that are missing from a reply whose connection closed early.
#[test]
fn a_part_of_a_reply_has_no_kind() {
    for reply in replies() {
        let bytes = encode(&reply);
        assert_eq!(decode::<PeerReply>(&bytes), Some(reply.clone()));
        for end in 0..bytes.len() {
            let part = decode::<PeerReply>(&bytes[..end]);
            let kind = part.and_then(|part| part.kind);
            assert_eq!(kind, None, "{end} of {} bytes of {reply:?}", bytes.len());
        }
    }
}
