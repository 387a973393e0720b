//! Streams that their callers take up after an event: where they began decides where they may go on.

use std::time::Duration;

use harrierward_stream_origins::StreamOrigin;

use crate::attempt::Attempt;
use crate::configuration::Route;
use crate::continued::ContinuedStream;
use crate::exchange::ServingRequest;
use crate::forwarder::{Forwarder, RETRY_AFTER};
use crate::replica::short_hash;
use crate::response::{Refusal, RefusalCause};
use crate::stream_origin::{
    Asked, KnownOrigin, OriginLookup, StoreEvidence, sole_service, stream_taken_up,
};

/// A stream that its caller takes up.
#[derive(Debug, Clone)]
pub(crate) struct TakenUp {
    /// Name of the service at which it began.
    pub service: String,
    /// Where it began, and from whom that is known.
    pub known: KnownOrigin,
    /// Who was asked where it began.
    asked: Asked,
}

impl Forwarder {
    /// Finds out where the stream that a request takes up may go on.
    ///
    /// # Errors
    /// Nobody knows where it began, or no replica there accepts work: it is refused at once, since what another service
    /// or version writes doesn't continue it.
    pub(crate) async fn take_up(
        &self,
        request: &ServingRequest,
        route: &Route,
    ) -> Result<TakenUp, Refusal> {
        let stream = stream_taken_up(request);
        let origins = self.origins();
        let lookup = origins.find(stream, &route.host, sole_service(route)).await;
        let Some(known) = &lookup.known else {
            let is_named = stream.is_some();
            let after = may_be_known_later(&lookup, is_named).then_some(RETRY_AFTER);
            return Err(self.refuse_take_up(
                request,
                route,
                &lookup,
                RefusalCause::UnknownStream,
                after,
            ));
        };
        let service = service_of(route, known.origin);
        let usable = service.filter(|service| {
            let view = self.replicas().view();
            view.has_usable(service, &request.regions, Some(known.origin.version))
        });
        let Some(service) = usable else {
            // A replica of the version may start again.
            let after = Some(RETRY_AFTER);
            return Err(self.refuse_take_up(
                request,
                route,
                &lookup,
                RefusalCause::NoReplicaOfVersion,
                after,
            ));
        };
        Ok(TakenUp {
            service: service.to_owned(),
            known: known.clone(),
            asked: lookup.asked,
        })
    }

    fn refuse_take_up(
        &self,
        request: &ServingRequest,
        route: &Route,
        lookup: &OriginLookup,
        cause: RefusalCause,
        retry_after: Option<Duration>,
    ) -> Refusal {
        let known = lookup.known.as_ref();
        let service = known.and_then(|known| service_of(route, known.origin));
        self.log_continued(&ContinuedStream {
            request: &request.id,
            stream: request.resumes.as_deref().unwrap_or_default(),
            step: "refused",
            resume_after: request.resume_after.unwrap_or_default(),
            service: service.unwrap_or_default(),
            known,
            replica: None,
            asked: lookup.asked,
        });
        Refusal::not_run(cause, retry_after)
    }

    /// Logs that a stream which its caller takes up goes on.
    pub(crate) fn log_taken_up(
        &self,
        request: &ServingRequest,
        taken_up: &TakenUp,
        attempt: &Attempt,
    ) {
        self.log_continued(&ContinuedStream {
            request: &request.id,
            stream: request.resumes.as_deref().unwrap_or_default(),
            step: "taken up",
            resume_after: request.resume_after.unwrap_or_default(),
            service: &taken_up.service,
            known: Some(&taken_up.known),
            replica: Some(attempt.in_progress.replica()),
            asked: taken_up.asked,
        });
    }
}

/// Returns the name of the service at which a stream began; `None` if the route no longer leads there.
fn service_of(route: &Route, origin: StreamOrigin) -> Option<&str> {
    let mut services = route.services.iter().map(|one| one.service.as_str());
    services.find(|service| short_hash(service) == origin.service)
}

/// True if the store, or a peer, that didn't reply or isn't a known member yet, may know the stream; a later try finds
/// it then. A stream without a name has no records.
fn may_be_known_later(lookup: &OriginLookup, is_named: bool) -> bool {
    let Asked {
        peers,
        replied,
        store,
    } = lookup.asked;
    let may_peers_know = is_named && (peers == 0 || replied < peers);
    may_peers_know || store == StoreEvidence::Unread
}
