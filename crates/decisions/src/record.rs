//! The typed records of the decision log.

use serde::Serialize;

/// Priority of a record's line when lines have to be dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Importance {
    /// The normal course of a request; limited per second, and to a part of the queue.
    Ordinary,
    /// A change of the process's state or of what it knows; limited to the same part of the queue.
    Change,
    /// A request or item that failed or was refused; may use the whole queue.
    Failure,
}

/// What was received of a response body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct BodySummary {
    /// How the sender marks its end: `length`, `chunks` or `close` (of the connection).
    pub delimiter: &'static str,
    /// Bytes received.
    pub bytes: u64,
    /// Complete events received; 0 if the body is not an event stream.
    pub events: u64,
    /// Bytes received of an event that has not ended.
    pub unfinished_bytes: u64,
}

/// A request in progress at a replica when it crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RequestAtCrash {
    /// Digest of the request.
    pub content: String,
    /// Ids of the prompt's parts that other requests may share.
    pub parts: Vec<String>,
}

/// One decision. The snake_case name of the variant is the `event` of its line, the fields are its keys. Times and ages
/// are in milliseconds.
#[derive(Debug, Clone, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Record<'a> {
    /// The process started.
    Started {
        /// Member id of this daemon instance.
        member: &'a str,
        /// Zone that the daemon runs in.
        zone: &'a str,
        /// Version of the program.
        version: &'a str,
        /// Format level of the rows and messages that this build writes.
        format: u32,
        /// Policy mechanisms that are switched off; empty in production.
        without: &'a str,
    },
    /// A planned stop of the process began.
    Stopping {
        /// Requests in progress.
        in_progress: usize,
    },
    /// Connections of callers cannot be accepted; logged once until one is accepted again.
    AcceptFailed {
        /// Error of the operating system.
        cause: &'a str,
        /// Open connections of callers.
        connections: usize,
    },
    /// A connection of a caller is refused: as many as allowed are open, none is idle, and no body or response of them
    /// has stalled.
    ConnectionRefused {
        /// Open connections of callers.
        connections: usize,
    },
    /// A connection is closed since its caller doesn't take the response and others need its memory or its place.
    ResponseUnread {
        /// Bytes that the kernel has taken from the connection.
        sent_bytes: u64,
        /// Open connections of callers.
        connections: usize,
    },
    /// The kernel's receive buffers of callers' connections can't be bounded.
    ReceiveBufferUnbounded {
        /// Error of the operating system.
        cause: &'a str,
    },
    /// A request's body is not read to its end, and the request has not run.
    BodyRefused {
        /// Request id; empty if it names none.
        request: &'a str,
        /// `too_large`, `unreadable`, `too_slow` or `no_memory`.
        cause: &'static str,
        /// Bytes that all requests hold of the memory for them.
        held_bytes: usize,
        /// Open connections of callers.
        connections: usize,
    },
    /// A response that its caller had begun to receive can't be completed, and its connection is aborted.
    ResponseCutOff {
        /// Request id; empty if the service names none.
        request: &'a str,
        /// How the end of a whole response would be marked for the caller: `length`, `chunks` or `close` (of the
        /// connection, which is reset instead).
        delimiter: &'static str,
        /// Why it can't be completed.
        cause: &'a str,
    },
    /// Whether the close of a caller's connection resets it can't be changed, so that a response which only the close
    /// delimits may seem complete when it is cut off; logged once.
    LingerFailed {
        /// Error of the operating system.
        cause: &'a str,
    },
    /// A step of a planned stop is complete.
    StopStep {
        /// `jobs handed over`, `listener closed` or `requests answered`.
        step: &'a str,
        /// Time since the signal.
        after_ms: u64,
        /// Requests in progress.
        in_progress: usize,
        /// Open connections of callers.
        connections: usize,
    },
    /// The process exits after a planned stop.
    Stopped {
        /// Requests aborted by the stop.
        cut_off: usize,
        /// Time since the signal.
        after_ms: u64,
    },
    /// The settings were read again.
    Reloaded {
        /// `read`, or the error.
        outcome: &'a str,
    },
    /// The source from which a space of the store is read has changed.
    SpaceSource {
        /// Name of the space.
        space: &'a str,
        /// `store`, or the id of the peer whose copy is followed.
        source: &'a str,
        /// The previous source; empty if there was none.
        before: &'a str,
        /// Revision of this daemon's copy.
        revision: u64,
        /// Age of the copy's freshness proof; `None` without one.
        proof_age_ms: Option<u64>,
    },
    /// A source of a space failed, and is skipped during its cooldown.
    SpaceSourceFailed {
        /// Name of the space.
        space: &'a str,
        /// `store`, or the id of the peer.
        source: &'a str,
        /// Kind of failure or the error.
        cause: &'a str,
    },
    /// The copy of a space differs from that of the followed peer at the same revision, and is read in full again.
    CopyDiffers {
        /// Name of the space.
        space: &'a str,
        /// Revision of both copies.
        revision: u64,
    },
    /// The store no longer has the changes after this daemon's copy of a space, which is read in full again.
    HistoryLost {
        /// Name of the space.
        space: &'a str,
        /// Revision of the copy.
        revision: u64,
        /// Age of the copy's freshness proof; `None` without one.
        proof_age_ms: Option<u64>,
    },
    /// A space was read in full.
    SpaceRead {
        /// Name of the space.
        space: &'a str,
        /// `start`, `history lost`, `difference` (to a peer's copy) or `periodic`.
        reason: &'a str,
        /// `applied`, or `behind`: the read was older than the copy and was discarded.
        outcome: &'a str,
        /// `store`, or the id of the peer that replied; empty if the read was discarded.
        source: &'a str,
        /// Revision of the copy before the read.
        revision_before: u64,
        /// Revision of the copy after the read.
        revision: u64,
        /// Rows that the copy lacked or had in an older state.
        written: usize,
        /// Those of them whose changes the feed had omitted.
        omitted: usize,
        /// Rows that are gone.
        removed: usize,
        /// Duration of the read.
        after_ms: u64,
    },
    /// This daemon compared its copy of a space with the store's current state. Audits that find nothing are logged once
    /// their turn comes here, after a failure, and of the first read of a space.
    SpaceAudited {
        /// Name of the space.
        space: &'a str,
        /// `unchanged`, `changed` (the copy lacked changes) or `failed`.
        outcome: &'a str,
        /// Rows of the copy.
        rows: usize,
        /// Rows that had changed in the store.
        changes: usize,
        /// Time since the last audit that this daemon knows of; 0 for the first read.
        last_ms: u64,
        /// Duration of the check.
        after_ms: u64,
        /// Error of a failed check; absent otherwise.
        #[serde(skip_serializing_if = "Option::is_none")]
        cause: Option<String>,
    },
    /// This daemon's copy of a space differed from one that a peer had audited, and the peer was asked for the changes.
    SpaceRepaired {
        /// Name of the space.
        space: &'a str,
        /// Id of the peer.
        peer: &'a str,
        /// `equal` (the copies are equal now), `differs` or `no reply`.
        outcome: &'a str,
        /// True if the feed had passed the last change; false if it was behind.
        omitted: bool,
        /// Revision of the copy.
        revision: u64,
        /// Changes received from the peer.
        changes: usize,
        /// Time since the last audit to which the copy was equal; absent if there was none.
        #[serde(skip_serializing_if = "Option::is_none")]
        confirmed_ms: Option<u64>,
    },
    /// Whether this daemon reads the store directly or follows a peer of its zone.
    RelayMode {
        /// `direct` or `relayed`.
        mode: &'a str,
        /// Members of the zone that can be followed.
        zone_members: usize,
        /// True if this daemon reads the store for its zone.
        is_reader: bool,
    },
    /// A newer configuration was put in force.
    ConfigurationInForce {
        /// Version of the configuration.
        version: u64,
        /// `store` or `peer`.
        source: &'a str,
        /// Number of its routes.
        routes: usize,
    },
    /// A replica was added, changed its state or was removed.
    ReplicaChanged {
        /// Replica id.
        replica: &'a str,
        /// New state; `gone` if its row was removed.
        state: &'a str,
        /// Revision of the row; of its last state if it was removed.
        revision: u64,
        /// `store`, or the id of the peer that sent the row.
        source: &'a str,
        /// `feed`, `full read`, `audit` or `repair`.
        reading: &'a str,
        /// True if the feed had omitted the change and named a later revision; false where that isn't known, as of a row
        /// that is gone.
        omitted: bool,
        /// Age of the freshness proof that this daemon had before; `None` without one.
        proof_age_ms: Option<u64>,
        /// Requests and batch items of this daemon in progress there.
        running: u32,
    },
    /// A replica's row is malformed and is ignored. Logged at most once per second.
    ReplicaRejected {
        /// Key of the row.
        entry: &'a str,
        /// Revision of the row.
        revision: u64,
        /// What is malformed in it.
        cause: &'a str,
        /// Rows rejected since the process started.
        rejected: u64,
    },
    /// An operator has evacuated a zone or returned it to service.
    ZoneEvacuation {
        /// Zone name.
        zone: &'a str,
        /// `evacuated`, `returned`, or `ignored`: too many other zones are evacuated.
        state: &'a str,
        /// Revision of the row that evacuates the zone.
        revision: u64,
        /// `store`, the id of the peer that announced it, or `peer` if it came with rows requested from peers.
        source: &'a str,
        /// Age of the proof that this daemon has the store's newest rows; `None` without one.
        proof_age_ms: Option<u64>,
        /// Requests of this daemon in progress in the zone.
        running: u32,
        /// True if the settings name the zone.
        is_known: bool,
    },
    /// An exchange stalled and was aborted; older connections kept to the same peer were closed.
    ConnectionsSilent {
        /// Address of the peer.
        peer: &'a str,
        /// Connections closed besides the exchange's own.
        closed: usize,
        /// Time without any byte from the peer.
        silent_ms: u64,
    },
    /// A coordinator granted a slot at a replica that this daemon must not use; the daemon chose another by itself.
    LeaseOverruled {
        /// Replica that was granted.
        replica: &'a str,
        /// Why the replica must not be used.
        reason: &'a str,
    },
    /// The number of this daemon's requests in progress in an evacuated zone has changed.
    ZoneRunning {
        /// Zone name.
        zone: &'a str,
        /// Requests and batch items in progress.
        running: u32,
    },
    /// A daemon without contact to the store requested a newer configuration from a peer.
    PeerAsked {
        /// Address of the peer.
        peer: &'a str,
        /// Version of the configuration that the peer announced.
        version: u64,
        /// `answered` or `no answer`.
        outcome: &'a str,
    },
    /// A replica is avoided for a while.
    ReplicaSuspected {
        /// Replica id.
        replica: &'a str,
        /// Cause.
        cause: &'a str,
    },
    /// A replica crashed while requests of this daemon were in progress there.
    ReplicaEnded {
        /// Replica id.
        replica: &'a str,
        /// `refused` (connections to its address are refused), `gone` (its row was removed) or `peer` (another daemon
        /// reported it).
        known_by: &'a str,
        /// Contents that this daemon had in progress there.
        contents: usize,
        /// The first of these contents, with the shared parts of their prompts.
        in_progress: &'a [RequestAtCrash],
        /// Time since the first connection broke.
        after_ms: u64,
    },
    /// A content was quarantined because replicas crashed under it, or was released.
    ContentHeld {
        /// Digest of path, caller and body.
        content: &'a str,
        /// `held` (quarantined), `released` (by an operator) or `cleared` (it completed, or another content is the
        /// cause).
        outcome: &'a str,
        /// Source of the news: `crash` or `response` (observed by this daemon), `peer`, `store`, `operator`, or `expiry`.
        source: &'a str,
        /// Replicas that crashed under it.
        ends: usize,
        /// Time since the first of these crashes.
        since_ms: u64,
        /// Remaining time of the quarantine.
        hold_ms: u64,
        /// Contents and parts in quarantine now.
        held: usize,
    },
    /// A shared part of prompts was quarantined because replicas crashed under requests with it, or was released.
    PartHeld {
        /// Id of the part.
        part: &'a str,
        /// As in [`Self::ContentHeld`].
        outcome: &'a str,
        /// As in [`Self::ContentHeld`].
        source: &'a str,
        /// Replicas that crashed under requests with it.
        ends: usize,
        /// Number of these crashes that this daemon observed.
        own_ends: usize,
        /// Only requests that have these parts too are held: each crash had all of them.
        companions: &'a [String],
        /// Time since the first of these crashes.
        since_ms: u64,
        /// Time since the last of these crashes.
        last_end_ms: u64,
        /// Remaining time of the quarantine.
        hold_ms: u64,
        /// Contents and parts in quarantine now.
        held: usize,
    },
    /// The machine was suspended; ages of proofs, grants and deadlines include that time.
    Suspended {
        /// Length of the suspension.
        suspended_ms: u64,
    },
    /// Contact to a dependency was lost.
    DependencyLost {
        /// Name of the dependency, such as `slot coordinator` or a space of the store.
        dependency: &'a str,
        /// Error, or the id of the peer.
        cause: &'a str,
    },
    /// Contact to a dependency is restored.
    DependencyRegained {
        /// Same as in the record of its loss.
        dependency: &'a str,
        /// Time without contact.
        away_ms: u64,
    },
    /// The replicas were read for the first time; later changes are logged one by one.
    ReplicasRead {
        /// Replicas that accept new work.
        ready: usize,
        /// Replicas that drain.
        draining: usize,
        /// `store` or `peer`.
        source: &'a str,
    },
    /// A daemon without configuration or replicas requested them from some peers.
    PeersAsked {
        /// Peers that are eligible for the request.
        peers: usize,
        /// Replicas in the reply.
        replicas: usize,
        /// Time since the first request.
        after_ms: u64,
        /// `rows`, or `none`.
        outcome: &'a str,
    },
    /// The set of members that this daemon considers alive has changed.
    MembersChanged {
        /// Members alive, this one included.
        alive: usize,
        /// Members added since the last such record.
        joined: usize,
        /// Members removed since the last such record.
        gone: usize,
        /// Digest of the view: daemons that log the same digest have the same members.
        view: u64,
    },
    /// A peer sent full buckets of its view because this daemon's view differed.
    ViewSynced {
        /// Member id.
        peer: &'a str,
        /// Member records received.
        records: usize,
        /// Members in the peer's view.
        peer_members: u32,
    },
    /// A request whose objective had passed on arrival was placed, after those that could still be in time.
    OverduePlaced {
        /// Request id.
        request: &'a str,
        /// Time it waited for a slot.
        waited_ms: u64,
    },
    /// A request was sent to a replica.
    Sent {
        /// Request id.
        request: &'a str,
        /// Digest of its path, caller and body; the same for each repetition.
        content: &'a str,
        /// Ids of the prompt's parts that other requests may share.
        parts: &'a [String],
        /// Path and query of the request.
        route: &'a str,
        /// Replica id.
        replica: &'a str,
        /// Version of the replica's software; empty if it publishes none.
        version: &'a str,
        /// Whether the coordinator or this daemon, by its own counts, chose the replica.
        chosen_by: &'a str,
        /// Region of the replica.
        region: &'a str,
        /// Why that is not the region of this daemon; absent if it is.
        #[serde(skip_serializing_if = "Option::is_none")]
        left_region: Option<&'a str>,
        /// Requests at the replica, as counted by the daemon that chose it.
        load: u32,
        /// Requests that the replica runs concurrently.
        slots: u32,
        /// Slots free for online requests at the candidate replicas, in thousandths of all their slots.
        free_permille: u32,
        /// Age of the peers' request counts at the replica; absent if none is known.
        #[serde(skip_serializing_if = "Option::is_none")]
        peers_age_ms: Option<u64>,
        /// Age of the replica's last load report; absent if none is known.
        #[serde(skip_serializing_if = "Option::is_none")]
        report_age_ms: Option<u64>,
        /// Age of the last audit that confirmed the replicas' rows; absent without one.
        #[serde(skip_serializing_if = "Option::is_none")]
        listed_age_ms: Option<u64>,
        /// Prompt tokens estimated to be in the replica's prefix cache.
        cached_tokens: u32,
        /// Replica from which the prefix cache is transferred; `None` without a transfer.
        copy_from: Option<&'a str>,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Last event that the caller has received; `None` if the response does not resume.
        resume_after: Option<u64>,
    },
    /// A stream or an item of which events had been received goes on at a replica, or doesn't.
    StreamContinued {
        /// Request id.
        request: &'a str,
        /// Id of the caller attempt that began the stream; empty if the caller names none.
        stream: &'a str,
        /// `resumed` (within the response or by the item's owner), `taken up` (by its caller), `begun again` (an item that
        /// nothing can continue), or `refused`.
        step: &'a str,
        /// Last event received.
        resume_after: u64,
        /// Software version that began it; `None` if unknown.
        began_at: Option<&'a str>,
        /// From whom that is known: `response` (this daemon received the first event), `store` (a record there), `own record`
        /// (of an earlier response), the id of the peer that recorded it, or `sole version` (the store knows no other one);
        /// empty if unknown.
        source: &'a str,
        /// Age of that knowledge; `None` if unknown.
        known_ms: Option<u64>,
        /// Replica at which it goes on; empty if refused.
        replica: &'a str,
        /// Version of that replica's software.
        version: &'a str,
        /// Peers that were asked where it began.
        asked: usize,
        /// Peers that replied.
        replied: usize,
        /// What the store showed: `sole version`, `record`, `no record`, `unread` (no response in time), or `not asked`.
        store: &'a str,
    },
    /// A row in the space of the job headers is malformed and is ignored. Logged at most once per second.
    JobRowRejected {
        /// Key of the row.
        row: &'a str,
        /// Revision of the row.
        revision: u64,
        /// Malformed rows since the start.
        rejected: u64,
    },
    /// A row on streams can't be decoded. Logged at most once for each revision of a row.
    StreamRowRejected {
        /// Key of the row.
        row: &'a str,
        /// Revision of the row.
        revision: u64,
        /// What is concluded: `any origin` may have begun its streams, or it is `skipped`.
        concluded: &'a str,
    },
    /// The software versions of a service, or the services of a host, at which streams may begin were stored, or weren't.
    OriginsStored {
        /// `service` or `host`.
        kind: &'a str,
        /// Hash of its name.
        subject: u32,
        /// Versions or services stored now.
        members: usize,
        /// Revision of the row; 0 if there is none.
        revision: u64,
        /// Cause of the failure; empty if they were stored, by this daemon or another one.
        cause: &'a str,
        /// Time from the first request.
        after_ms: u64,
    },
    /// A service no longer has only one software version for sure, so that peers are notified where streams began.
    VersionsMixed {
        /// Name of the service.
        service: &'a str,
        /// Versions at which its streams may have begun.
        versions: usize,
        /// Time since the last contact with the store; `None` before the first.
        contact_age_ms: Option<u64>,
        /// Streams of this daemon of which peers were notified now.
        streams: usize,
    },
    /// A replica responded that this daemon knows to be leaving by then.
    LeavingReplicaResponded {
        /// Request id.
        request: &'a str,
        /// Replica id.
        replica: &'a str,
        /// `draining`, or `gone` if its record was removed.
        state: &'a str,
        /// Time since the request passed the last check of whether the replica accepts work.
        checked_ms: u64,
        /// Time since this daemon knows that the replica is leaving.
        known_ms: u64,
        /// `store`, the id of the peer that passed it on, or `replica`.
        source: &'a str,
        /// How it was read, as in `replica_changed`, or `response` of the replica.
        reading: &'a str,
        /// Age of the latest proof that it wasn't leaving, when this daemon learned it; absent without one.
        #[serde(skip_serializing_if = "Option::is_none")]
        proof_age_ms: Option<u64>,
    },
    /// The coordinator of a replica preempted a batch item there for an online request.
    ItemEndOrdered {
        /// Replica id.
        replica: &'a str,
        /// Online requests at the replica, the new one included.
        online: u32,
        /// Batch items at the replica.
        batch: u32,
        /// Requests that the replica runs concurrently.
        slots: u32,
        /// Time for which the item may wait before it must run again.
        slack_ms: u64,
        /// True if a peer holds the item's lease.
        of_peer: bool,
    },
    /// The coordinator of a replica's group changed the replica's outlier status by the outcomes of requests there.
    ReplicaStanding {
        /// Replica id.
        replica: &'a str,
        /// `ejected`, `spared` (not ejected only because too many others are), `probed`, `returned`, `slowed` or
        /// `restored`.
        outcome: &'static str,
        /// Length of the ejection; 0 for other outcomes.
        absence_ms: u64,
        /// Part of its normal share of new work that it gets, in thousandths.
        share_permille: u32,
        /// Outcomes in the window.
        outcomes: u32,
        /// Failures among them.
        failures: u32,
        /// Consecutive failures up to now.
        in_a_row: u32,
        /// Age of the oldest outcome in the window.
        window_ms: u64,
        /// Failure rate of the other replicas in the group, in thousandths.
        others_permille: u32,
        /// Replicas that this daemon keeps ejected now.
        ejected: u64,
    },
    /// Ejected replicas were removed, or another daemon coordinates them now.
    EjectionsDropped {
        /// Ejections dropped.
        dropped: u64,
        /// Replicas that this daemon keeps ejected now.
        ejected: u64,
    },
    /// An attempt at a replica failed.
    AttemptFailed {
        /// Request id.
        request: &'a str,
        /// Digest of its path, caller and body.
        content: &'a str,
        /// Replica id.
        replica: &'a str,
        /// Kind of failure or the error.
        cause: &'a str,
        /// True if the replica certainly did not run the request.
        not_run: bool,
        /// Time since the request arrived.
        after_ms: u64,
    },
    /// A replica stated that it did not run a request.
    RefusedByReplica {
        /// Request id.
        request: &'a str,
        /// Replica id.
        replica: &'a str,
        /// HTTP status of the response.
        status: u16,
        /// Tokens of the prompt and the most to be generated.
        tokens: u64,
        /// Requests at the replica before this one, as counted by the daemon that chose it.
        load: u32,
        /// Requests that the replica runs concurrently.
        slots: u32,
        /// Requests running and waiting by the response itself; absent if it states none.
        #[serde(skip_serializing_if = "Option::is_none")]
        reported_load: Option<u32>,
        /// What this daemon concludes: `replica full`, `size refused` (it has no room for requests of this size),
        /// `request refused` (nothing about others), or `unclear`.
        concluded: &'static str,
    },
    /// A batch item was to be started, and no replica had a free slot for it.
    ItemNotPlaced {
        /// Job id.
        job: &'a str,
        /// Item id.
        item: &'a str,
        /// Service whose replicas were considered.
        service: &'a str,
        /// Items of this daemon that could have been started.
        startable: usize,
    },
    /// A batch item was given up: its job is older than its route's limit, and no replica can be expected to run it.
    ItemGivenUp {
        /// Job id.
        job: &'a str,
        /// Item id.
        item: &'a str,
        /// Tokens of the prompt and the most to be generated.
        tokens: u64,
        /// Smallest size that a service of the route refuses although it admits smaller ones; absent if unknown.
        #[serde(skip_serializing_if = "Option::is_none")]
        smallest_refused: Option<u64>,
        /// Attempts since its last event, all of them refused or broken.
        attempts: u32,
        /// Those that a replica admitted and that broke.
        broken_runs: u32,
        /// Age of the job.
        age_ms: u64,
    },
    /// The response to a request ended.
    Ended {
        /// Request id.
        request: &'a str,
        /// HTTP status of the response.
        status: u16,
        /// `whole` if the response was complete, else why it was cut off.
        outcome: &'a str,
        /// What was received of the last replica's body.
        body: BodySummary,
        /// Attempts at replicas.
        attempts: u32,
        /// Time from the request's arrival to the first byte of the response body; absent without one.
        #[serde(skip_serializing_if = "Option::is_none")]
        first_event_ms: Option<u64>,
        /// Time since the request arrived.
        after_ms: u64,
    },
    /// A request was refused or aborted before its response began.
    Refused {
        /// Request id.
        request: &'a str,
        /// HTTP status of the response.
        status: u16,
        /// Name of the cause.
        cause: &'a str,
        /// Tenant of the key; absent if the key is unknown or was not looked up.
        #[serde(skip_serializing_if = "Option::is_none")]
        tenant: Option<&'a str>,
        /// Version of the configuration in force.
        version: u64,
        /// Time since that version was known to be the newest; absent if it never was.
        #[serde(skip_serializing_if = "Option::is_none")]
        configuration_age_ms: Option<u64>,
        /// `Retry-After` of the response; absent without one.
        #[serde(skip_serializing_if = "Option::is_none")]
        retry_after_ms: Option<u64>,
        /// Time since the request arrived.
        after_ms: u64,
    },
    /// A tenant's request got no token: the tenant is at its limit, or the rate's coordinator could not be reached.
    RateRefused {
        /// Request id.
        request: &'a str,
        /// Tenant name.
        tenant: &'a str,
        /// Member that this daemon considers the rate's coordinator; empty if none was contacted.
        coordinator: &'a str,
        /// `at the limit`, `refused before` (the coordinator's last refusal still holds), `not the coordinator` or `no
        /// answer`.
        outcome: &'a str,
        /// Part of the limit that this daemon would grant as coordinator, in thousandths; below 1,000 while members are
        /// missing.
        share_permille: u32,
        /// Time spent waiting for the coordinator.
        asked_ms: u64,
    },
    /// A resend of an at-most-once request was decided.
    Resent {
        /// Tenant name.
        tenant: &'a str,
        /// Key of the claim's row.
        claim: &'a str,
        /// Attempt that held the claim; empty if the resend met none.
        holder: &'a str,
        /// Time since the holder claimed, by both daemons' clocks; 0 without a holder.
        held_for_ms: u64,
        /// Kind of response to the resend; `stored` for a stored response.
        outcome: &'a str,
        /// Time it waited for the holder.
        waited_ms: u64,
    },
    /// A daemon whose rate coordinator is unresponsive requested a token here, at the fallback coordinator.
    RateStoodIn {
        /// Tenant name.
        tenant: &'a str,
        /// Coordinator that is unresponsive to the requester.
        silent: &'a str,
        /// `granted`; `may not`: the members changed recently, or this daemon has just started; `used up`: its share is
        /// exhausted.
        outcome: &'a str,
        /// Part of the limit that this daemon may grant, in thousandths.
        share_permille: u32,
    },
    /// This daemon was stalled; tokens accrued in that time, which another one may have granted, are dropped.
    RatesStoodStill {
        /// Length of the stall.
        stood_still_ms: u64,
    },
    /// This daemon started or stopped coordinating tenants' rates.
    RatesCoordinated {
        /// Tenants whose counts it dropped because another member coordinates them now.
        dropped: usize,
        /// Part of each limit that it grants, in thousandths.
        share_permille: u32,
    },
    /// The number of cold replicas in a zone has changed, as this daemon knows them.
    ZoneWarmth {
        /// Zone name.
        zone: &'a str,
        /// Replicas that are cold.
        cold: usize,
        /// Previous number of cold replicas.
        before: usize,
        /// Longest remaining time until one of them is warm.
        longest_ms: u64,
    },
    /// The replicas for a request were cold and at their capacity: it goes to a warm replica elsewhere, or waits if it
    /// is a batch item.
    ColdPassedOver {
        /// Request id.
        request: &'a str,
        /// Service name.
        service: &'a str,
        /// True for an item of a batch job.
        item: bool,
    },
    /// As the coordinator of a cold replica, this daemon counted a request towards the replica's limited capacity.
    ColdCounted {
        /// Replica id.
        replica: &'a str,
        /// Zone of the replica.
        zone: &'a str,
        /// Remaining time for which the replica is cold.
        cold_ms: u64,
        /// Part of a cold replica's capacity that this daemon grants, in thousandths.
        share_permille: u32,
    },
    /// Requests refused by this daemon, as the coordinator of cold replicas, since the last tick: the replicas were at
    /// their capacity, or this daemon has not coordinated them long enough.
    ColdTurnedAway {
        /// Number of them.
        requests: u32,
        /// Part of a cold replica's capacity that this daemon grants, in thousandths.
        share_permille: u32,
    },
    /// A configuration is invalid and was ignored; the one in force stays.
    ConfigurationRejected {
        /// Revision of the row.
        revision: u64,
        /// Invalid field and its value.
        cause: &'a str,
    },
    /// A batch job was accepted or refused, or its commit is indeterminate.
    JobSubmitted {
        /// Job id.
        job: &'a str,
        /// `accepted`, `in_doubt` (indeterminate), or the cause of the refusal.
        outcome: &'a str,
        /// Number of its items.
        items: usize,
        /// Tenant that submitted it; empty without tenants.
        tenant: &'a str,
        /// The tenant's tokens waiting on the route, as this daemon knew them.
        waiting_tokens: u64,
        /// Revision of the commit; 0 without one.
        revision: u64,
    },
    /// This daemon became the coordinator of a route's quota.
    QuotaKept {
        /// Route name.
        route: &'a str,
        /// Revision of its fence row.
        fence: u64,
        /// Unfinished jobs, as read after the fence was written.
        jobs: usize,
    },
    /// A job's ownership changed at this daemon, or was challenged.
    JobOwnership {
        /// Job id.
        job: &'a str,
        /// Kind of change, such as `adopted` or `handed over`, or the step of a challenge, such as `refuted`.
        outcome: &'a str,
        /// Epoch of the ownership after the change.
        epoch: u64,
        /// Previous owner; empty if there was none.
        owner_before: &'a str,
        /// Epoch before the change.
        epoch_before: u64,
        /// Why the owner changed; empty where the outcome says it.
        reason: &'a str,
        /// Daemons that may own jobs in this one's view, itself included; 0 until the membership has settled.
        owners_known: usize,
    },
    /// A job that this daemon adopted was loaded from the store.
    JobLoaded {
        /// Job id.
        job: &'a str,
        /// Epoch of the ownership.
        epoch: u64,
        /// Items that are not listed yet.
        unlisted: usize,
        /// Unlisted items of which the store holds events that can be continued.
        with_events: usize,
        /// Items that begin again, since the store holds events of them but not the version that wrote them.
        unknown_versions: usize,
        /// Failed runs of unlisted items, by what the store holds.
        failures: u64,
        /// `complete`, or `incomplete` if an earlier owner may have failed runs that the store does not hold.
        failure_history: &'a str,
    },
    /// The items of a job are read later, once other jobs have returned memory.
    JobWaitsForMemory {
        /// Job id.
        job: &'a str,
        /// Bytes that it takes to read them, at most.
        bytes: usize,
        /// Bytes that the items of other jobs take.
        taken_bytes: usize,
    },
    /// A caller's read of results or of an item's body is refused: there is no memory for what it would read.
    ReadWithoutMemory {
        /// Job id.
        job: &'a str,
        /// Bytes that it would take, at most.
        bytes: usize,
        /// Bytes that all requests and responses hold.
        held_bytes: usize,
    },
    /// Failures of a job's items that the store may not hold were reported to the daemons that would adopt the job, or
    /// received from its owner.
    FailuresReported {
        /// Job id.
        job: &'a str,
        /// `sent`, `received`, or `no recipient` if no other daemon may adopt the job.
        outcome: &'a str,
        /// Recipients, separated by spaces, or the sender.
        peers: &'a str,
        /// Sum of the reported counts.
        failures: u64,
    },
    /// Other daemons may begin to consider this one absent and challenge its jobs, or no longer do.
    TakeoverRisk {
        /// True from the first evidence until the last has expired.
        at_risk: bool,
        /// The evidence; empty without any.
        cause: &'a str,
        /// Jobs that this daemon runs.
        own_jobs: usize,
    },
    /// The store had newer headers of own jobs than the watch had delivered, or could not be read.
    OwnHeadersRead {
        /// Why others may consider this daemon absent; empty if nothing indicates it.
        cause: &'a str,
        /// Headers that were read.
        jobs: usize,
        /// Headers that the watch had not delivered.
        newer: usize,
        /// Headers that could not be read.
        failed: usize,
    },
    /// Results of a job were listed, or the commit of the listing failed.
    ResultsListed {
        /// Job id.
        job: &'a str,
        /// First position in the listing.
        position: u32,
        /// Number of results.
        count: usize,
        /// `committed`, `job removed`, `not done`, or `in doubt` (indeterminate).
        outcome: &'a str,
    },
    /// A client requested the cancellation of a job.
    JobEnded {
        /// Job id.
        job: &'a str,
        /// `ended` (cancelled), `missing`, `not_done`, or `in_doubt` (indeterminate).
        outcome: &'a str,
    },
    /// A read of a job's header returned an older revision of the store than was known before.
    ReadOutdated {
        /// Job id.
        job: &'a str,
        /// Store revision of the read.
        revision: u64,
        /// Newest store revision known before.
        newest_revision: u64,
    },
    /// A job's header was read from the store, since only a recent reading proves that a job is missing, a result
    /// unlisted, or an own job still owned and not cancelled.
    HeaderRead {
        /// Stored id of the job.
        job: &'a str,
        /// `read`, whose age an earlier transaction bounds, or `transaction`, which shows the store's current state.
        source: &'a str,
        /// Bound of the reading's age when it was requested; `None` if nothing bounds it.
        max_age_ms: Option<u64>,
        /// `found`, `missing`, `unproven` (older than the bound, or without one), or `unavailable` (no usable response).
        outcome: &'a str,
        /// Results that the header lists; 0 without one.
        listed: usize,
        /// Error of the call; `None` if there was a response that could be used.
        #[serde(skip_serializing_if = "Option::is_none")]
        cause: Option<String>,
    },
    /// This daemon's copy of a job's header lists nothing at a position, and the store was read: the copy's freshness
    /// proof was missing or too old, or an empty response was due, which needs a read however recent the proof.
    ListingAsked {
        /// Job id as given by the reader.
        job: &'a str,
        /// Position that was read.
        position: u32,
        /// Age of the copy's freshness proof; `None` without one.
        proof_age_ms: Option<u64>,
        /// `more`, `nothing`, `missing` (no such job), or `unsure` (the store gave no current answer).
        outcome: &'a str,
    },
    /// A run of a batch item finished, failed or was returned.
    ItemRun {
        /// Job id.
        job: &'a str,
        /// Item id.
        item: &'a str,
        /// Replica id.
        replica: &'a str,
        /// `finished`, `unproven end` (only a close ended the output, and a further run asks for more), `failed`,
        /// `impossible`, `yielded to online` (preempted), or the cause of an aborted run.
        outcome: &'a str,
        /// Number of the last event received; 0 without one.
        events: u64,
    },
    /// Lines of this log were dropped.
    LinesDropped {
        /// Lines dropped since the last such record.
        lines: u64,
    },
}

impl Record<'_> {
    /// Returns the priority of the record's line.
    pub fn importance(&self) -> Importance {
        match self {
            Self::Sent { .. }
            | Self::Ended { .. }
            | Self::ListingAsked { .. }
            | Self::ColdCounted { .. }
            | Self::ColdPassedOver { .. }
            | Self::ItemNotPlaced { .. }
            | Self::LeavingReplicaResponded { .. }
            | Self::ItemEndOrdered { .. } => Importance::Ordinary,
            Self::StreamContinued { step, .. } if *step != "refused" => Importance::Change,
            Self::HeaderRead { outcome, .. } if *outcome == "found" => Importance::Ordinary,
            Self::Resent { outcome, .. } if *outcome == "stored" => Importance::Ordinary,
            Self::ResultsListed { outcome, .. } if *outcome == "committed" => Importance::Ordinary,
            Self::ItemRun { outcome, .. } if *outcome == "finished" => Importance::Ordinary,
            Self::JobSubmitted { outcome, .. } if *outcome == "accepted" => Importance::Ordinary,
            Self::AttemptFailed { .. }
            | Self::RefusedByReplica { .. }
            | Self::ItemGivenUp { .. }
            | Self::StreamContinued { .. }
            | Self::ResponseCutOff { .. }
            | Self::BodyRefused { .. }
            | Self::ConnectionRefused { .. }
            | Self::ResponseUnread { .. }
            | Self::ReadWithoutMemory { .. }
            | Self::Refused { .. }
            | Self::RateRefused { .. }
            | Self::Resent { .. }
            | Self::ItemRun { .. }
            | Self::JobSubmitted { .. }
            | Self::ResultsListed { .. }
            | Self::ReadOutdated { .. }
            | Self::HeaderRead { .. }
            | Self::OwnHeadersRead { .. }
            | Self::JobEnded { .. } => Importance::Failure,
            _ => Importance::Change,
        }
    }
}
