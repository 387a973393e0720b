//! Metrics on the sources from which a daemon reads the store's spaces.

use prometheus::{IntCounterVec, IntGauge};

use crate::record::Record;
use crate::registration::Registration;

/// Counters and gauges of sources, by space.
#[derive(Debug, Clone)]
pub(crate) struct SpaceMetrics {
    relayed: IntGauge,
    reader: IntGauge,
    source_changes: IntCounterVec,
    source_failures: IntCounterVec,
    differences: IntCounterVec,
    lost_histories: IntCounterVec,
    full_reads: IntCounterVec,
    omitted_changes: IntCounterVec,
    audits: IntCounterVec,
    repairs: IntCounterVec,
}

impl SpaceMetrics {
    /// Registers the metrics; fails if a name is already taken.
    pub fn new(metrics: Registration<'_>) -> Result<Self, prometheus::Error> {
        Ok(Self {
            audits: metrics.counters(
                "harrierward_space_audits_total",
                "Logged audits of the copy of a space: the first of a turn, and those that found changes or failed",
                &["space", "outcome"],
            )?,
            repairs: metrics.counters(
                "harrierward_space_repairs_total",
                "Requests to audited peers for changes that the copy of a space lacked, by outcome",
                &["space", "outcome"],
            )?,
            full_reads: metrics.counters(
                "harrierward_space_full_reads_total",
                "Full reads of a space, by why it was read and whether the read was older than the copy",
                &["space", "reason", "outcome"],
            )?,
            lost_histories: metrics.counters(
                "harrierward_space_histories_lost_total",
                "Times that the store no longer had the changes after the copy of a space",
                &["space"],
            )?,
            omitted_changes: metrics.counters(
                "harrierward_space_omitted_changes_total",
                "Changes of rows that the feed of a space omitted, and that a full read brought",
                &["space"],
            )?,
            relayed: metrics.gauge(
                "harrierward_spaces_relayed",
                "1 if the store's spaces come from peers of the zone, 0 if they are read at the store",
            )?,
            reader: metrics.gauge(
                "harrierward_zone_reader",
                "1 if this daemon reads the store for its zone",
            )?,
            source_changes: metrics.counters(
                "harrierward_space_source_changes_total",
                "Times that a space was read from elsewhere than before",
                &["space"],
            )?,
            source_failures: metrics.counters(
                "harrierward_space_source_failures_total",
                "Times that a source of a space, the store or a peer, did not serve",
                &["space"],
            )?,
            differences: metrics.counters(
                "harrierward_space_differences_total",
                "Times that the copy of a space differed from that of the peer that is followed",
                &["space"],
            )?,
        })
    }

    /// Updates the metrics by one decision.
    pub fn observe(&self, record: &Record<'_>) {
        match record {
            Record::RelayMode {
                mode, is_reader, ..
            } => {
                self.relayed.set(i64::from(*mode == "relayed"));
                self.reader.set(i64::from(*is_reader));
            }
            Record::SpaceSource { space, .. } => {
                self.source_changes.with_label_values(&[*space]).inc();
            }
            Record::SpaceSourceFailed { space, .. } => {
                self.source_failures.with_label_values(&[*space]).inc();
            }
            Record::HistoryLost { space, .. } => {
                self.lost_histories.with_label_values(&[*space]).inc();
            }
            Record::SpaceRead {
                space,
                reason,
                outcome,
                omitted,
                ..
            } => {
                let labels = [*space, *reason, *outcome];
                self.full_reads.with_label_values(&labels).inc();
                let counter = self.omitted_changes.with_label_values(&[*space]);
                counter.inc_by(*omitted as u64);
            }
            Record::SpaceAudited { space, outcome, .. } => {
                self.audits.with_label_values(&[*space, *outcome]).inc();
            }
            Record::SpaceRepaired { space, outcome, .. } => {
                self.repairs.with_label_values(&[*space, *outcome]).inc();
            }
            Record::CopyDiffers { space, .. } => {
                self.differences.with_label_values(&[*space]).inc();
            }
            _ => {}
        }
    }
}
