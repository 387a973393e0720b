//! Uploaded files: streamed, validated line by line, and stored as parts of [`CHUNK_ITEMS`] lines.
//!
//! Part `n` of an input file is the input of chunk `n` of a job, so no process keeps a full file in memory.

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
use crate::keys::{
    CHUNK_ITEMS, MAX_ITEMS, chunk_size, client_key, file_key, file_prefix, part_name,
};
use crate::lines::read_lines;
use crate::rate_limit::retry_rate_limited;

/// Maximum length of a line, bytes.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Maximum number of different models in one file.
const MAX_MODELS: usize = 1;

/// Purpose of files whose lines are validated as batch input.
const BATCH_PURPOSE: &str = "batch";

/// Validates the body of a line against its URL and returns the requested model; the error says what is invalid.
pub type LineCheck = Arc<dyn Fn(&str, &serde_json::Value) -> Result<String, String> + Send + Sync>;

/// Request to upload a file.
#[derive(Debug, Clone)]
pub struct UploadRequest {
    /// Tenant of the caller.
    pub tenant: String,
    /// Unique id for the file.
    pub file_id: String,
    /// The caller's idempotency key, if any.
    pub client_key: Option<String>,
    /// Current time, milliseconds since 1970.
    pub now_ms: u64,
}

#[derive(Deserialize)]
struct InputLine {
    custom_id: String,
    method: String,
    url: String,
    body: serde_json::Value,
}

/// File service of one daemon; cheap to clone.
#[derive(Clone)]
pub struct FileService {
    table: Arc<dyn Table>,
    objects: Arc<dyn ObjectStore>,
    check: LineCheck,
}

impl FileService {
    /// Creates a service on the given stores; `check` validates lines of batch input.
    pub fn new(table: Arc<dyn Table>, objects: Arc<dyn ObjectStore>, check: LineCheck) -> Self {
        Self {
            table,
            objects,
            check,
        }
    }

    /// Starts an upload of batch input; nothing is stored until its first part is full or the upload is finished.
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

    /// Returns a file of the tenant, unless it was deleted.
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

    /// Lists files of the tenant after the file id `after`. Deleted ones count towards `limit` but are left out.
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

    /// Marks a file as deleted. Its parts stay, because jobs may still read them.
    pub async fn delete(&self, tenant: &str, file_id: &str) -> Result<(), BatchError> {
        let mut file = self.get(tenant, file_id).await?;
        file.deleted = true;
        let write = Transaction::default().put(file_key(tenant, file_id), encode(&file));
        self.table.transact(RequestClass::Commit, write).await?;
        Ok(())
    }

    /// Reads one part of a file; parts are numbered from 0.
    pub async fn part(&self, file: &FileRow, part: u32) -> Result<Bytes, BatchError> {
        let name = part_name(&file.object_prefix, part);
        let lines = chunk_size(file.lines, part);
        let read = retry_rate_limited(|| read_lines(self.objects.as_ref(), &name, lines));
        Ok(read.await?)
    }
}

/// An upload in progress; buffers at most one part of the file.
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
    /// Sets the name that listings show; empty by default.
    pub fn set_filename(&mut self, filename: &str) {
        self.filename = filename.to_owned();
    }

    /// Appends content. After an error the caller must call [`Self::abandon`].
    pub async fn write(&mut self, content: &[u8]) -> Result<(), BatchError> {
        self.bytes += content.len() as u64;
        self.digest.update(content);
        self.partial.extend_from_slice(content);
        while let Some(end) = self.partial.iter().position(|byte| *byte == b'\n') {
            let line = self.partial.split_to(end + 1);
            self.add_line(&line[..end]).await?;
        }
        if self.partial.len() > MAX_LINE_BYTES {
            return Err(self.line_error(format!("longer than {MAX_LINE_BYTES} bytes")));
        }
        Ok(())
    }

    fn line_error(&self, detail: impl Into<String>) -> BatchError {
        BatchError::BadLine(LineError {
            line: self.lines + 1,
            detail: detail.into(),
        })
    }

    async fn add_line(&mut self, line: &[u8]) -> Result<(), BatchError> {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.iter().all(u8::is_ascii_whitespace) {
            return Ok(());
        }
        if line.len() > MAX_LINE_BYTES {
            return Err(self.line_error(format!("longer than {MAX_LINE_BYTES} bytes")));
        }
        if self.lines == MAX_ITEMS {
            return Err(self.line_error(format!("a file holds at most {MAX_ITEMS} lines")));
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
            serde_json::from_slice(line).map_err(|error| self.line_error(error.to_string()))?;
        if input.custom_id.is_empty() {
            return Err(self.line_error("custom_id: must not be empty"));
        }
        if input.method != "POST" {
            return Err(self.line_error("method: must be POST"));
        }
        let checked = (self.service.check)(&input.url, &input.body);
        let model = checked.map_err(|detail| self.line_error(detail))?;
        if !self.custom_ids.insert(xxh3_64(input.custom_id.as_bytes())) {
            return Err(self.line_error(format!("custom_id: {} came before", input.custom_id)));
        }
        self.models.insert(model);
        self.urls.insert(input.url);
        if self.models.len() > MAX_MODELS {
            return Err(self.line_error("body.model: differs from the lines before"));
        }
        if self.urls.len() > 1 {
            return Err(self.line_error("url: differs from the lines before"));
        }
        Ok(())
    }

    async fn store_part(&mut self) -> Result<(), BatchError> {
        let name = part_name(&self.object_prefix, self.parts);
        let body = self.part.split().freeze();
        // The name is unique to this upload, so a put whose response was lost can be resent.
        put_with_retries(self.service.objects.as_ref(), &name, body).await?;
        self.parts += 1;
        self.lines_in_part = 0;
        Ok(())
    }

    /// Commits the file and returns its row; for a resend, the row of the first upload.
    pub async fn finish(mut self) -> Result<FileRow, BatchError> {
        let finished = self.try_finish().await;
        match &finished {
            // The file may be committed, and a resend would return it, so its parts must stay.
            Ok(_) | Err(BatchError::Indeterminate(_)) => {}
            Err(_) => self.abandon().await,
        }
        finished
    }

    async fn try_finish(&mut self) -> Result<FileRow, BatchError> {
        let last_line = self.partial.split();
        self.add_line(&last_line).await?;
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
            insert_if_absent(
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
        let existing = insert_if_absent(self.service.table.as_ref(), transaction, &key).await?;
        let first = existing.map(|row| decode::<JobKeyRow>(&row.value).unwrap_or_default());
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

    /// Deletes the stored parts of an upload that failed or repeated an earlier one; errors are ignored.
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

/// Maximum number of tries of a call whose response may be lost.
const MAX_TRIES: usize = 4;

async fn put_with_retries(
    objects: &dyn ObjectStore,
    name: &str,
    body: Bytes,
) -> Result<(), PlatformError> {
    let mut result = Ok(());
    for _ in 0..MAX_TRIES {
        result = retry_rate_limited(|| objects.put(RequestClass::Commit, name, body.clone())).await;
        match &result {
            Err(error) if error.may_have_happened() => {}
            _ => return result,
        }
    }
    result
}

/// Commits `transaction` if no row exists at `key`, with retries after lost responses. Otherwise returns the existing
/// row, which an earlier try of this call may have written.
pub(crate) async fn insert_if_absent(
    table: &dyn Table,
    transaction: Transaction,
    key: &str,
) -> Result<Option<Row>, BatchError> {
    let transaction = transaction.require(Condition::Absent {
        key: key.to_owned(),
    });
    let mut lost_error = None;
    for _ in 0..MAX_TRIES {
        let outcome = table
            .transact(RequestClass::Commit, transaction.clone())
            .await;
        match outcome {
            Ok(TransactionOutcome::Committed { .. }) => return Ok(None),
            Ok(TransactionOutcome::Conflict { current, .. }) => return Ok(current),
            Err(error) if error.may_have_happened() => lost_error = Some(error),
            Err(error) if lost_error.is_none() => return Err(BatchError::Store(error)),
            Err(_) => {}
        }
    }
    match lost_error {
        Some(error) => Err(BatchError::Indeterminate(error)),
        None => Ok(None),
    }
}
