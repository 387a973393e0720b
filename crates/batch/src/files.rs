//! Uploaded files: streamed in, checked line by line, stored as parts of [`CHUNK_ITEMS`] lines.
//!
//! Why parts: part n of an input file is chunk n of a job, so that nobody ever holds a whole file.

use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use harrierward_external::{
    Condition, ObjectStore, PlatformError, RequestClass, Row, Table, Transaction,
    TransactionOutcome,
};
use harrierward_wire::{FileRow, JobKeyRow, decode, encode};
use serde::Deserialize;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

use crate::errors::{BatchError, LineError};
use crate::keys::{CHUNK_ITEMS, MAX_ITEMS, client_key, file_key, file_prefix, part_name};
use crate::patience::at_the_rate;

/// Longest line, bytes.
const LONGEST_LINE: usize = 1 << 20;

/// Most different models named in one file.
const MOST_MODELS: usize = 1;

/// Purpose of files that are checked as batch input.
const BATCH_PURPOSE: &str = "batch";

/// Checks the body of a line for a URL; gives the model it names.
pub type LineCheck = Arc<dyn Fn(&str, &serde_json::Value) -> Result<String, String> + Send + Sync>;

/// An upload about to start.
#[derive(Debug, Clone)]
pub struct UploadRequest {
    /// Tenant of the caller.
    pub tenant: String,
    /// Id for the file, unique.
    pub file_id: String,
    /// The caller's idempotency key.
    pub client_key: Option<String>,
    /// Time, milliseconds since 1970.
    pub now_ms: u64,
}

#[derive(Deserialize)]
struct InputLine {
    custom_id: String,
    method: String,
    url: String,
    body: serde_json::Value,
}

/// The file service of one daemon; cheap to clone.
#[derive(Clone)]
pub struct FileService {
    table: Arc<dyn Table>,
    objects: Arc<dyn ObjectStore>,
    check: LineCheck,
}

impl FileService {
    /// A service on the given stores.
    pub fn new(table: Arc<dyn Table>, objects: Arc<dyn ObjectStore>, check: LineCheck) -> Self {
        Self {
            table,
            objects,
            check,
        }
    }

    /// Starts an upload.
    pub fn upload(&self, request: UploadRequest) -> FileUpload {
        let object_prefix = format!("input/{}/{}", request.tenant, request.file_id);
        FileUpload {
            service: self.clone(),
            request,
            object_prefix,
            purpose: BATCH_PURPOSE.to_owned(),
            filename: String::new(),
            partial: BytesMut::new(),
            part: BytesMut::new(),
            lines: 0,
            lines_in_part: 0,
            parts: 0,
            bytes: 0,
            digest: Xxh3::new(),
            models: BTreeSet::new(),
            urls: BTreeSet::new(),
            custom_ids: HashSet::new(),
        }
    }

    /// One file of the tenant.
    pub async fn get(&self, tenant: &str, file_id: &str) -> Result<FileRow, BatchError> {
        let keys = [file_key(tenant, file_id)];
        let rows = self.table.get(RequestClass::Commit, &keys).await?;
        rows.into_iter()
            .flatten()
            .next()
            .and_then(|row| decode::<FileRow>(&row.value))
            .filter(|file| !file.deleted)
            .ok_or_else(|| BatchError::NotFound {
                kind: "file",
                id: file_id.to_owned(),
            })
    }

    /// Files of the tenant after `after`, up to `limit`.
    pub async fn list(
        &self,
        tenant: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Vec<FileRow>, BatchError> {
        let after = after.map(|id| file_key(tenant, id)).unwrap_or_default();
        let prefix = file_prefix(tenant);
        let rows = self
            .table
            .scan(RequestClass::Listing, &prefix, &after, limit)
            .await?;
        let files = rows.iter().filter_map(|row| decode::<FileRow>(&row.value));
        Ok(files.filter(|file| !file.deleted).collect())
    }

    /// Marks a file as deleted. Its parts stay, since jobs may still read them.
    pub async fn delete(&self, tenant: &str, file_id: &str) -> Result<(), BatchError> {
        let mut file = self.get(tenant, file_id).await?;
        file.deleted = true;
        let write = Transaction::default().put(file_key(tenant, file_id), encode(&file));
        self.table.transact(RequestClass::Commit, write).await?;
        Ok(())
    }

    /// One part of a file's content.
    pub async fn part(&self, file: &FileRow, part: u32) -> Result<Bytes, BatchError> {
        let name = part_name(&file.object_prefix, part);
        let read = at_the_rate(|| self.objects.get(RequestClass::Commit, &name));
        Ok(read.await?)
    }
}

/// An upload in progress. Memory stays at one part, whatever the file's size.
pub struct FileUpload {
    service: FileService,
    request: UploadRequest,
    object_prefix: String,
    purpose: String,
    filename: String,
    partial: BytesMut,
    part: BytesMut,
    lines: u32,
    lines_in_part: u32,
    parts: u32,
    bytes: u64,
    digest: Xxh3,
    models: BTreeSet<String>,
    urls: BTreeSet<String>,
    custom_ids: HashSet<u64>,
}

impl FileUpload {
    /// Sets the file's name.
    pub fn set_filename(&mut self, filename: &str) {
        self.filename = filename.to_owned();
    }

    /// Takes some content. After an error the upload must be abandoned by [`Self::abandon`].
    pub async fn write(&mut self, content: &[u8]) -> Result<(), BatchError> {
        self.bytes += content.len() as u64;
        self.digest.update(content);
        self.partial.extend_from_slice(content);
        while let Some(end) = self.partial.iter().position(|byte| *byte == b'\n') {
            let line = self.partial.split_to(end + 1);
            self.take_line(&line[..end]).await?;
        }
        if self.partial.len() > LONGEST_LINE {
            return Err(self.problem(format!("longer than {LONGEST_LINE} bytes")));
        }
        Ok(())
    }

    fn problem(&self, detail: impl Into<String>) -> BatchError {
        BatchError::BadLine(LineError {
            line: self.lines + 1,
            detail: detail.into(),
        })
    }

    async fn take_line(&mut self, line: &[u8]) -> Result<(), BatchError> {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.iter().all(u8::is_ascii_whitespace) {
            return Ok(());
        }
        if line.len() > LONGEST_LINE {
            return Err(self.problem(format!("longer than {LONGEST_LINE} bytes")));
        }
        if self.lines == MAX_ITEMS {
            return Err(self.problem(format!("a file holds at most {MAX_ITEMS} lines")));
        }
        if self.purpose == BATCH_PURPOSE {
            self.check_line(line)?;
        }
        self.part.extend_from_slice(line);
        self.part.extend_from_slice(b"\n");
        self.lines += 1;
        self.lines_in_part += 1;
        if self.lines_in_part == CHUNK_ITEMS {
            self.store_part().await?;
        }
        Ok(())
    }

    fn check_line(&mut self, line: &[u8]) -> Result<(), BatchError> {
        let input: InputLine =
            serde_json::from_slice(line).map_err(|error| self.problem(error.to_string()))?;
        if input.custom_id.is_empty() {
            return Err(self.problem("custom_id: must not be empty"));
        }
        if input.method != "POST" {
            return Err(self.problem("method: must be POST"));
        }
        let checked = (self.service.check)(&input.url, &input.body);
        let model = checked.map_err(|detail| self.problem(detail))?;
        if !self.custom_ids.insert(xxh3_64(input.custom_id.as_bytes())) {
            return Err(self.problem(format!("custom_id: {} came before", input.custom_id)));
        }
        self.models.insert(model);
        self.urls.insert(input.url);
        if self.models.len() > MOST_MODELS {
            return Err(self.problem("body.model: differs from the lines before"));
        }
        if self.urls.len() > 1 {
            return Err(self.problem("url: differs from the lines before"));
        }
        Ok(())
    }

    async fn store_part(&mut self) -> Result<(), BatchError> {
        let name = part_name(&self.object_prefix, self.parts);
        let body = self.part.split().freeze();
        // The name is this upload's own, so a put whose answer was lost can simply be sent again.
        put_again(self.service.objects.as_ref(), &name, body).await?;
        self.parts += 1;
        self.lines_in_part = 0;
        Ok(())
    }

    /// Ends the upload: the file exists once this returns.
    pub async fn finish(mut self) -> Result<FileRow, BatchError> {
        let finished = self.try_finish().await;
        match &finished {
            // The file may exist, and a resend would be given it: its parts must stay.
            Ok(_) | Err(BatchError::Indeterminate(_)) => {}
            Err(_) => self.abandon().await,
        }
        finished
    }

    async fn try_finish(&mut self) -> Result<FileRow, BatchError> {
        let rest = self.partial.split();
        self.take_line(&rest).await?;
        if self.lines_in_part > 0 {
            self.store_part().await?;
        }
        if self.lines == 0 {
            return Err(BatchError::BadField {
                field: "file",
                detail: "the file holds no line".to_owned(),
            });
        }
        let file = FileRow {
            file_id: self.request.file_id.clone(),
            filename: self.filename.clone(),
            purpose: self.purpose.clone(),
            bytes: self.bytes,
            lines: self.lines,
            parts: self.parts,
            object_prefix: self.object_prefix.clone(),
            created_at_ms: self.request.now_ms,
            models: self.models.iter().cloned().collect(),
            urls: self.urls.iter().cloned().collect(),
            digest: self.digest.digest128().to_le_bytes().to_vec(),
            deleted: false,
        };
        self.commit(file).await
    }

    async fn commit(&self, file: FileRow) -> Result<FileRow, BatchError> {
        let tenant = &self.request.tenant;
        let id = file.file_id.clone();
        let mut transaction = Transaction::default().put(file_key(tenant, &id), encode(&file));
        let Some(client) = &self.request.client_key else {
            settle_insert(
                self.service.table.as_ref(),
                transaction,
                &file_key(tenant, &id),
            )
            .await?;
            return Ok(file);
        };
        let key = client_key("file", tenant, client);
        let key_row = JobKeyRow {
            id,
            digest: file.digest.clone(),
        };
        transaction = transaction.put(&key, encode(&key_row));
        let standing = settle_insert(self.service.table.as_ref(), transaction, &key).await?;
        let first = standing.map(|row| decode::<JobKeyRow>(&row.value).unwrap_or_default());
        match first {
            None => Ok(file),
            Some(first) if first.id == file.file_id => Ok(file),
            Some(first) if first.digest == file.digest => {
                self.abandon().await;
                self.service.get(tenant, &first.id).await
            }
            Some(_) => Err(BatchError::KeyReused),
        }
    }

    /// Removes what was stored of an upload that failed.
    pub async fn abandon(&self) {
        for part in 0..self.parts {
            let name = part_name(&self.object_prefix, part);
            let _ = self
                .service
                .objects
                .delete(RequestClass::Listing, &name)
                .await;
        }
    }
}

/// Tries of a call whose answer may be lost.
const SETTLE_TRIES: usize = 4;

async fn put_again(
    objects: &dyn ObjectStore,
    name: &str,
    body: Bytes,
) -> Result<(), PlatformError> {
    let mut result = Ok(());
    for _ in 0..SETTLE_TRIES {
        result = at_the_rate(|| objects.put(RequestClass::Commit, name, body.clone())).await;
        match &result {
            Err(error) if error.may_have_happened() => {}
            _ => return result,
        }
    }
    result
}

/// Inserts a row that must not exist yet, together with the rest of `transaction`. Lost answers are settled by
/// sending it again. Gives the row that stands instead, which may be this call's own earlier try.
pub(crate) async fn settle_insert(
    table: &dyn Table,
    transaction: Transaction,
    key: &str,
) -> Result<Option<Row>, BatchError> {
    let transaction = transaction.require(Condition::Absent {
        key: key.to_owned(),
    });
    let mut lost = None;
    for _ in 0..SETTLE_TRIES {
        let outcome = table
            .transact(RequestClass::Commit, transaction.clone())
            .await;
        match outcome {
            Ok(TransactionOutcome::Committed { .. }) => return Ok(None),
            Ok(TransactionOutcome::Conflict { current, .. }) => return Ok(current),
            Err(error) if error.may_have_happened() => lost = Some(error),
            Err(error) if lost.is_none() => return Err(BatchError::Store(error)),
            Err(_) => {}
        }
    }
    match lost {
        Some(error) => Err(BatchError::Indeterminate(error)),
        None => Ok(None),
    }
}
