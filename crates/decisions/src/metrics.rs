//! Metrics of the decisions. A decision updates them even if its line is dropped.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};

use prometheus::{
    Encoder, Histogram, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Registry, TextEncoder,
};

use crate::record::Record;
use crate::registration::Registration;
use crate::space_metrics::SpaceMetrics;

/// Counters, gauges and histograms of one process.
#[derive(Debug, Clone)]
pub struct DecisionMetrics {
    registry: Registry,
    requests: IntCounterVec,
    unfinished_streams: IntCounterVec,
    streams_continued: IntCounterVec,
    request_seconds: Histogram,
    first_event_seconds: Histogram,
    slot_choices: IntCounterVec,
    sent_by_region: IntCounterVec,
    listed_age_seconds: Histogram,
    items_preempted: IntCounterVec,
    attempts_failed: IntCounterVec,
    refusals_by_replicas: IntCounterVec,
    items_not_placed: IntCounterVec,
    items_given_up: IntCounter,
    jobs_submitted: IntCounterVec,
    results_listed: IntCounterVec,
    listing_reads: IntCounterVec,
    header_reads: IntCounterVec,
    peer_row_requests: IntCounterVec,
    item_runs: IntCounterVec,
    job_ownership_changes: IntCounterVec,
    jobs_loaded: IntCounterVec,
    failures_reported: IntCounterVec,
    own_headers_read: IntCounterVec,
    dependencies_lost: IntCounterVec,
    configuration_version: IntGauge,
    members_alive: IntGauge,
    zones_evacuated: IntGaugeVec,
    zones_running: IntGaugeVec,
    view_sync_records: IntCounter,
    stalled_connections_closed: IntCounter,
    bodies_refused: IntCounterVec,
    connections_refused: IntCounter,
    responses_unread: IntCounter,
    jobs_without_memory: IntCounter,
    reads_without_memory: IntCounter,
    lines_dropped: IntGauge,
    rate_refusals: IntCounterVec,
    rate_fallbacks: IntCounterVec,
    tenant_refusals: IntCounterVec,
    cold_replicas: IntGaugeVec,
    cold_paced: IntCounterVec,
    replica_status_changes: IntCounterVec,
    replicas_ejected: IntGauge,
    replica_crashes: IntCounterVec,
    replicas_rejected: IntGauge,
    job_rows_rejected: IntGauge,
    contents_quarantined: IntGauge,
    spaces: SpaceMetrics,
    tenants: Arc<Mutex<BTreeSet<String>>>,
}

/// Tenants with a label of their own; the others share one, so that the cardinality stays bounded.
const MAX_LABELLED_TENANTS: usize = 256;

/// Label shared by all further tenants.
const OTHER_TENANTS: &str = "(other)";

/// Outcomes of runs with a label of their own; all others are free-text causes and share the label `broken`.
const RUN_OUTCOMES: [&str; 5] = [
    "finished",
    "unproven end",
    "failed",
    "impossible",
    "yielded to online",
];

impl DecisionMetrics {
    /// Registers the metrics in a registry of their own; fails if two have one name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let metrics = Registration::new(&registry);
        Ok(Self {
            requests: metrics.counters(
                "harrierward_requests_total",
                "Requests by outcome: whole, cut, or the cause of a refusal",
                &["outcome"],
            )?,
            unfinished_streams: metrics.counters(
                "harrierward_unfinished_streams_total",
                "Responses that ended within an event, by outcome and the delimiter of the replica's body",
                &["outcome", "delimiter"],
            )?,
            streams_continued: metrics.counters(
                "harrierward_streams_continued_total",
                "Streams and items that go on after events, or are refused, by whether the version that began them is known and that of the replica",
                &["step", "version"],
            )?,
            request_seconds: metrics.latencies(
                "harrierward_request_seconds",
                "Time from a request's arrival to the end of its answer",
            )?,
            first_event_seconds: metrics.latencies(
                "harrierward_first_event_seconds",
                "Time from a request's arrival to the first bytes of its answer's body",
            )?,
            slot_choices: metrics.counters(
                "harrierward_places_total",
                "SlotLeases at replicas, by who chose the replica",
                &["chosen_by"],
            )?,
            sent_by_region: metrics.counters(
                "harrierward_sent_by_region_total",
                "Requests sent to replicas, by region of the replica and why it is not the daemon's own region",
                &["region", "left_region"],
            )?,
            listed_age_seconds: metrics.latencies(
                "harrierward_replica_listed_age_seconds",
                "Age of the last audit that confirmed the replicas' rows, when a request was sent",
            )?,
            items_preempted: metrics.counters(
                "harrierward_item_ends_ordered_total",
                "Batch items that this daemon, as the coordinator of a replica, ended for online requests",
                &["of_peer"],
            )?,
            attempts_failed: metrics.counters(
                "harrierward_attempts_failed_total",
                "Attempts at replicas that failed, by whether they may have run",
                &["not_run"],
            )?,
            refusals_by_replicas: metrics.counters(
                "harrierward_refusals_by_replicas_total",
                "Requests that replicas refused without running them, by what this daemon concluded",
                &["concluded"],
            )?,
            items_not_placed: metrics.counters(
                "harrierward_items_not_placed_total",
                "Batch items that were to be started and found no free slot, by service",
                &["service"],
            )?,
            items_given_up: metrics.counter(
                "harrierward_items_given_up_total",
                "Batch items given up after their route's limit, since no replica can be expected to run them",
            )?,
            jobs_submitted: metrics.counters(
                "harrierward_jobs_submitted_total",
                "Batch jobs submitted, by outcome",
                &["outcome"],
            )?,
            results_listed: metrics.counters(
                "harrierward_results_listed_total",
                "Writes that list results, by outcome",
                &["outcome"],
            )?,
            listing_reads: metrics.counters(
                "harrierward_listings_asked_total",
                "Reads of results that the copy of the job's head could not answer alone, by what the store said",
                &["outcome"],
            )?,
            header_reads: metrics.counters(
                "harrierward_header_reads_total",
                "Reads of a job's header on which a denial or an owner's right may rest, by kind of call and outcome",
                &["source", "outcome"],
            )?,
            peer_row_requests: metrics.counters(
                "harrierward_peers_asked_total",
                "Rounds in which a daemon that could not serve yet asked peers for their rows, by outcome",
                &["outcome"],
            )?,
            item_runs: metrics.counters(
                "harrierward_item_runs_total",
                "Runs of items of batch jobs, by outcome",
                &["outcome"],
            )?,
            job_ownership_changes: metrics.counters(
                "harrierward_job_ownership_changes_total",
                "Changes of the owner of a job at this daemon, by kind",
                &["outcome"],
            )?,
            jobs_loaded: metrics.counters(
                "harrierward_jobs_loaded_total",
                "Adopted jobs that were loaded, by whether the store holds all failed runs of their items",
                &["failure_history"],
            )?,
            failures_reported: metrics.counters(
                "harrierward_failures_reported_total",
                "Reports of failed runs that the store may not hold, by job and direction",
                &["outcome"],
            )?,
            own_headers_read: metrics.counters(
                "harrierward_own_headers_read_total",
                "Headers of own jobs that the store had newer than the watch, or that could not be read",
                &["outcome"],
            )?,
            dependencies_lost: metrics.counters(
                "harrierward_dependencies_lost_total",
                "Times that contact to a dependency was lost",
                &["dependency"],
            )?,
            configuration_version: metrics.gauge(
                "harrierward_configuration_version",
                "Version of the configuration in force",
            )?,
            members_alive: metrics.gauge(
                "harrierward_members_alive",
                "Daemons that this one holds alive, itself included",
            )?,
            zones_evacuated: metrics.gauges(
                "harrierward_zone_evacuated",
                "1 for a zone that this daemon knows to be evacuated, 0 for one that is back",
                &["zone"],
            )?,
            zones_running: metrics.gauges(
                "harrierward_evacuated_zone_requests",
                "Requests and items of this daemon still in progress in an evacuated zone",
                &["zone"],
            )?,
            view_sync_records: metrics.counter(
                "harrierward_view_sync_records_total",
                "Records of members that peers sent because this daemon's view differed from theirs",
            )?,
            bodies_refused: metrics.counters(
                "harrierward_bodies_refused_total",
                "Requests whose body was not read to its end and which did not run, by cause",
                &["cause"],
            )?,
            jobs_without_memory: metrics.counter(
                "harrierward_jobs_without_memory_total",
                "Batch jobs whose items were read later, once other jobs had returned memory",
            )?,
            reads_without_memory: metrics.counter(
                "harrierward_reads_without_memory_total",
                "Reads of results or of items' bodies refused, since there was no memory for what they would read",
            )?,
            connections_refused: metrics.counter(
                "harrierward_connections_refused_total",
                "Connections of callers refused, since as many as allowed were in use",
            )?,
            responses_unread: metrics.counter(
                "harrierward_responses_unread_total",
                "Connections closed for others, since their callers did not take the response",
            )?,
            stalled_connections_closed: metrics.counter(
                "harrierward_connections_silent_total",
                "Kept connections closed because an exchange with their peer fell silent",
            )?,
            lines_dropped: metrics.gauge(
                "harrierward_log_lines_dropped",
                "Log lines dropped since the start",
            )?,
            rate_refusals: metrics.counters(
                "harrierward_rate_refusals_total",
                "Requests that their tenant's rate did not admit, by what the coordinator said",
                &["outcome"],
            )?,
            rate_fallbacks: metrics.counters(
                "harrierward_rate_stand_ins_total",
                "Questions of daemons to which a tenant's coordinator is silent, by what became of them here",
                &["outcome"],
            )?,
            tenant_refusals: metrics.counters(
                "harrierward_tenant_refusals_total",
                "Requests refused for their tenant's rate, by tenant",
                &["tenant"],
            )?,
            cold_replicas: metrics.gauges(
                "harrierward_cold_replicas",
                "Replicas that this daemon takes for cold, by zone",
                &["zone"],
            )?,
            cold_paced: metrics.counters(
                "harrierward_cold_paced_total",
                "Requests for cold replicas that this daemon, as their coordinator, counted or turned away",
                &["outcome"],
            )?,
            replica_status_changes: metrics.counters(
                "harrierward_replica_standings_total",
                "Replicas that this daemon, as their coordinator, ejected, spared, probed, took back, or gave less work",
                &["outcome"],
            )?,
            replicas_ejected: metrics.gauge(
                "harrierward_replicas_ejected",
                "Replicas that this daemon, as their coordinator, keeps out of service",
            )?,
            replica_crashes: metrics.counters(
                "harrierward_replicas_ended_total",
                "Replicas that ended while requests of this daemon were in progress there, by how that is known",
                &["known_by"],
            )?,
            replicas_rejected: metrics.gauge(
                "harrierward_replica_entries_rejected",
                "Entries of replicas since the start that could not be read, as last told",
            )?,
            job_rows_rejected: metrics.gauge(
                "harrierward_job_rows_rejected",
                "Rows among the job headers since the start that could not be read, as last logged",
            )?,
            contents_quarantined: metrics.gauge(
                "harrierward_contents_held",
                "Contents that are held back since replicas ended under them",
            )?,
            spaces: SpaceMetrics::new(metrics)?,
            tenants: Arc::default(),
            registry,
        })
    }

    /// Returns the label of a tenant: its name, or the shared label beyond the bound.
    fn tenant_label<'a>(&self, tenant: &'a str) -> &'a str {
        let mut tenants = self.tenants.lock().unwrap_or_else(PoisonError::into_inner);
        if tenants.contains(tenant) {
            return tenant;
        }
        if tenants.len() >= MAX_LABELLED_TENANTS {
            return OTHER_TENANTS;
        }
        tenants.insert(tenant.to_owned());
        tenant
    }

    fn set_ejected(&self, ejected: u64) {
        let ejected = i64::try_from(ejected).unwrap_or(i64::MAX);
        self.replicas_ejected.set(ejected);
    }

    /// Updates the metrics by one decision.
    pub fn observe(&self, record: &Record<'_>) {
        match record {
            Record::BodyRefused { cause, .. } => {
                self.bodies_refused.with_label_values(&[*cause]).inc();
            }
            Record::ConnectionRefused { .. } => self.connections_refused.inc(),
            Record::ResponseUnread { .. } => self.responses_unread.inc(),
            Record::JobWaitsForMemory { .. } => self.jobs_without_memory.inc(),
            Record::ReadWithoutMemory { .. } => self.reads_without_memory.inc(),
            Record::Ended {
                outcome,
                body,
                after_ms,
                first_event_ms,
                ..
            } => {
                self.requests.with_label_values(&[*outcome]).inc();
                if body.unfinished_bytes > 0 {
                    let labels = [*outcome, body.delimiter];
                    self.unfinished_streams.with_label_values(&labels).inc();
                }
                if let Some(first) = first_event_ms {
                    let seconds = std::time::Duration::from_millis(*first).as_secs_f64();
                    self.first_event_seconds.observe(seconds);
                }
                let seconds = std::time::Duration::from_millis(*after_ms).as_secs_f64();
                self.request_seconds.observe(seconds);
            }
            Record::Refused { cause, .. } => self.requests.with_label_values(&[*cause]).inc(),
            Record::RateRefused {
                outcome, tenant, ..
            } => {
                self.rate_refusals.with_label_values(&[*outcome]).inc();
                let label = self.tenant_label(tenant);
                self.tenant_refusals.with_label_values(&[label]).inc();
            }
            Record::RateStoodIn { outcome, .. } => {
                self.rate_fallbacks.with_label_values(&[*outcome]).inc();
            }
            Record::StreamContinued {
                step,
                began_at,
                version,
                ..
            } => {
                let label = match began_at {
                    None => "unknown",
                    Some(began_at) if began_at == version => "same",
                    Some(_) => "other",
                };
                let labels = [*step, label];
                self.streams_continued.with_label_values(&labels).inc();
            }
            Record::AttemptFailed { not_run, .. } => {
                let label = if *not_run { "true" } else { "false" };
                self.attempts_failed.with_label_values(&[label]).inc();
            }
            Record::RefusedByReplica { concluded, .. } => {
                self.refusals_by_replicas
                    .with_label_values(&[*concluded])
                    .inc();
            }
            Record::ItemNotPlaced { service, .. } => {
                self.items_not_placed.with_label_values(&[*service]).inc();
            }
            Record::ItemGivenUp { .. } => self.items_given_up.inc(),
            Record::Sent {
                chosen_by,
                region,
                left_region,
                listed_age_ms,
                ..
            } => {
                if let Some(age) = listed_age_ms {
                    let seconds = std::time::Duration::from_millis(*age).as_secs_f64();
                    self.listed_age_seconds.observe(seconds);
                }
                self.slot_choices.with_label_values(&[*chosen_by]).inc();
                let why = left_region.unwrap_or("");
                self.sent_by_region.with_label_values(&[*region, why]).inc();
            }
            Record::ItemEndOrdered { of_peer, .. } => {
                let label = if *of_peer { "true" } else { "false" };
                self.items_preempted.with_label_values(&[label]).inc();
            }
            Record::JobSubmitted { outcome, .. } => {
                self.jobs_submitted.with_label_values(&[*outcome]).inc();
            }
            Record::ResultsListed { outcome, .. } => {
                self.results_listed.with_label_values(&[*outcome]).inc();
            }
            Record::ListingAsked { outcome, .. } => {
                self.listing_reads.with_label_values(&[*outcome]).inc();
            }
            Record::HeaderRead {
                source, outcome, ..
            } => {
                self.header_reads
                    .with_label_values(&[*source, *outcome])
                    .inc();
            }
            Record::PeersAsked { outcome, .. } => {
                self.peer_row_requests.with_label_values(&[*outcome]).inc();
            }
            Record::ItemRun { outcome, .. } => {
                let known = RUN_OUTCOMES.iter().find(|known| *known == outcome);
                let label = known.copied().unwrap_or("broken");
                self.item_runs.with_label_values(&[label]).inc();
            }
            Record::JobOwnership { outcome, .. } => {
                self.job_ownership_changes
                    .with_label_values(&[*outcome])
                    .inc();
            }
            Record::JobLoaded {
                failure_history, ..
            } => {
                self.jobs_loaded
                    .with_label_values(&[*failure_history])
                    .inc();
            }
            Record::FailuresReported { outcome, .. } => {
                self.failures_reported.with_label_values(&[*outcome]).inc();
            }
            Record::OwnHeadersRead { newer, failed, .. } => {
                for (outcome, count) in [("newer", newer), ("failed", failed)] {
                    let counter = self.own_headers_read.with_label_values(&[outcome]);
                    counter.inc_by(*count as u64);
                }
            }
            Record::DependencyLost { dependency, .. } => {
                self.dependencies_lost
                    .with_label_values(&[*dependency])
                    .inc();
            }
            Record::ReplicaRejected { rejected, .. } => {
                self.replicas_rejected
                    .set(i64::try_from(*rejected).unwrap_or(i64::MAX));
            }
            Record::JobRowRejected { rejected, .. } => {
                self.job_rows_rejected
                    .set(i64::try_from(*rejected).unwrap_or(i64::MAX));
            }
            Record::ReplicaEnded { known_by, .. } => {
                self.replica_crashes.with_label_values(&[*known_by]).inc();
            }
            Record::ContentHeld { held, .. } | Record::PartHeld { held, .. } => {
                self.contents_quarantined
                    .set(i64::try_from(*held).unwrap_or(i64::MAX));
            }
            Record::ConnectionsSilent { closed, .. } => {
                self.stalled_connections_closed.inc_by(*closed as u64);
            }
            Record::ConfigurationInForce { version, .. } => {
                let version = i64::try_from(*version).unwrap_or(i64::MAX);
                self.configuration_version.set(version);
            }
            Record::MembersChanged { alive, .. } => {
                let alive = i64::try_from(*alive).unwrap_or(i64::MAX);
                self.members_alive.set(alive);
            }
            Record::ZoneEvacuation { zone, state, .. } if *state != "ignored" => {
                let is_evacuated = i64::from(*state == "evacuated");
                self.zones_evacuated
                    .with_label_values(&[*zone])
                    .set(is_evacuated);
            }
            Record::ZoneRunning { zone, running } => {
                self.zones_running
                    .with_label_values(&[*zone])
                    .set(i64::from(*running));
            }
            Record::ZoneWarmth { zone, cold, .. } => {
                let cold = i64::try_from(*cold).unwrap_or(i64::MAX);
                self.cold_replicas.with_label_values(&[*zone]).set(cold);
            }
            Record::ColdCounted { .. } => {
                self.cold_paced.with_label_values(&["counted"]).inc();
            }
            Record::ColdTurnedAway { requests, .. } => {
                let counter = self.cold_paced.with_label_values(&["turned away"]);
                counter.inc_by(u64::from(*requests));
            }
            Record::ReplicaStanding {
                outcome, ejected, ..
            } => {
                self.replica_status_changes
                    .with_label_values(&[*outcome])
                    .inc();
                self.set_ejected(*ejected);
            }
            Record::EjectionsDropped { ejected, .. } => self.set_ejected(*ejected),
            Record::ViewSynced { records, .. } => {
                self.view_sync_records.inc_by(*records as u64);
            }
            Record::LinesDropped { lines } => {
                let lines = i64::try_from(*lines).unwrap_or(i64::MAX);
                self.lines_dropped.add(lines);
            }
            other => self.spaces.observe(other),
        }
    }

    /// Returns all metrics in Prometheus' text format.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // A metric that cannot be encoded must not hide the others.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
