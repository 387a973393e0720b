//! Log of streams and items that go on after an event, or don't.

use harrierward_decisions::Record;

use crate::attempt::milliseconds;
use crate::forwarder::Forwarder;
use crate::replica::Replica;
use crate::stream_origin::{Asked, KnownOrigin};
use harrierward_stream_origins::SoftwareVersion;

/// A stream or an item of which events had been received.
#[derive(Debug)]
pub struct ContinuedStream<'a> {
    /// Id of the request that continues it.
    pub request: &'a str,
    /// Id of the caller attempt, or of the item, that began it; empty if the caller names none.
    pub stream: &'a str,
    /// `resumed` (within the response or by the item's owner), `taken up` (by its caller), `begun again` (an item), or
    /// `refused`.
    pub step: &'static str,
    /// Number of the last event received.
    pub resume_after: u64,
    /// Service of the replicas that may continue it.
    pub service: &'a str,
    /// Where it began; `None` if nobody knows.
    pub known: Option<&'a KnownOrigin>,
    /// Replica at which it goes on; `None` if it doesn't.
    pub replica: Option<&'a Replica>,
    /// Who was asked where it began.
    pub asked: Asked,
}

impl Forwarder {
    /// Logs what became of a stream or item that was to be continued.
    pub fn log_continued(&self, stream: &ContinuedStream<'_>) {
        let known = stream.known;
        let began_at = known.map(|known| self.version_name(stream.service, known.origin.version));
        let source = known.map_or_else(String::new, |known| known.source.name());
        let record = stream.replica.map(|replica| &replica.record);
        self.log().record(&Record::StreamContinued {
            request: stream.request,
            stream: stream.stream,
            step: stream.step,
            resume_after: stream.resume_after,
            began_at: began_at.as_deref(),
            source: &source,
            known_ms: known.map(|known| milliseconds(harrierward_clock::age(known.known_at))),
            replica: record.map_or("", |record| &record.id),
            version: record.map_or("", |record| &record.version),
            asked: stream.asked.peers,
            replied: stream.asked.replied,
            store: stream.asked.store.name(),
        });
    }

    /// Returns the name of a software version for the log; its hash in hexadecimal if no listed replica has it.
    fn version_name(&self, service: &str, version: SoftwareVersion) -> String {
        let view = self.replicas().view();
        let mut listed = view.listed(service).iter();
        let named = listed.find(|replica| replica.version == version);
        named.map_or_else(
            || format!("#{:016x}", version.hash()),
            |replica| replica.record.version.clone(),
        )
    }
}
