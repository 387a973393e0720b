//! Serving opaque generation requests: routes, replicas, the choice among them, and the path of a request from
//! caller to replica and back.
//!
//! Why beside `gateway`: the gateway renders prompts itself and speaks in tokens; here bodies and answers are
//! opaque and only typed metadata decides. Nothing here opens a socket.

mod admission;
mod attempt;
mod choice;
mod configuration;
mod content;
mod evacuation;
mod events;
mod exchange;
mod forwarder;
mod gate;
mod in_progress;
mod leases;
mod outcome;
mod placing;
mod policy;
mod profile;
mod prompt;
mod quarantine;
mod relay;
mod replica;
mod replica_set;
mod reply;
mod request_state;
mod routes;
mod selection;
mod suspicion;
mod topology;
mod warmth;

pub use admission::{ConfigurationProof, KeyTrust, RateAnswer, RateLimits, caller_of, tenant_of};
pub use attempt::{Attempt, AttemptFailure, AttemptTimes, Sending, wait_for_progress};
pub use choice::{
    Choice, ChoiceQuery, ChosenBy, LeftRegion, Placement, ROOMY_PERMILLE, choose_replica,
    own_region_first, reserved_slots,
};
pub use configuration::{
    BatchBounds, CallerLimits, Route, RouteKind, Service, ServingConfiguration, Warmup,
    WeightedService,
};
pub use evacuation::{EvacuatedZones, EvacuationNews, EvacuationRows, ZoneChange, ZoneMark};
pub use events::{EventSplitter, StreamEvent};
pub use exchange::{
    AnswerBody, BodyError, ExchangeError, ReplicaAnswer, ReplicaClient, ReplicaLoad,
    ReplicaRequest, ServingRequest,
};
pub use forwarder::{Forwarder, ForwarderParts, ForwarderSettings, SharedRoutes};
pub use gate::{Barred, Passage, barred};
pub use in_progress::InProgress;
pub use leases::{ItemRoom, SlotAnswer, SlotLease, SlotLeases, SlotQuery};
pub use outcome::{Evidence, LeaseEnd, Verdict};
pub use policy::{Mechanism, Policy, UnknownMechanism};
pub use profile::{PromptLength, PromptProfiles};
pub use prompt::{Prompt, PromptMemory, PromptPart};
pub use quarantine::{NoQuarantine, Quarantine};
pub use relay::Cut;
pub use replica::{Replica, ReplicaRecord, WorkClass, short_hash};
pub use replica_set::{ReplicaSet, ReplicaView};
pub use reply::{CallerAnswer, CallerBody, Refusal, RefusalCause, Reply};
pub use routes::{RouteEntry, RouteTable};
pub use selection::{
    Candidate, SelectionCosts, Separation, choose, cost, expected_wait_ms, preference_weight,
};
pub use suspicion::Suspicion;
pub use topology::{Location, Topology};
pub use warmth::Warmth;
