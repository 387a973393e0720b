//! Guards against followers that avoid a peer with an old copy while nobody else can have a newer one.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use harrierward_decisions::{DecisionLog, LogBounds};
use harrierward_external::{
    ChangePage, FreshnessProof, PageStart, PlatformError, PlatformErrorKind, RowRead, SpacePage,
    SpaceSnapshot, WatchedTable,
};
use harrierward_relay::{PeerCopies, Relay, RelayPeer, RelayReply, RelayTree, SpaceRequest};
use tokio::time::sleep;

const SPACE: &str = "replicas";

/// Revision of all copies.
const REVISION: u64 = 7;

/// Number of members of a zone that relays.
const MEMBERS: usize = 40;

/// Time after which the members of a zone relay.
const SETTLED: Duration = Duration::from_secs(2);

/// Hold time that a watch asks for.
const HOLD: Duration = Duration::from_secs(1);

/// Age of a proof that is too old at each step of a zone's tree.
const OLD_PROOF: Duration = Duration::from_secs(5);

/// A store that has lost its history.
struct ForgetfulStore;

#[async_trait]
impl WatchedTable for ForgetfulStore {
    async fn read_page(&self, _: &str, _: PageStart<'_>) -> Result<SpacePage, PlatformError> {
        Ok(SpacePage::default())
    }

    async fn read_row(&self, _: &str) -> Result<RowRead, PlatformError> {
        Ok(RowRead::default())
    }

    async fn wait_changes(
        &self,
        _: &str,
        _: u64,
        _: Duration,
    ) -> Result<ChangePage, PlatformError> {
        let kind = PlatformErrorKind::HistoryLost;
        Err(PlatformError::new("changes", "store", kind, "forgotten"))
    }
}

/// Peers whose copies have old proofs; notes which of them were asked to hold a request.
#[derive(Default)]
struct OldCopies {
    holders: Mutex<Vec<String>>,
}

#[async_trait]
impl PeerCopies for OldCopies {
    async fn request(&self, peer: &RelayPeer, request: SpaceRequest) -> RelayReply {
        if !request.hold.is_zero() {
            self.holders.lock().unwrap().push(peer.id.clone());
        }
        sleep(request.hold).await;
        let as_of = harrierward_clock::now().checked_sub(OLD_PROOF);
        RelayReply::Page(ChangePage {
            revision: REVISION,
            proof: as_of.map(|as_of| FreshnessProof {
                peer: peer.id.as_str().into(),
                as_of,
                digest: 0,
            }),
            ..ChangePage::default()
        })
    }
}

/// Returns the members of a zone, and one that follows its reader, with the reader.
fn zone() -> (Vec<RelayPeer>, RelayPeer, RelayPeer) {
    let members = (0..MEMBERS).map(|number| RelayPeer {
        id: format!("front-{number}@1"),
        address: String::new(),
    });
    let members: Vec<RelayPeer> = members.collect();
    let mut followers = members.iter().rev().filter_map(|member| {
        let ancestors = RelayTree::new(&member.id, &members).ancestors;
        let [reader] = ancestors.as_slice() else {
            return None;
        };
        Some((member.clone(), reader.clone()))
    });
    let (follower, reader) = followers.next().expect("a follower of the reader");
    (members, follower, reader)
}

/// Gives a relay a copy that is proven now.
fn read_in_full(relay: &Relay) {
    let mut copy = relay.space(SPACE).unwrap().copy();
    let snapshot = SpaceSnapshot {
        revision: REVISION,
        ..SpaceSnapshot::default()
    };
    let mut update = copy.apply_snapshot(snapshot).expect("it is newer");
    update.as_of = Some(harrierward_clock::now());
    copy.prove(&update);
}

#[tokio::test(start_paused = true)]
async fn a_follower_returns_to_its_peer_while_the_history_of_the_store_is_lost() {
    let (members, follower, reader) = zone();
    let peers = Arc::new(OldCopies::default());
    let log = DecisionLog::new(LogBounds::default());
    let store = Arc::new(ForgetfulStore);
    let relay = Relay::new(&follower.id, store, peers.clone(), &[SPACE], log);
    relay.set_members(&members, MEMBERS);
    sleep(SETTLED).await;
    read_in_full(&relay);
    let holders = || std::mem::take(&mut *peers.holders.lock().unwrap());
    let behind = relay.wait_changes(SPACE, REVISION, HOLD).await;
    assert!(behind.is_ok(), "the peer replies: {behind:?}");
    assert_eq!(holders(), std::slice::from_ref(&reader.id));
    let without_history = relay.wait_changes(SPACE, REVISION, HOLD).await;
    assert!(without_history.is_err(), "nobody has changes");
    assert!(holders().is_empty(), "the store was asked first");
    let _ = relay.wait_changes(SPACE, REVISION, HOLD).await;
    assert_eq!(holders(), [reader.id], "the only one that may learn more");
}
