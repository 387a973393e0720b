//! Serving of opaque generation requests: routes, replica selection, and the path of a request from caller to replica
//! and back.
//!
//! Unlike the crate `harrierward-gateway`, which renders prompts and processes tokens, this crate treats bodies as
//! opaque and decides by typed metadata only. It opens no sockets.

mod admission;
mod attempt;
mod body;
mod choice;
mod classification;
mod configuration;
mod content;
mod continued;
mod evacuation;
mod events;
mod exchange;
mod forwarder;
mod gate;
mod in_progress;
mod leases;
mod outcome;
mod placement;
mod policy;
mod profile;
mod prompt;
mod quarantine;
mod recent_maximum;
mod refusals;
mod refused_sizes;
mod relay;
mod replica;
mod replica_record;
mod replica_set;
mod request_state;
mod response;
mod routes;
mod selection;
mod serve;
mod stream_origin;
mod suspicion;
mod take_up;
mod topology;
mod warmth;

pub use admission::{ConfigurationProof, KeyTrust, RateLimits, RateStatus, caller_of, tenant_of};
pub use attempt::{Attempt, AttemptFailure, AttemptOptions, AttemptTimeouts, wait_for_progress};
pub use body::{BodyEnd, BodyFormat, BodyParser, BodyPart, BreakCause, EventsLeft};
pub use choice::{
    Choice, ChoiceQuery, ChosenBy, CrossRegionReason, MIN_FREE_PERMILLE, Placement, choose_replica,
    own_region_first, reserved_slots,
};
pub use configuration::{
    BatchBounds, CallerLimits, Route, RouteKind, Service, ServingConfiguration, Warmup,
    WeightedService,
};
pub use continued::ContinuedStream;
pub use evacuation::{
    EvacuatedZones, EvacuationRows, EvacuationState, EvacuationUpdate, ZoneChange,
};
pub use events::{EventPlace, StreamEvent};
pub use exchange::{
    BodyDelimiter, BodyError, ExchangeError, Misdirected, ReplicaBody, ReplicaClient, ReplicaLoad,
    ReplicaRequest, ReplicaResponse, ServingRequest, excludes_body,
};
pub use forwarder::{Forwarder, ForwarderParts, ForwarderSettings, SharedRoutes};
pub use gate::{GateDenial, GateRequest, admits_version, check_gate};
pub use harrierward_stream_origins::{SoftwareVersion, StreamKey, StreamOrigin};
pub use in_progress::InProgress;
pub use leases::{ItemSlack, SlotLease, SlotLeases, SlotQuery, SlotReply};
pub use outcome::{AttemptOutcome, Evidence, ReleaseReport};
pub use policy::{Mechanism, Policy, UnknownMechanism};
pub use profile::{PromptLength, PromptProfiles};
pub use prompt::{PrefixCacheEstimate, Prompt, PromptPart};
pub use quarantine::{NoQuarantine, Quarantine};
pub use recent_maximum::RecentMaximum;
pub use refusals::{RecentRefusals, RefusalEvidence, RefusalScope, ReplicaRefusal};
pub use refused_sizes::{RefusedSizeBounds, RefusedSizes};
pub use relay::ResponseAborted;
pub use replica::{Replica, WorkClass, short_hash};
pub use replica_record::{LeavingNotice, ReplicaRecord};
pub use replica_set::{ReplicaSet, ReplicaView};
pub use response::{CallerBody, CallerResponse, Refusal, RefusalCause, Reply};
pub use routes::{RouteEntry, RouteTable};
pub use selection::{
    Candidate, SelectionCosts, Separation, choose, cost, expected_wait_ms, preference_weight,
};
pub use stream_origin::{
    Asked, KnownOrigin, NoOrigins, OriginLookup, OriginSource, StoreEvidence, StreamOrigins,
    origin_of,
};
pub use suspicion::Suspicion;
pub use topology::{Location, Topology};
pub use warmth::Warmth;
