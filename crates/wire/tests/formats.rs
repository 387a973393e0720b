//! Rows and messages of earlier builds must be decoded with their meaning, and rewritten without losing unknown fields.
//!
//! Each file `formats/COMMIT.txt` holds samples encoded by that build; `fields.txt` holds the numbers, kinds and names
//! of all fields. When the last test fails, a message has changed: add a file with samples of the build before the
//! change, add what is new to the samples here, update `fields.txt` from the test's output, and
//! `docs/decisions/upgrades.md`.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

use harrierward_wire::*;
use proptest::prelude::*;
use prost::Message;

const NODE_1: &str = "node-1@1a2b-0001";

/// Parses a file of samples: bytes by name.
fn samples(text: &str) -> BTreeMap<&str, Vec<u8>> {
    text.lines()
        .map(|line| {
            let (name, hex) = line.split_once(' ').expect("a name and bytes");
            let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex");
            (name, (0..hex.len()).step_by(2).map(byte).collect())
        })
        .collect()
}

/// Checks that a sample decodes to this message and is encoded to the same bytes.
fn check<M: Message + Default + PartialEq + std::fmt::Debug>(
    samples: &BTreeMap<&str, Vec<u8>>,
    name: &str,
    wanted: &M,
) {
    let bytes = &samples[name];
    let read: M = decode(bytes).expect("a message");
    assert_eq!(read, *wanted, "{name}");
    assert_eq!(encode(&read), *bytes, "{name}");
}

fn earliest_header() -> JobHeadRow {
    JobHeadRow {
        job_id: "job-1".into(),
        route: "lots".into(),
        host: "host".into(),
        items: vec![
            ItemHeadRow {
                id: "item-0".into(),
                tokens: 10,
            },
            ItemHeadRow {
                id: "item-1".into(),
                tokens: 20,
            },
        ],
        listed: vec![1, 0],
        owner: NODE_1.into(),
        epoch: 300,
        ended: true,
        accepted_ms: 123_456,
        item_rows: 2,
        item_object: "object".into(),
        tenant: "tenant".into(),
        last_owner: "node-2@1a2b-0002".into(),
        ..JobHeadRow::default()
    }
}

fn header() -> JobHeadRow {
    JobHeadRow {
        challenger: "node-3@1a2b-0003".into(),
        failures: vec![ItemFailuresRow { item: 1, count: 2 }],
        takeovers: 3,
        ..earliest_header()
    }
}

/// Checks the rows that both earlier builds write.
fn check_rows(samples: &BTreeMap<&str, Vec<u8>>) {
    let item = ItemBodyRow {
        id: "item-0".into(),
        target: "/run".into(),
        headers: vec![HeaderRow {
            name: "host".into(),
            value: "host".into(),
        }],
        body: b"body".to_vec(),
        prompt: vec![PromptPartRow { id: 5, tokens: 6 }],
        prompt_tokens: 6,
        output_tokens: 4,
    };
    check(samples, "job_items", &JobItemsRow { items: vec![item] });
    let piece = ResultPieceRow {
        failed: true,
        pieces: 2,
        text: "text".into(),
    };
    check(samples, "result_piece", &piece);
    let progress = ItemProgressRow {
        last_event: 4,
        texts: vec!["one".into(), "two".into()],
        failures: 2,
        service: 0,
        version: None,
    };
    check(samples, "item_progress", &progress);
    let fence = QuotaFenceRow {
        route: "lots".into(),
        coordinator: NODE_1.into(),
    };
    check(samples, "quota_fence", &fence);
}

/// Checks messages between daemons on store rows, members, loads and crashes.
fn check_announcements(samples: &BTreeMap<&str, Vec<u8>>) {
    let row = |key: &str, revision| KnownRow {
        key: key.into(),
        value: b"{}".to_vec(),
        revision,
    };
    let zone = EvacuatedZone {
        zone: "zone".into(),
        revision: 7,
        is_over: true,
    };
    let rows = KnownRows {
        configuration: Some(row("op//config", 9)),
        replicas: vec![row("servers//i-1", 10)],
        evacuations: Some(Evacuations {
            complete_at: 8,
            zones: vec![zone],
        }),
    };
    check(samples, "known_rows", &rows);
    let record = MemberRecord {
        id: NODE_1.into(),
        udp_address: "127.1.2.3:21001".into(),
        incarnation: 7,
        state: MemberState::Leaving as i32,
        ..MemberRecord::default()
    };
    let datagram = Datagram {
        kind: DatagramKind::SyncRequest as i32,
        from: NODE_1.into(),
        records: vec![record],
        ..Datagram::default()
    };
    let kind = Some(node_datagram::Kind::Membership(datagram));
    check(samples, "membership", &NodeDatagram { kind });
    let notice = LoadNotice {
        from: "node-1".into(),
        number: 2,
        counts: vec![ReplicaCount {
            replica: 3,
            online: 4,
            batch: 5,
        }],
        proof_age_ms: 6,
        evacuations: None,
        configuration_version: 7,
    };
    let kind = Some(node_datagram::Kind::LoadNotice(notice));
    check(samples, "load_notice", &NodeDatagram { kind });
    let content = CrashedContent {
        content: 1,
        ends: vec![ReplicaEnd {
            replica: 2,
            age_ms: 3,
        }],
        cleared_ms: 4,
        clearing: 5,
    };
    check(samples, "crashed_content", &content);
}

/// Checks requests to coordinators and their replies.
fn check_coordination(samples: &BTreeMap<&str, Vec<u8>>) {
    let request = QuotaAsk {
        number: 3,
        route: "lots".into(),
        job: "job-1".into(),
        tokens: 100,
        returned: true,
        tenant: "tenant".into(),
        submission: 9,
    };
    check(samples, "quota_ask", &request);
    let reply = QuotaAnswer {
        number: 3,
        outcome: QuotaOutcome::Granted as i32,
        fence: 77,
    };
    check(samples, "quota_answer", &reply);
    let request = RateAsk {
        number: 4,
        tenant: "tenant".into(),
        wanted: 5,
        fleet_members: 6,
        fleet_seen_ms_ago: 7,
        silent: "node-2".into(),
    };
    check(samples, "rate_ask", &request);
    let grant = RateGrant {
        number: 4,
        outcome: RateOutcome::Empty as i32,
        tokens: 5,
        retry_after_ms: 6,
        coordinator: "node-1".into(),
        fleet_members: 7,
        fleet_seen_ms_ago: 8,
    };
    check(samples, "rate_grant", &grant);
    let grant = SlotGrant {
        lease: 1,
        replica: 2,
        copy_from: 3,
        load: 4,
        free_permille: 5,
        not_coordinator: true,
        come_back_ms: 6,
        counted_cold: true,
        all_cold: true,
        is_probe: true,
    };
    check(samples, "slot_grant", &grant);
    let report = SlotReport {
        holder: 1,
        held: vec![HeldSlot {
            lease: 2,
            replica: 3,
            batch: true,
            slack_ms: 4,
        }],
        released: vec![5],
        whole: Some(WholeReport {
            number: 6,
            next_lease: 7,
            awaited: vec![8],
        }),
        outcomes: vec![LeaseOutcome {
            lease: 9,
            replica: 10,
            kind: OutcomeKind::Cut as i32,
            first_event_ms: 11,
        }],
    };
    check(samples, "slot_report", &report);
}

#[test]
fn samples_of_earlier_builds_are_decoded_and_reencoded() {
    let earliest = samples(include_str!("formats/9319f89.txt"));
    let later = samples(include_str!("formats/862e326.txt"));
    for samples in [&earliest, &later] {
        check_rows(samples);
        check_announcements(samples);
        check_coordination(samples);
    }
    check(&earliest, "job_head", &earliest_header());
    check(&later, "job_head", &header());
    let updates = CrashNewsRow {
        life: NODE_1.into(),
        written_ms: 12,
        news: None,
    };
    check(&later, "crash_news_row", &updates);
}

/// Builds before level 8 know contents only: their reports name no part, and they ignore the parts of later ones.
#[test]
fn crash_reports_of_builds_before_level_8_name_no_part() {
    let samples = samples(include_str!("formats/95ad106.txt"));
    let content = CrashedContent {
        content: 1,
        ends: vec![ReplicaEnd {
            replica: 2,
            age_ms: 3,
        }],
        cleared_ms: 4,
        clearing: 5,
    };
    let reports = CrashNews {
        contents: vec![content],
        parts: Vec::new(),
    };
    check(&samples, "crash_news", &reports);
    let part = CrashedPart {
        part: 6,
        companions: vec![7],
        ..CrashedPart::default()
    };
    let with_part = CrashNews {
        parts: vec![part],
        ..reports.clone()
    };
    let bytes = encode(&with_part);
    assert!(
        bytes.starts_with(&samples["crash_news"]),
        "contents come first"
    );
}

/// Guards against an item that goes on at any software version, because its row was written by a build that doesn't say
/// which one wrote its events; and against a lease request of such a build that is bound to a version.
#[test]
fn messages_of_builds_before_level_7_name_no_software_version() {
    let samples = samples(include_str!("formats/ff2f8d9.txt"));
    let progress: ItemProgressRow = decode(&samples["item_progress"]).expect("a row");
    assert_eq!((progress.last_event, progress.version), (4, None));
    assert_eq!(encode(&progress), samples["item_progress"]);
    let ask: SlotAsk = decode(&samples["slot_ask"]).expect("a message");
    assert_eq!((ask.lease, ask.version), (2, None));
    assert_eq!(encode(&ask), samples["slot_ask"]);
    let kind = Some(node_datagram::Kind::SlotAsk(ask));
    let datagram = NodeDatagram { kind };
    check(&samples, "node_datagram_slot_ask", &datagram);
}

/// Builds before level 9 conclude from the versions that others saw where a stream began, and name how they know.
#[test]
fn stream_datagrams_of_builds_before_level_9_have_their_meaning() {
    let samples = samples(include_str!("formats/a4ab8325.txt"));
    let record = StreamRecord {
        stream: 1,
        service: 2,
        version: 3,
        remaining_ms: 4,
        known_ms: 5,
    };
    let notice = StreamNotice {
        from: NODE_1.into(),
        records: vec![record.clone()],
    };
    check(&samples, "stream_notice", &notice);
    let ask = StreamAsk {
        number: 1,
        stream: 2,
        service: 3,
    };
    check(&samples, "stream_ask", &ask);
    let answer = StreamAnswer {
        number: 1,
        record: Some(record),
        versions: vec![3],
        is_complete: true,
        proof_age_ms: 6,
    };
    check(&samples, "stream_answer", &answer);
}

/// Where streams may have begun is stored next to job headers: a build that does not know their key must not decode them as a
/// header.
#[test]
fn origin_sets_are_not_decoded_as_a_header() {
    for members in [vec![], vec![3], vec![3, 4]] {
        for is_any in [false, true] {
            let row = OriginSetRow {
                format: 1,
                subject: 2,
                members: members.clone(),
                is_any,
            };
            assert_eq!(decode_job_header(&encode(&row)), None, "{row:?}");
        }
    }
}

/// A header of a build that does not say whether failures are complete must not pass as complete.
#[test]
fn a_header_of_an_earlier_build_does_not_say_that_its_failures_are_complete() {
    for text in [
        include_str!("formats/9319f89.txt"),
        include_str!("formats/862e326.txt"),
        include_str!("formats/094e0bb.txt"),
    ] {
        let read = decode_job_header(&samples(text)["job_head"]).expect("a header");
        assert!(!read.failures_are_complete);
    }
}

/// Builds of levels 3 and 4 append the fields that they do not know to those that they know.
#[test]
fn a_header_rewritten_by_a_build_of_level_4_still_has_complete_failures() {
    let mut bytes = samples(include_str!("formats/094e0bb.txt"))["job_head"].clone();
    bytes.extend(encode(&JobHeadRow {
        failures_are_complete: true,
        ..JobHeadRow::default()
    }));
    let read = decode_job_header(&bytes).expect("a header");
    let complete = JobHeadRow {
        failures_are_complete: true,
        ..header()
    };
    assert_eq!(read, complete);
}

/// Crash reports are stored next to job headers: a build that does not know their key must not decode them as a header.
#[test]
fn crash_updates_are_not_decoded_as_a_header() {
    let later = samples(include_str!("formats/862e326.txt"));
    assert_eq!(decode_job_header(&later["crash_news_row"]), None);
}

/// Generates an unknown field: any wire type, with a number above all known ones.
fn later_field() -> impl Strategy<Value = Vec<u8>> {
    let number = 18_u32..100_000;
    let content = prop_oneof![
        any::<u64>().prop_map(|value| (0_u64, {
            let mut bytes = Vec::new();
            prost::encoding::encode_varint(value, &mut bytes);
            bytes
        })),
        any::<[u8; 8]>().prop_map(|bytes| (1, bytes.to_vec())),
        prop::collection::vec(any::<u8>(), 0..40).prop_map(|bytes| (2, {
            let mut field = Vec::new();
            prost::encoding::encode_varint(bytes.len() as u64, &mut field);
            field.extend(bytes);
            field
        })),
        any::<[u8; 4]>().prop_map(|bytes| (5, bytes.to_vec())),
    ];
    (number, content).prop_map(|(number, (kind, content))| {
        let mut field = Vec::new();
        prost::encoding::encode_varint(u64::from(number) << 3 | kind, &mut field);
        field.extend(content);
        field
    })
}

proptest! {
    /// A rewrite of a job header must keep the fields of later builds unchanged.
    #[test]
    fn unknown_fields_of_a_header_survive_a_rewrite(
        before in prop::collection::vec(later_field(), 0..4),
        after in prop::collection::vec(later_field(), 0..4),
        epoch in any::<u64>(),
    ) {
        let bytes = [before.concat(), encode(&header()), after.concat()].concat();
        let read = decode_job_header(&bytes).expect("a header");
        let rewritten = encode_job_header(&JobHeadRow { epoch, ..read });
        let read_again = decode_job_header(&rewritten).expect("a header");
        prop_assert_eq!(&read_again.later_fields, &[before.concat(), after.concat()].concat());
        let known = JobHeadRow { later_fields: Vec::new(), ..read_again };
        prop_assert_eq!(known, JobHeadRow { epoch, ..header() });
    }

    /// Decoding arbitrary bytes must not panic.
    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode_job_header(&bytes);
        let _ = decode::<NodeDatagram>(&bytes);
        let _ = decode::<KnownRows>(&bytes);
    }

    /// A datagram of an unknown kind decodes to one without a kind, which its receiver ignores.
    #[test]
    fn a_datagram_of_an_unknown_kind_has_no_kind(field in later_field()) {
        let read: Option<NodeDatagram> = decode(&field);
        prop_assert!(read.is_none_or(|datagram| datagram.kind.is_none()));
    }
}

/// The range of known field numbers must cover all fields of a header; otherwise a rewrite would duplicate them.
#[test]
fn a_header_of_this_build_has_no_unknown_fields() {
    let read = decode_job_header(&encode(&header())).expect("a header");
    assert_eq!(read, header());
}

/// Lists numbers, kinds and names of the fields of all messages, from the sources.
fn fields() -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let files = std::fs::read_dir(folder).expect("sources");
    let mut paths: Vec<_> = files.map(|file| file.expect("a file").path()).collect();
    paths.sort();
    let mut fields = String::new();
    for path in paths {
        let text = std::fs::read_to_string(path).expect("a source");
        let mut message = "";
        let mut field = "";
        for line in text.lines().map(str::trim) {
            if let Some(rest) = line.strip_prefix("#[prost(") {
                field = rest.trim_end_matches(")]");
            } else if let Some(rest) = line
                .strip_prefix("pub struct ")
                .or(line.strip_prefix("pub enum "))
            {
                message = rest.trim_end_matches(" {");
            } else if !field.is_empty() {
                let name = line.trim_start_matches("pub ").trim_end_matches(',');
                writeln!(fields, "{message}: {name}: {field}").expect("text");
                field = "";
            }
        }
    }
    fields
}

/// Builds before format level 4 reply to a space request with `KnownRows`, which must not pass as a reply.
#[test]
fn known_rows_are_not_decoded_as_a_space_reply() {
    let row = KnownRow {
        key: "op//config".into(),
        value: b"{}".to_vec(),
        revision: 7,
    };
    let rows = KnownRows {
        configuration: Some(row.clone()),
        replicas: vec![row],
        evacuations: Some(Evacuations::default()),
    };
    let reply: SpaceReply = decode(&encode(&rows)).expect("unknown fields are skipped");
    assert_eq!(reply.format, 0);
}

#[test]
fn a_changed_message_needs_samples_of_the_previous_build() {
    let known = include_str!("formats/fields.txt");
    let present = fields();
    let added: Vec<&str> = present
        .lines()
        .filter(|line| !known.contains(line))
        .collect();
    let removed: Vec<&str> = known
        .lines()
        .filter(|line| !present.contains(line))
        .collect();
    assert!(
        known == present,
        "added {added:#?}, removed {removed:#?}; see the top of this file. All fields are now:\n{present}"
    );
}
