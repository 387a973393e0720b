//! Which replica a request goes to in a large service.

use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwapOption;
use async_trait::async_trait;
use bytes::Bytes;
use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_serving::{
    AttemptTarget, ExchangeError, Forwarder, ForwarderParts, ForwarderSettings, Prompt, PromptPart,
    ReplicaAnswer, ReplicaClient, ReplicaRecord, ReplicaRequest, ReplicaSet, SelectionCosts,
    ServingRequest, WorkClass,
};
use http::{HeaderMap, Method};

/// Replicas of the service, more than are looked at for one request.
const REPLICAS: usize = 120;

const ZONE: &str = "zone-a";

struct NoClient;

#[async_trait]
impl ReplicaClient for NoClient {
    async fn send(&self, request: ReplicaRequest<'_>) -> Result<ReplicaAnswer, ExchangeError> {
        Err(ExchangeError::NotSent {
            step: "test",
            peer: request.address.to_owned(),
            detail: "no client".to_owned(),
        })
    }

    fn forget(&self, _address: &str) {}
}

fn forwarder() -> Forwarder {
    let replicas = ReplicaSet::default();
    let records = (0..REPLICAS).map(|number| ReplicaRecord {
        id: format!("replica-{number}"),
        service: "model".to_owned(),
        address: format!("10.0.0.{number}:80"),
        zone: ZONE.to_owned(),
        slots: 8,
        draining: false,
    });
    replicas.replace(records.collect(), |_| 100_000);
    Forwarder::new(ForwarderParts {
        routes: Arc::new(ArcSwapOption::empty()),
        replicas: Arc::new(replicas),
        client: Arc::new(NoClient),
        log: DecisionLog::new(LogBounds::default()),
        settings: ForwarderSettings {
            zone: ZONE.to_owned(),
            costs: SelectionCosts::default(),
        },
    })
}

fn request(shared_part: u64) -> ServingRequest {
    let parts = vec![
        PromptPart {
            id: shared_part,
            tokens: 6_000,
        },
        PromptPart {
            id: rand::random(),
            tokens: 500,
        },
    ];
    ServingRequest {
        id: "r".to_owned(),
        host: "example".to_owned(),
        method: Method::POST,
        target: "/ask/x".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        patience: None,
        resume_after: None,
        prompt: Prompt {
            parts,
            tokens: 6_500,
            output_tokens: 100,
        },
    }
}

const TARGET: AttemptTarget<'_> = AttemptTarget {
    service: "model",
    class: WorkClass::Online,
    excluded: &[],
    free_slots: None,
};

#[test]
fn daemons_send_prompts_that_share_a_part_to_the_same_replica_however_many_there_are() {
    for part in 0..20 {
        let mut chosen: HashMap<String, usize> = HashMap::new();
        // Each daemon sees one request of the part, and nothing of the others'.
        for _ in 0..10 {
            let choice = forwarder().choose_replica(&request(part), TARGET);
            let id = choice.expect("a replica").replica.record.id.clone();
            *chosen.entry(id).or_default() += 1;
        }
        let most = chosen.values().max().copied().unwrap_or_default();
        assert_eq!(most, 10, "part {part}: {chosen:?}");
    }
}
