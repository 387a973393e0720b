//! Recording never blocks, failures are dropped last, and dropped lines are counted.

use harrierward_decisions::{BodySummary, DecisionLog, DecisionMetrics, LogBounds, Record};

fn ended(request: &str) -> Record<'_> {
    Record::Ended {
        request,
        status: 200,
        outcome: "whole",
        body: BodySummary {
            delimiter: "chunks",
            bytes: 60,
            events: 1,
            unfinished_bytes: 0,
        },
        attempts: 1,
        first_event_ms: Some(4),
        after_ms: 30,
    }
}

fn refused(request: &str) -> Record<'_> {
    Record::Refused {
        tenant: None,
        configuration_age_ms: None,
        retry_after_ms: None,
        request,
        status: 503,
        cause: "full",
        version: 7,
        after_ms: 2,
    }
}

#[test]
fn metric_names_are_unique() {
    assert!(DecisionMetrics::new().is_ok());
}

#[tokio::test]
async fn metrics_count_decisions_whose_lines_are_dropped() {
    let log = DecisionLog::new(LogBounds {
        ordinary_per_second: 3,
        ..LogBounds::default()
    });
    for _ in 0..20 {
        log.record(&ended("a"));
    }
    let text = String::from_utf8(log.metrics_text()).expect("text");
    assert!(
        text.contains("harrierward_requests_total{outcome=\"whole\"} 20"),
        "{text}"
    );
    assert_eq!(log.queued_lines(), 3);
    assert_eq!(log.dropped_lines(), 17);
}

#[tokio::test]
async fn failures_are_queued_where_ordinary_lines_are_dropped() {
    let log = DecisionLog::new(LogBounds {
        ordinary_per_second: 1_000,
        queue_bytes: 2_000,
        ..LogBounds::default()
    });
    for _ in 0..100 {
        log.record(&ended("a"));
    }
    let before = log.queued_lines();
    log.record(&ended("b"));
    assert_eq!(
        log.queued_lines(),
        before,
        "ordinary lines fill half of the queue only"
    );
    log.record(&refused("c"));
    assert_eq!(log.queued_lines(), before + 1);
}

/// The cardinality of metrics stays bounded however many tenants there are.
#[test]
fn tenants_beyond_the_bound_share_a_label() {
    let log = DecisionLog::new(LogBounds::default());
    for number in 0..400 {
        log.record(&Record::RateRefused {
            request: "r",
            tenant: &format!("tenant-{number}"),
            coordinator: "node",
            outcome: "at the limit",
            share_permille: 1_000,
            asked_ms: 1,
        });
    }
    let text = String::from_utf8(log.metrics_text()).expect("text");
    let lines = text
        .lines()
        .filter(|line| line.starts_with("harrierward_tenant_refusals_total{"));
    assert_eq!(lines.count(), 257);
    assert!(text.contains("harrierward_tenant_refusals_total{tenant=\"(other)\"} 144"));
}

#[tokio::test]
async fn cold_replicas_are_counted_by_zone_with_their_requests() {
    let log = DecisionLog::new(LogBounds::default());
    for (cold, before) in [(30, 0), (7, 30)] {
        log.record(&Record::ZoneWarmth {
            zone: "zone-a",
            cold,
            before,
            longest_ms: 900,
        });
    }
    log.record(&Record::ColdCounted {
        replica: "one",
        zone: "zone-a",
        cold_ms: 900,
        share_permille: 1_000,
    });
    log.record(&Record::ColdTurnedAway {
        requests: 5,
        share_permille: 1_000,
    });
    let text = String::from_utf8(log.metrics_text()).expect("text");
    for line in [
        "harrierward_cold_replicas{zone=\"zone-a\"} 7",
        "harrierward_cold_paced_total{outcome=\"counted\"} 1",
        "harrierward_cold_paced_total{outcome=\"turned away\"} 5",
    ] {
        assert!(text.contains(line), "{line} in {text}");
    }
}

/// The console writes this report among the records, so it must be a complete line of the decision log.
#[test]
fn dropped_lines_are_reported_in_a_separate_line() {
    let line = harrierward_decisions::dropped_record(7);
    let record: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    assert_eq!(record["event"], "lines_dropped");
    assert_eq!(record["lines"], 7);
    assert!(line.ends_with('\n'));
}
