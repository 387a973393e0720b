//! Handles requests of peers and announces accepted jobs to shard owners.

use std::sync::Arc;
use std::time::Duration;

use harrierward_batch::shard_key;
use harrierward_wire::{JobNotice, PeerReply, PeerRequest, PullReply, peer_reply, peer_request};
use tokio::time::timeout;

use crate::cancel_task;
use crate::node::{Shared, lock};

/// Timeout of a job notice.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(700);

pub(crate) async fn serve(shared: &Arc<Shared>, request: PeerRequest) -> PeerReply {
    let kind = match request.kind {
        Some(peer_request::Kind::Pull(pull)) => {
            // An owner that may have missed a cancellation grants no items.
            let is_fresh = lock(&shared.cancel_freshness).is_fresh(shared.now());
            let reply = if shared.is_draining() || !is_fresh {
                PullReply::default()
            } else {
                shared.owner.pull(&pull)
            };
            peer_reply::Kind::Pull(reply)
        }
        Some(peer_request::Kind::Results(results)) => {
            peer_reply::Kind::Results(shared.owner.results(&results))
        }
        Some(peer_request::Kind::JobNotice(notice)) => {
            shared.owner.job_accepted(&notice).await;
            peer_reply::Kind::Noted(true)
        }
        Some(peer_request::Kind::Cancel(cancel)) => {
            peer_reply::Kind::Cancel(cancel_task::serve(shared, cancel).await)
        }
        Some(peer_request::Kind::ConfigDelta(request)) => {
            peer_reply::Kind::ConfigDelta(lock(&shared.config_replica).delta(request.after))
        }
        Some(peer_request::Kind::ConfigRevision(_)) => {
            peer_reply::Kind::ConfigRevision(shared.config.load().revision())
        }
        None => peer_reply::Kind::Noted(false),
    };
    PeerReply { kind: Some(kind) }
}

/// Notifies the owner of the shard of a new job; if the notice is lost, the owner discovers the job in the table.
pub(crate) async fn announce_job(shared: &Arc<Shared>, tenant: &str, job_id: &str, shard: u32) {
    let notice = JobNotice {
        tenant: tenant.to_owned(),
        job_id: job_id.to_owned(),
        shard,
    };
    let Some(owner) = shared.owner_of(&shard_key(shard)) else {
        return;
    };
    if owner == shared.identity.member {
        shared.owner.job_accepted(&notice).await;
        return;
    }
    let Some(address) = shared.peer_address(&owner) else {
        return;
    };
    let request = PeerRequest {
        kind: Some(peer_request::Kind::JobNotice(notice)),
    };
    let _ = timeout(NOTICE_TIMEOUT, shared.network.call(&address, request)).await;
}
