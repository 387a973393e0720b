//! Digests must separate the parts of a request.

use harrierward_quarantine::ContentId;

#[test]
fn parts_are_separated() {
    let digest = ContentId::of(&[b"/ask/x", b"", b"body"]);
    assert_eq!(digest, ContentId::of(&[b"/ask/x", b"", b"body"]));
    assert_ne!(digest, ContentId::of(&[b"/ask/xb", b"", b"ody"]));
    assert_ne!(digest, ContentId::of(&[b"/ask/x", b"body", b""]));
}
