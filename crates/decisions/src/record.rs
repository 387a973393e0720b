//! The records.

use serde::Serialize;

/// How long a record is kept when lines must be dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Importance {
    /// Dropped first: the ordinary course of a request.
    Ordinary,
    /// A change of what the process believes.
    Change,
    /// A request or item that did not go as it should.
    Failure,
}

/// One decision. Times and ages are in milliseconds.
#[derive(Debug, Clone, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Record<'a> {
    /// The process started.
    Started {
        /// Member id of this life of the process.
        member: &'a str,
        /// Zone.
        zone: &'a str,
        /// Version of the program.
        version: &'a str,
        /// Level of the formats of its rows and messages.
        format: u32,
        /// Mechanisms of the policy that are switched off; empty in service.
        without: &'a str,
    },
    /// The process began to stop.
    Stopping {
        /// Requests in progress.
        in_progress: usize,
    },
    /// Connections of callers cannot be accepted; told once until one is accepted again.
    AcceptFailed {
        /// Cause.
        cause: &'a str,
        /// Open connections of callers.
        connections: usize,
    },
    /// A step of a planned stop is over.
    StopStep {
        /// Step.
        step: &'a str,
        /// Time since the signal.
        after_ms: u64,
        /// Requests in progress.
        in_progress: usize,
        /// Open connections of callers.
        connections: usize,
    },
    /// The process ends.
    Stopped {
        /// Requests cut off.
        cut_off: usize,
        /// Time since the signal.
        after_ms: u64,
    },
    /// Settings were read again.
    Reloaded {
        /// What came of it.
        outcome: &'a str,
    },
    /// A space of the store is read from elsewhere than before.
    SpaceSource {
        /// Space.
        space: &'a str,
        /// `store`, or the id of the peer whose copy is followed.
        source: &'a str,
        /// The source before; empty if there was none.
        before: &'a str,
        /// Revision of the own copy.
        revision: u64,
        /// Age of its proof; `None` if it has none.
        proof_age_ms: Option<u64>,
    },
    /// A source of a space did not serve, and is passed over for a while.
    SpaceSourceFailed {
        /// Space.
        space: &'a str,
        /// `store`, or the id of the peer.
        source: &'a str,
        /// Why.
        cause: &'a str,
    },
    /// The copy of a space differs from that of the peer that is followed, and is read whole.
    CopyDiffers {
        /// Space.
        space: &'a str,
        /// Revision of both.
        revision: u64,
    },
    /// Whether this daemon reads the store by itself, or follows a peer of its zone.
    RelayMode {
        /// `direct` or `relayed`.
        mode: &'a str,
        /// Members of the zone that may be followed.
        zone_members: usize,
        /// It reads the store for its zone.
        is_reader: bool,
    },
    /// A configuration came into force.
    ConfigurationInForce {
        /// Version.
        version: u64,
        /// Where it came from.
        source: &'a str,
        /// Routes in it.
        routes: usize,
    },
    /// A replica came, changed its state or went.
    ReplicaChanged {
        /// Replica.
        replica: &'a str,
        /// New state.
        state: &'a str,
        /// Revision of the row that says so.
        revision: u64,
    },
    /// A replica's entry cannot be read: it names no replica to use. Told once a second at most.
    ReplicaRejected {
        /// Key of the entry.
        entry: &'a str,
        /// Revision of its row.
        revision: u64,
        /// What of it cannot be read.
        cause: &'a str,
        /// Such entries since the start.
        rejected: u64,
    },
    /// A zone was taken out of service by an operator, or is back.
    ZoneEvacuation {
        /// Zone.
        zone: &'a str,
        /// `evacuated`, `returned`, or `ignored`: too many other zones are evacuated.
        state: &'a str,
        /// Revision of the row that evacuates it.
        revision: u64,
        /// Where this was learned: the store, or a peer's id.
        source: &'a str,
        /// Age of the proof that this daemon knows the store's newest rows; `None` if it has none.
        proof_age_ms: Option<u64>,
        /// Requests of this daemon in progress there.
        running: u32,
        /// The settings name the zone.
        is_known: bool,
    },
    /// An exchange was given up after a silence, and the connections kept to the peer since before it were closed.
    ConnectionsSilent {
        /// Address of the peer.
        peer: &'a str,
        /// Connections closed besides the exchange's own.
        closed: usize,
        /// How long nothing came.
        silent_ms: u64,
    },
    /// A coordinator granted a slot at a replica that this daemon knows to be out of bounds; the daemon chose itself.
    LeaseOverruled {
        /// Replica.
        replica: &'a str,
        /// What the gate said.
        reason: &'a str,
    },
    /// Requests of this daemon still in progress in an evacuated zone, whenever their number changes.
    ZoneRunning {
        /// Zone.
        zone: &'a str,
        /// Requests and items.
        running: u32,
    },
    /// A daemon that hears nothing from the store asked a peer for the newer configuration there.
    PeerAsked {
        /// Address of the peer.
        peer: &'a str,
        /// Version of the configuration that the peer has.
        version: u64,
        /// What came of it.
        outcome: &'a str,
    },
    /// A replica is avoided for a while.
    ReplicaSuspected {
        /// Replica.
        replica: &'a str,
        /// Cause.
        cause: &'a str,
    },
    /// A replica has ended while requests of this daemon were in progress there.
    ReplicaEnded {
        /// Replica.
        replica: &'a str,
        /// How that is known: `refused` (nobody listens at its address), `gone` (its entry went), `peer` (another daemon says so).
        known_by: &'a str,
        /// Contents of this daemon that were there.
        contents: usize,
        /// Time since the first connection broke.
        after_ms: u64,
    },
    /// A content is held back, or no longer, since replicas ended under it.
    ContentHeld {
        /// Digest of path, caller and body.
        content: &'a str,
        /// `held`, `released` (by an operator), `cleared` (it came to a whole answer, or another one is to blame).
        outcome: &'a str,
        /// Replicas that ended under it.
        ends: usize,
        /// Time since the first of these ends.
        since_ms: u64,
        /// How much longer it is held back.
        hold_ms: u64,
        /// Contents held back now.
        held: usize,
    },
    /// The machine was suspended: ages of proofs, grants and deadlines count that time.
    Suspended {
        /// For how long.
        suspended_ms: u64,
    },
    /// A dependency was lost.
    DependencyLost {
        /// Name.
        dependency: &'a str,
        /// Cause.
        cause: &'a str,
    },
    /// A dependency is back.
    DependencyRegained {
        /// Name.
        dependency: &'a str,
        /// How long it was away.
        away_ms: u64,
    },
    /// The replicas were read for the first time; later changes are told one by one.
    ReplicasRead {
        /// Replicas that take new work.
        ready: usize,
        /// Replicas that leave.
        draining: usize,
        /// Who told of them.
        source: &'a str,
    },
    /// A daemon without configuration or replicas asked some peers for theirs.
    PeersAsked {
        /// Peers that could be asked.
        peers: usize,
        /// Replicas that the answer names.
        replicas: usize,
        /// Time since the first question, milliseconds.
        after_ms: u64,
        /// `rows`, or `none`.
        outcome: &'a str,
    },
    /// The members that this process believes alive changed.
    MembersChanged {
        /// Members alive.
        alive: usize,
        /// Members that were not there before.
        joined: usize,
        /// Members that are not there any more.
        gone: usize,
        /// Digest of the view: daemons that print the same one believe in the same members.
        view: u64,
    },
    /// A peer sent whole buckets of its view, since this daemon's differed.
    ViewSynced {
        /// Peer.
        peer: &'a str,
        /// Records that it sent.
        records: usize,
        /// Members in the peer's view.
        peer_members: u32,
    },
    /// A request whose objective had passed when it came was placed, after those that could still be in time.
    OverduePlaced {
        /// Request.
        request: &'a str,
        /// How long it waited for slots that others left.
        waited_ms: u64,
    },
    /// A request was sent to a replica.
    Sent {
        /// Request.
        request: &'a str,
        /// Digest of its path, caller and body: the same however often it comes.
        content: &'a str,
        /// Route.
        route: &'a str,
        /// Replica.
        replica: &'a str,
        /// Who chose it: the coordinator of its places, or this daemon by what it knows itself.
        chosen_by: &'a str,
        /// Region in which the replica is.
        region: &'a str,
        /// Why it is not the region of this daemon; absent if it is.
        #[serde(skip_serializing_if = "Option::is_none")]
        left_region: Option<&'a str>,
        /// Requests at the replica, as the chooser counted them.
        load: u32,
        /// Requests that the replica works on at once.
        slots: u32,
        /// Slots that online requests could still take at the replicas looked at, in thousandths of all their slots.
        free_permille: u32,
        /// Age of the peers' counts at the replica as this daemon knows them; absent if none is known.
        #[serde(skip_serializing_if = "Option::is_none")]
        peers_age_ms: Option<u64>,
        /// Age of the replica's last report; absent if none is known.
        #[serde(skip_serializing_if = "Option::is_none")]
        report_age_ms: Option<u64>,
        /// Prompt tokens believed to be in the replica's memory.
        cached_tokens: u32,
        /// Replica from which the prompt's memory is copied.
        copy_from: Option<&'a str>,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Last event that the caller has.
        resume_after: Option<u64>,
    },
    /// The coordinator of a replica's places ends an item there for an online request.
    ItemEndOrdered {
        /// Replica.
        replica: &'a str,
        /// Online requests there, the new one among them.
        online: u32,
        /// Batch items there.
        batch: u32,
        /// Requests that the replica works on at once.
        slots: u32,
        /// How long the item may rest.
        slack_ms: u64,
        /// The item is a peer's.
        of_peer: bool,
    },
    /// The coordinator of a replica's group took it out of service, tried it, or took it back, by what requests there
    /// came to.
    ReplicaStanding {
        /// Replica.
        replica: &'a str,
        /// `ejected`, `spared` (it would be ejected if not too many were out), `probed`, `returned`, `slowed`, `restored`.
        outcome: &'static str,
        /// How long it gets no work.
        absence_ms: u64,
        /// Part of its new work that it gets, in thousandths.
        share_permille: u32,
        /// Outcomes there that count.
        outcomes: u32,
        /// Failures among them.
        failures: u32,
        /// Failures in a row up to now.
        in_a_row: u32,
        /// Age of the oldest outcome that counts.
        window_ms: u64,
        /// Share of failures that is usual among the others of the group, in thousandths.
        others_permille: u32,
        /// Replicas that this daemon keeps out of service now.
        ejected: u64,
    },
    /// Replicas that were out are gone, or another daemon coordinates them now.
    EjectionsDropped {
        /// So many.
        dropped: u64,
        /// Replicas that this daemon keeps out of service now.
        ejected: u64,
    },
    /// An attempt at a replica failed.
    AttemptFailed {
        /// Request.
        request: &'a str,
        /// Digest of its path, caller and body.
        content: &'a str,
        /// Replica.
        replica: &'a str,
        /// Cause.
        cause: &'a str,
        /// The replica certainly did not run it.
        not_run: bool,
        /// Time since the request arrived.
        after_ms: u64,
    },
    /// A request ended.
    Ended {
        /// Request.
        request: &'a str,
        /// Status of the answer.
        status: u16,
        /// Outcome in a word.
        outcome: &'a str,
        /// Attempts made.
        attempts: u32,
        /// Time from the request's arrival to the first bytes of the answer's body; absent if none came.
        #[serde(skip_serializing_if = "Option::is_none")]
        first_event_ms: Option<u64>,
        /// Time since the request arrived.
        after_ms: u64,
    },
    /// A request was refused or given up.
    Refused {
        /// Request.
        request: &'a str,
        /// Status of the answer.
        status: u16,
        /// Cause.
        cause: &'a str,
        /// Tenant, if its key was known.
        #[serde(skip_serializing_if = "Option::is_none")]
        tenant: Option<&'a str>,
        /// Configuration version in force.
        version: u64,
        /// Time since that was known to be the newest; absent if it never was.
        #[serde(skip_serializing_if = "Option::is_none")]
        configuration_age_ms: Option<u64>,
        /// When the caller was told to come back.
        #[serde(skip_serializing_if = "Option::is_none")]
        retry_after_ms: Option<u64>,
        /// Time since the request arrived.
        after_ms: u64,
    },
    /// A tenant's request was not counted: the tenant is at the limit of its rate, or its coordinator could not be
    /// asked.
    RateRefused {
        /// Request.
        request: &'a str,
        /// Tenant.
        tenant: &'a str,
        /// Who counts the tenant's requests, as this daemon believes.
        coordinator: &'a str,
        /// What became of the question.
        outcome: &'a str,
        /// Part of the limit that this daemon would give out as the coordinator, in thousandths: below 1,000 while
        /// members are missing.
        share_permille: u32,
        /// Time for which the coordinator was waited for.
        asked_ms: u64,
    },
    /// What became of a resend of an at-most-once request.
    Resent {
        /// Tenant.
        tenant: &'a str,
        /// Key of the claim's row.
        claim: &'a str,
        /// Attempt that holds the claim; empty for a stored answer.
        holder: &'a str,
        /// Time since the holder claimed, by both daemons' clocks; 0 for a stored answer.
        held_for_ms: u64,
        /// What the resend was told.
        outcome: &'a str,
        /// Time for which it waited for the holder.
        waited_ms: u64,
    },
    /// The coordinator of a tenant's rate does not answer a daemon, which asked this one, the next in the order.
    RateStoodIn {
        /// Tenant.
        tenant: &'a str,
        /// The coordinator that is silent to the asker.
        silent: &'a str,
        /// Whether a token was given out in its place; "may not": the order changed lately, or this daemon has just
        /// started; "used up": all that may be given out so was.
        outcome: &'a str,
        /// Part of the limit that this daemon may give out, in thousandths.
        share_permille: u32,
    },
    /// This daemon stood still; the tokens of that time, which another one may have given out, are dropped.
    RatesStoodStill {
        /// For how long it did not run.
        stood_still_ms: u64,
    },
    /// This daemon began or ceased to coordinate tenants' rates.
    RatesCoordinated {
        /// Tenants whose count it dropped, since another member coordinates them now.
        dropped: usize,
        /// Part of each limit that it gives out, in thousandths.
        share_permille: u32,
    },
    /// The number of cold replicas in a zone has changed, as this daemon knows them.
    ZoneWarmth {
        /// Zone.
        zone: &'a str,
        /// Replicas that are cold.
        cold: usize,
        /// Those that were before.
        before: usize,
        /// Longest time for which one of them stays cold.
        longest_ms: u64,
    },
    /// The replicas asked for were cold and had got what they bear: the request goes to a warm one elsewhere, or waits if
    /// it is an item.
    ColdPassedOver {
        /// Request.
        request: &'a str,
        /// Service.
        service: &'a str,
        /// It is an item of a batch job.
        item: bool,
    },
    /// As the coordinator of a cold replica, this daemon counted a request for it.
    ColdCounted {
        /// Replica.
        replica: &'a str,
        /// Its zone.
        zone: &'a str,
        /// How much longer the replica stays cold.
        cold_ms: u64,
        /// Part of what the replica bears that this daemon gives out, in thousandths.
        share_permille: u32,
    },
    /// As the coordinator of cold replicas, this daemon turned requests away since the last tick: the replicas had got
    /// what they bear, or this daemon has not coordinated them for long enough.
    ColdTurnedAway {
        /// Requests.
        requests: u32,
        /// Part of what a replica bears that this daemon gives out, in thousandths.
        share_permille: u32,
    },
    /// A configuration was not taken over; what is in force stays so.
    ConfigurationRejected {
        /// Revision of the row.
        revision: u64,
        /// Field and value.
        cause: &'a str,
    },
    /// A batch job was accepted, refused or left in doubt.
    JobSubmitted {
        /// Job.
        job: &'a str,
        /// Outcome.
        outcome: &'a str,
        /// Items.
        items: usize,
        /// Tenant; empty without tenants.
        tenant: &'a str,
        /// Tokens of the tenant waiting on the route as this daemon knew them.
        waiting_tokens: u64,
        /// Revision of the commit, 0 if there is none.
        revision: u64,
    },
    /// This daemon became the coordinator of a route's quota.
    QuotaKept {
        /// Route.
        route: &'a str,
        /// Revision of its fence.
        fence: u64,
        /// Jobs with items left, as read after the fence was written.
        jobs: usize,
    },
    /// This daemon became or ceased to be the owner of a job.
    JobOwnership {
        /// Job.
        job: &'a str,
        /// What happened.
        outcome: &'a str,
        /// Epoch of the ownership.
        epoch: u64,
        /// The owner before; empty if there was none.
        owner_before: &'a str,
        /// Epoch before.
        epoch_before: u64,
        /// Why the owner changed; empty where the outcome says it.
        reason: &'a str,
        /// Daemons that this one held for living owners, itself among them.
        owners_known: usize,
    },
    /// Results were listed, or the commit failed.
    ResultsListed {
        /// Job.
        job: &'a str,
        /// First position.
        position: u32,
        /// Results.
        count: usize,
        /// Outcome.
        outcome: &'a str,
    },
    /// A job was ended by its client.
    JobEnded {
        /// Job.
        job: &'a str,
        /// Outcome.
        outcome: &'a str,
    },
    /// A job's head was read from the store, and the answer is older than what was known of the store before.
    ReadOutdated {
        /// Job.
        job: &'a str,
        /// Revision of the answer.
        revision: u64,
        /// Newest revision of the store that was known.
        newest_revision: u64,
    },
    /// This daemon's copy of a job's head lists nothing at a position, and cannot say so alone: the store was asked.
    ListingAsked {
        /// Job, as its reader names it.
        job: &'a str,
        /// Position that was read.
        position: u32,
        /// Age of the copy's last proof, milliseconds; none if it was never proven.
        proof_age_ms: Option<u64>,
        /// `more`, `nothing`, `missing`, or `unsure`.
        outcome: &'a str,
    },
    /// A run of an item failed or was given back.
    ItemRun {
        /// Job.
        job: &'a str,
        /// Item.
        item: &'a str,
        /// Replica.
        replica: &'a str,
        /// Outcome.
        outcome: &'a str,
        /// Events received so far.
        events: u64,
    },
    /// Lines were dropped.
    LinesDropped {
        /// Lines dropped since the last such record.
        lines: u64,
    },
}

impl Record<'_> {
    /// How long the record is kept under load.
    pub fn importance(&self) -> Importance {
        match self {
            Self::Sent { .. }
            | Self::Ended { .. }
            | Self::ListingAsked { .. }
            | Self::ColdCounted { .. }
            | Self::ColdPassedOver { .. }
            | Self::ItemEndOrdered { .. } => Importance::Ordinary,
            Self::Resent { outcome, .. } if *outcome == "stored" => Importance::Ordinary,
            Self::ResultsListed { outcome, .. } if *outcome == "committed" => Importance::Ordinary,
            Self::ItemRun { outcome, .. } if *outcome == "finished" => Importance::Ordinary,
            Self::JobSubmitted { outcome, .. } if *outcome == "accepted" => Importance::Ordinary,
            Self::AttemptFailed { .. }
            | Self::Refused { .. }
            | Self::RateRefused { .. }
            | Self::Resent { .. }
            | Self::ItemRun { .. }
            | Self::JobSubmitted { .. }
            | Self::ResultsListed { .. }
            | Self::ReadOutdated { .. }
            | Self::JobEnded { .. } => Importance::Failure,
            _ => Importance::Change,
        }
    }
}
