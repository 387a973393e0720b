//! Rows and messages of earlier builds are read as they were meant, and written back without a loss.
//!
//! What happened: a build that did not know the failures in a job's head erased them whenever it rewrote the head, and on the way back from an
//! upgrade 10 of 500 failing items ran a fourth or fifth time. Nothing in the code knew of other builds. The files under `formats/` hold
//! what the builds that they are named after wrote; `fields.txt` holds the numbers, kinds and names of all fields.
//!
//! When the last test fails, a message has changed: add a file `formats/COMMIT.txt` with the samples as the build before the change wrote
//! them, add what is new to the samples here, bring `fields.txt` up to date with what the test prints, and `docs/decisions/upgrades.md`
//! with what older builds do.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

use harrierward_wire::*;
use proptest::prelude::*;
use prost::Message;

const NODE_1: &str = "node-1@1a2b-0001";

/// Samples of a file: bytes by name.
fn samples(text: &str) -> BTreeMap<&str, Vec<u8>> {
    text.lines()
        .map(|line| {
            let (name, hex) = line.split_once(' ').expect("a name and bytes");
            let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex");
            (name, (0..hex.len()).step_by(2).map(byte).collect())
        })
        .collect()
}

/// Reads a sample, which must be this message, and come out of a rewrite as it was.
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

fn earliest_head() -> JobHeadRow {
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

fn head() -> JobHeadRow {
    JobHeadRow {
        challenger: "node-3@1a2b-0003".into(),
        failures: vec![ItemFailuresRow { item: 1, count: 2 }],
        takeovers: 3,
        ..earliest_head()
    }
}

/// What both builds write in the same way: rows.
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
    };
    check(samples, "item_progress", &progress);
    let fence = QuotaFenceRow {
        route: "lots".into(),
        coordinator: NODE_1.into(),
    };
    check(samples, "quota_fence", &fence);
}

/// The same for what daemons tell each other of the site.
fn check_news(samples: &BTreeMap<&str, Vec<u8>>) {
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

/// The same for questions to coordinators.
fn check_coordination(samples: &BTreeMap<&str, Vec<u8>>) {
    let ask = QuotaAsk {
        number: 3,
        route: "lots".into(),
        job: "job-1".into(),
        tokens: 100,
        returned: true,
        tenant: "tenant".into(),
        submission: 9,
    };
    check(samples, "quota_ask", &ask);
    let answer = QuotaAnswer {
        number: 3,
        outcome: QuotaOutcome::Granted as i32,
        fence: 77,
    };
    check(samples, "quota_answer", &answer);
    let ask = RateAsk {
        number: 4,
        tenant: "tenant".into(),
        wanted: 5,
        fleet_members: 6,
        fleet_seen_ms_ago: 7,
        silent: "node-2".into(),
    };
    check(samples, "rate_ask", &ask);
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
fn what_earlier_builds_wrote_is_read_as_it_was_meant() {
    let earliest = samples(include_str!("formats/9319f89.txt"));
    let later = samples(include_str!("formats/862e326.txt"));
    for samples in [&earliest, &later] {
        check_rows(samples);
        check_news(samples);
        check_coordination(samples);
    }
    check(&earliest, "job_head", &earliest_head());
    check(&later, "job_head", &head());
    let news = CrashNewsRow {
        life: NODE_1.into(),
        written_ms: 12,
        news: None,
    };
    check(&later, "crash_news_row", &news);
}

/// The row of another kind that lies beside the heads: a build that does not know its key must not take it for one.
#[test]
fn news_of_ends_are_no_head() {
    let later = samples(include_str!("formats/862e326.txt"));
    assert_eq!(decode_job_header(&later["crash_news_row"]), None);
}

/// A field as a later build may write it: a number above all that are known here, of any kind.
fn later_field() -> impl Strategy<Value = Vec<u8>> {
    let number = 17_u32..100_000;
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
    /// Whatever a later build has added to a head is there after this build has rewritten it, as it was.
    #[test]
    fn later_fields_of_a_head_survive_a_rewrite(
        before in prop::collection::vec(later_field(), 0..4),
        after in prop::collection::vec(later_field(), 0..4),
        epoch in any::<u64>(),
    ) {
        let bytes = [before.concat(), encode(&head()), after.concat()].concat();
        let read = decode_job_header(&bytes).expect("a head");
        let rewritten = encode_job_header(&JobHeadRow { epoch, ..read });
        let read_again = decode_job_header(&rewritten).expect("a head");
        prop_assert_eq!(&read_again.later_fields, &[before.concat(), after.concat()].concat());
        let own = JobHeadRow { later_fields: Vec::new(), ..read_again };
        prop_assert_eq!(own, JobHeadRow { epoch, ..head() });
    }

    /// Bytes of any kind are a head or none; nothing panics.
    #[test]
    fn arbitrary_bytes_are_read_or_not(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode_job_header(&bytes);
        let _ = decode::<NodeDatagram>(&bytes);
        let _ = decode::<KnownRows>(&bytes);
    }

    /// A datagram of a kind that this build does not know is one without a kind, which its receiver passes over.
    #[test]
    fn a_datagram_of_a_later_kind_has_no_kind(field in later_field()) {
        let read: Option<NodeDatagram> = decode(&field);
        prop_assert!(read.is_none_or(|datagram| datagram.kind.is_none()));
    }
}

/// All numbers that a head knows are among those that a rewrite takes for its own.
#[test]
fn a_head_of_this_build_has_no_later_fields() {
    let read = decode_job_header(&encode(&head())).expect("a head");
    assert_eq!(read, head());
}

/// Numbers, kinds and names of the fields of all messages, as the sources have them.
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

/// Builds before level 4 answer a question for a space with the rows that they know.
#[test]
fn the_rows_of_a_build_that_does_not_know_spaces_are_no_reply() {
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
    let reply: SpaceReply = decode(&encode(&rows)).expect("unknown fields are passed over");
    assert_eq!(reply.format, 0);
}

#[test]
fn a_message_that_changes_has_samples_of_before() {
    let known = include_str!("formats/fields.txt");
    let present = fields();
    let added: Vec<&str> = present
        .lines()
        .filter(|line| !known.contains(line))
        .collect();
    let gone: Vec<&str> = known
        .lines()
        .filter(|line| !present.contains(line))
        .collect();
    assert!(
        known == present,
        "added {added:#?}, gone {gone:#?}; see the top of this file. All fields are now:\n{present}"
    );
}
