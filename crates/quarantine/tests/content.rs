//! The parts of a request's content do not run into each other.

use harrierward_quarantine::ContentId;

#[test]
fn parts_are_told_apart() {
    let one = ContentId::of(&[b"/ask/x", b"", b"body"]);
    assert_eq!(one, ContentId::of(&[b"/ask/x", b"", b"body"]));
    assert_ne!(one, ContentId::of(&[b"/ask/xb", b"", b"ody"]));
    assert_ne!(one, ContentId::of(&[b"/ask/x", b"body", b""]));
}
