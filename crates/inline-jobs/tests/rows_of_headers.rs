//! Guards against mistaking one of the kinds of rows in the space of the headers for another.

mod support;

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use harrierward_external::{
    ChangePage, PageStart, PlatformError, Row, RowRead, SpacePage, WatchedTable,
};
use harrierward_inline_jobs::{
    JobStore, RowKind, crash_reports_key, host_services_key, partitions, row_kind,
    served_versions_key,
};
use harrierward_wire::{CrashNewsRow, JobHeadRow, QuotaFenceRow, encode};
use support::{UnavailableStore, unavailable};
use tokio::time::Instant;

const JOB: &str = "job-1";
const INSTANCE_ID: &str = "node@1";
const HEADER_KEY: &str = "jobheads/p0/job-1";
const FENCE_KEY: &str = "jobheads/p0/~quota.0000000000000001";

#[test]
fn a_row_kind_follows_from_its_key() {
    assert_eq!(row_kind(HEADER_KEY), RowKind::Header);
    assert_eq!(row_kind(FENCE_KEY), RowKind::Fence);
    assert_eq!(
        row_kind(&crash_reports_key(INSTANCE_ID)),
        RowKind::CrashReports
    );
    assert_eq!(row_kind(&served_versions_key(7)), RowKind::OriginSet);
    assert_eq!(row_kind(&host_services_key(7)), RowKind::OriginSet);
}

/// The row must lie where every daemon reads it.
#[test]
fn origin_sets_lie_in_one_of_the_partitions() {
    let keys = [0, 7, u32::MAX].map(|hash| [served_versions_key(hash), host_services_key(hash)]);
    for key in keys.into_iter().flatten() {
        let partition = key.split('/').nth(1).expect("a partition");
        assert!(partitions().iter().any(|one| one == partition), "{key}");
    }
}

/// The number of rows must not grow with restarts.
#[test]
fn a_restarted_daemon_reuses_its_crash_updates_row() {
    assert_eq!(crash_reports_key("node@1"), crash_reports_key("node@2-ab"));
    assert_ne!(crash_reports_key("node-1@1"), crash_reports_key("node-2@1"));
    let key = crash_reports_key(INSTANCE_ID);
    let partition = key.split('/').nth(1).expect("a partition");
    assert!(partitions().iter().any(|one| one == partition), "{key}");
}

/// A store with a row of each kind, all of which decode as a header.
struct AllKindsStore;

#[async_trait]
impl WatchedTable for AllKindsStore {
    async fn read_page(&self, _: &str, start: PageStart<'_>) -> Result<SpacePage, PlatformError> {
        let header = JobHeadRow {
            job_id: JOB.to_owned(),
            ..JobHeadRow::default()
        };
        let fence = QuotaFenceRow {
            route: "route".to_owned(),
            ..QuotaFenceRow::default()
        };
        let reports = CrashNewsRow {
            life: INSTANCE_ID.to_owned(),
            ..CrashNewsRow::default()
        };
        let rows = [
            (HEADER_KEY.to_owned(), encode(&header)),
            (FENCE_KEY.to_owned(), encode(&fence)),
            (crash_reports_key(INSTANCE_ID), encode(&reports)),
        ];
        let is_here = |key: &str| key.split('/').nth(1) == Some(start.partition);
        let rows = rows.into_iter().filter(|(key, _)| is_here(key));
        let rows = rows.map(|(key, value)| Row {
            key,
            value: value.into(),
            revision: 1,
        });
        Ok(SpacePage {
            rows: rows.collect(),
            revision: 1,
            ..SpacePage::default()
        })
    }

    async fn read_row(&self, _: &str) -> Result<RowRead, PlatformError> {
        Err(unavailable("read row"))
    }

    async fn wait_changes(
        &self,
        _: &str,
        _: u64,
        _: Duration,
    ) -> Result<ChangePage, PlatformError> {
        Err(unavailable("wait changes"))
    }
}

#[tokio::test]
async fn only_headers_are_read_as_headers() {
    let rows = Arc::new(AllKindsStore);
    let unavailable = Arc::new(UnavailableStore);
    let store = JobStore::new(unavailable.clone(), unavailable, rows);
    let until = Instant::now() + Duration::from_secs(2);
    let headers = store.read_headers(1, until).await.expect("read");
    let ids: Vec<&str> = headers
        .iter()
        .map(|known| known.header.job_id.as_str())
        .collect();
    assert_eq!(ids, [JOB]);
}
