//! What a body proves doesn't depend on where the network splits it, nor on its line ends.

use bytes::Bytes;
use harrierward_serving::{
    BodyDelimiter, BodyEnd, BodyFormat, BodyParser, BodyPart, BreakCause, EventsLeft,
};
use proptest::prelude::*;

const LINE_ENDS: [&str; 3] = ["\n", "\r\n", "\r"];

/// Events of a body that arrives in pieces of this size, and what its end proves.
struct Parsed {
    events: Vec<(Option<u64>, String)>,
    bytes: Vec<u8>,
    end: BodyEnd,
}

fn parse(body: &[u8], piece_bytes: usize) -> Parsed {
    let mut parser = BodyParser::new(BodyFormat::Events, BodyDelimiter::Chunks, EventsLeft::New);
    let mut events = Vec::new();
    let mut bytes = Vec::new();
    for piece in body.chunks(piece_bytes) {
        parser
            .push(Bytes::copy_from_slice(piece))
            .expect("small events");
        while let Some(part) = parser.next_part() {
            let BodyPart::Event(event) = part else {
                panic!("an event is expected: {part:?}");
            };
            bytes.extend_from_slice(&event.raw);
            parser.note_new(&event);
            if event.has_data() {
                events.push((event.id, event.data()));
            }
        }
    }
    let end = parser.end();
    if end == BodyEnd::Whole {
        bytes.extend_from_slice(&parser.take_rest());
    }
    Parsed { events, bytes, end }
}

fn stream(texts: &[String], line_end: &str) -> String {
    let events = texts.iter().enumerate().map(|(index, text)| {
        format!(
            "id: {}{line_end}data: {text}{line_end}{line_end}",
            index + 1
        )
    });
    events.collect()
}

/// Guards against whole streams that are cut off: blank lines and comments after the last event begin no event.
#[test]
fn blank_lines_and_comments_after_the_last_event_are_passed_on() {
    for line_end in LINE_ENDS {
        for rest in [
            String::new(),
            line_end.to_owned(),
            format!("{line_end}{line_end}"),
            format!(": ping{line_end}"),
        ] {
            let body = stream(&["a".to_owned()], line_end) + &rest;
            for piece_bytes in 1..=body.len() {
                let parsed = parse(body.as_bytes(), piece_bytes);
                assert_eq!(parsed.end, BodyEnd::Whole, "{body:?} by {piece_bytes}");
                assert_eq!(parsed.bytes, body.as_bytes(), "{body:?} by {piece_bytes}");
            }
        }
    }
}

/// Guards against a replica that fills the memory of a daemon with an event that never ends.
#[test]
fn an_event_without_an_end_is_not_held_back_forever() {
    let mut parser = BodyParser::new(BodyFormat::Events, BodyDelimiter::Close, EventsLeft::New);
    let piece = Bytes::from(vec![b'x'; 1 << 20]);
    let pushed = (0..8).try_for_each(|_| parser.push(piece.clone()));
    assert_eq!(pushed, Err(BreakCause::OversizedEvent));
}

/// A parser of events after this body, and what its end proves.
fn end_of(
    body: &'static str,
    delimiter: BodyDelimiter,
    events_left: EventsLeft,
) -> (BodyEnd, EventsLeft) {
    let mut parser = BodyParser::new(BodyFormat::Events, delimiter, events_left);
    parser.push(Bytes::from(body)).expect("small events");
    while let Some(BodyPart::Event(event)) = parser.next_part() {
        parser.note_new(&event);
    }
    (parser.end(), parser.events_left())
}

/// Guards against a connection that is closed before the first event and passes for the end of an empty stream, and
/// against a stream that never ends since no response to its resumption is believed.
#[test]
fn a_close_before_the_first_event_is_believed_after_some_that_say_the_same() {
    let broken_off = BodyEnd::BrokenOff(BreakCause::BeforeEvents);
    let no_output = [
        "",
        ": ping\n\n",
        "\n",
        "retry: 1000\n\n",
        "event: start\n\n",
        "\u{feff}: ping\n\n",
    ];
    for body in no_output {
        let end = |delimiter, events_left| end_of(body, delimiter, events_left);
        let new = end(BodyDelimiter::Close, EventsLeft::New);
        assert_eq!(new, (broken_off, EventsLeft::New), "{body:?}");
        let mut events_left = EventsLeft::after(Some(1), u32::MAX);
        let mut doubted_closes = 0;
        while let (BodyEnd::BrokenOff(_), left) = end(BodyDelimiter::Close, events_left) {
            events_left = left;
            doubted_closes += 1;
        }
        assert_eq!(doubted_closes, 2, "{body:?}");
        let last_chance = EventsLeft::after(Some(1), 0);
        let last = end(BodyDelimiter::Close, last_chance);
        assert_eq!(last.0, BodyEnd::Whole, "{body:?}");
        for delimiter in [BodyDelimiter::Length, BodyDelimiter::Chunks] {
            let framed = end(delimiter, EventsLeft::New);
            assert_eq!(framed.0, BodyEnd::Whole, "{body:?} {delimiter:?}");
        }
    }
}

/// Guards against a response without events that is believed although an event had begun before.
#[test]
fn after_an_unfinished_event_another_one_must_follow() {
    let body = "id: 1\ndata: a\n\nid: 2\nda";
    let (end, events_left) = end_of(body, BodyDelimiter::Close, EventsLeft::New);
    assert_eq!(end, BodyEnd::BrokenOff(BreakCause::WithinEvent));
    for delimiter in [
        BodyDelimiter::Length,
        BodyDelimiter::Chunks,
        BodyDelimiter::Close,
    ] {
        let empty = end_of("", delimiter, events_left);
        let broken_off = BodyEnd::BrokenOff(BreakCause::BeforeEvents);
        assert_eq!(empty, (broken_off, events_left), "{delimiter:?}");
    }
}

/// Guards against keep-alives that a caller doesn't receive until the next event, and that add up to an oversized one.
#[test]
fn a_keep_alive_between_two_events_is_passed_on_as_it_comes() {
    let keep_alives = [": ping\n", "\n", ":\r\n", ": ping\n\n"];
    for keep_alive in keep_alives {
        let mut parser =
            BodyParser::new(BodyFormat::Events, BodyDelimiter::Chunks, EventsLeft::New);
        let event = "id: 1\ndata: a\n\n";
        let mut passed_on = String::new();
        for piece in [event, keep_alive, keep_alive, event] {
            parser.push(Bytes::from(piece)).expect("small pieces");
            while let Some(BodyPart::Event(event)) = parser.next_part() {
                passed_on += std::str::from_utf8(&event.raw).expect("text");
            }
            assert!(passed_on.ends_with(piece), "{keep_alive:?}: {passed_on:?}");
        }
    }
}

proptest! {
    /// Guards against events that are lost, joined or split at the borders of network reads.
    #[test]
    fn the_same_events_arrive_in_pieces_of_any_size(
        texts in prop::collection::vec("[a-z:\" ]{0,12}", 0..6),
        line_end in prop::sample::select(LINE_ENDS.to_vec()),
        piece_bytes in 1_usize..40,
    ) {
        let body = stream(&texts, line_end);
        let parsed = parse(body.as_bytes(), piece_bytes);
        let expected: Vec<(Option<u64>, String)> = texts
            .iter()
            .zip(1..)
            .map(|(text, id)| (Some(id), text.clone()))
            .collect();
        prop_assert_eq!(parsed.events, expected);
        prop_assert_eq!(parsed.bytes, body.as_bytes());
        prop_assert_eq!(parsed.end, BodyEnd::Whole);
    }

    /// Guards against a stream that is taken for whole although it was cut anywhere within an event.
    #[test]
    fn a_stream_that_is_cut_within_its_last_event_was_broken_off(
        texts in prop::collection::vec("[a-z]{1,8}", 1..4),
        line_end in prop::sample::select(LINE_ENDS.to_vec()),
        cut in any::<prop::sample::Index>(),
        piece_bytes in 1_usize..40,
    ) {
        let before = stream(&texts[..texts.len() - 1], line_end).len();
        let body = stream(&texts, line_end);
        // The last line end, which makes the event's end a blank line, is missing at least.
        let cuts = body.len() - before - line_end.len();
        let cut = before + 1 + cut.index(cuts);
        let parsed = parse(&body.as_bytes()[..cut], piece_bytes);
        prop_assert_eq!(parsed.end, BodyEnd::BrokenOff(BreakCause::WithinEvent));
        // Half of a line end may still be held back.
        let passed_on = String::from_utf8(parsed.bytes).expect("text");
        prop_assert_eq!(passed_on.trim_end(), body[..before].trim_end());
    }
}
