//! `/v1/files`: streamed uploads of batch input and streamed downloads of input and results.

use axum::Json;
use axum::body::{Body, Bytes};
use axum::extract::multipart::{Field, MultipartError};
use axum::extract::{Multipart, Path, Query, State};
use axum::http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use axum::http::{HeaderMap, HeaderValue, StatusCode, Version};
use axum::response::Response;
use futures::stream::{self, BoxStream};
use futures::{StreamExt, TryStreamExt};
use harrierward_batch::{BatchError, FileService, FileUpload, ResultReader, UploadRequest};
use harrierward_node::{Node, now_ms};
use harrierward_wire::FileRow;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::auth::{Caller, check_accepting_work, idempotency_key};
use crate::batches::output_job_id;
use crate::errors::ApiError;

const PREFIX: &str = "files:";

/// The only supported `purpose` of an upload.
const PURPOSE: &str = "batch";

/// Maximum and default of the `limit` parameter of lists.
const MAX_PAGE_SIZE: usize = 100;
const DEFAULT_PAGE_SIZE: usize = 20;

/// Query parameters of a paginated list.
#[derive(Debug, Deserialize)]
pub(crate) struct Page {
    after: Option<String>,
    limit: Option<usize>,
}

impl Page {
    pub fn after(&self) -> Option<&str> {
        self.after.as_deref()
    }

    pub fn limit(&self) -> Result<usize, ApiError> {
        let limit = self.limit.unwrap_or(DEFAULT_PAGE_SIZE);
        if (1..=MAX_PAGE_SIZE).contains(&limit) {
            Ok(limit)
        } else {
            Err(ApiError::bad_field(
                "limit",
                format!("1 to {MAX_PAGE_SIZE}"),
            ))
        }
    }
}

fn render(file: &FileRow) -> Value {
    json!({
        "id": file.file_id,
        "object": "file",
        "bytes": file.bytes,
        "created_at": file.created_at_ms / 1000,
        "filename": file.filename,
        "purpose": file.purpose,
        "status": "processed",
    })
}

fn bad_form(error: MultipartError) -> ApiError {
    if error.status() == StatusCode::PAYLOAD_TOO_LARGE {
        let status = StatusCode::PAYLOAD_TOO_LARGE;
        return ApiError::new(status, "body_too_large", format!("file: {error}"));
    }
    ApiError::bad_field("body", format!("is no readable form: {error}"))
}

pub(crate) async fn upload(
    State(node): State<Node>,
    caller: Caller,
    headers: HeaderMap,
    form: Result<Multipart, axum::extract::multipart::MultipartRejection>,
) -> Result<Json<Value>, ApiError> {
    check_accepting_work(&node)?;
    let mut form = form.map_err(|error| ApiError::bad_field("body", error))?;
    let now_ms = now_ms();
    let request = UploadRequest {
        tenant: caller.tenant,
        file_id: format!("file-{now_ms:013x}{:016x}", node.random_id()),
        client_key: idempotency_key(&headers)?,
        now_ms,
    };
    let mut upload = node.files().upload(request);
    match read_form(&mut form, &mut upload).await {
        Ok(()) => {
            let file = upload.finish().await?;
            Ok(Json(render(&file)))
        }
        Err(error) => {
            upload.abandon().await;
            Err(error)
        }
    }
}

async fn read_form(form: &mut Multipart, upload: &mut FileUpload) -> Result<(), ApiError> {
    let mut has_file = false;
    let mut has_purpose = false;
    while let Some(field) = form.next_field().await.map_err(bad_form)? {
        let name = field.name().unwrap_or_default().to_owned();
        match name.as_str() {
            "purpose" => {
                read_purpose(field).await?;
                has_purpose = true;
            }
            "file" => {
                read_file(field, upload).await?;
                has_file = true;
            }
            _ => {}
        }
    }
    if !has_file {
        return Err(ApiError::bad_field("file", "is missing"));
    }
    if !has_purpose {
        return Err(ApiError::bad_field("purpose", "is missing"));
    }
    Ok(())
}

/// Reads the purpose of an upload only as far as it can be the supported one.
async fn read_purpose(mut field: Field<'_>) -> Result<(), ApiError> {
    let mut rest = PURPOSE.as_bytes();
    while let Some(content) = field.chunk().await.map_err(bad_form)? {
        let Some(after) = rest.strip_prefix(content.as_ref()) else {
            return Err(ApiError::bad_field("purpose", "must be batch"));
        };
        rest = after;
    }
    if rest.is_empty() {
        Ok(())
    } else {
        Err(ApiError::bad_field("purpose", "must be batch"))
    }
}

async fn read_file(mut field: Field<'_>, upload: &mut FileUpload) -> Result<(), ApiError> {
    upload.set_filename(field.file_name().unwrap_or("upload.jsonl"));
    while let Some(content) = field.chunk().await.map_err(bad_form)? {
        upload.write(&content).await?;
    }
    Ok(())
}

pub(crate) async fn list(
    State(node): State<Node>,
    caller: Caller,
    Query(page): Query<Page>,
) -> Result<Json<Value>, ApiError> {
    let limit = page.limit()?;
    let files = node
        .files()
        .list(&caller.tenant, page.after(), limit)
        .await?;
    let data: Vec<Value> = files.iter().map(render).collect();
    Ok(Json(json!({
        "object": "list",
        "data": data,
        "has_more": files.len() == limit,
    })))
}

pub(crate) async fn get(
    State(node): State<Node>,
    caller: Caller,
    Path(file_id): Path<String>,
) -> Result<Json<Value>, ApiError> {
    if let Some(job_id) = output_job_id(&file_id) {
        let job = node.jobs().get(&caller.tenant, job_id).await?;
        return Ok(Json(json!({
            "id": file_id,
            "object": "file",
            "bytes": 0,
            "created_at": job.row.created_at_ms / 1000,
            "filename": format!("{job_id}_output.jsonl"),
            "purpose": "batch_output",
            "status": "processed",
        })));
    }
    let file = node.files().get(&caller.tenant, &file_id).await?;
    Ok(Json(render(&file)))
}

pub(crate) async fn delete(
    State(node): State<Node>,
    caller: Caller,
    Path(file_id): Path<String>,
) -> Result<Json<Value>, ApiError> {
    node.files().delete(&caller.tenant, &file_id).await?;
    Ok(Json(
        json!({"id": file_id, "object": "file", "deleted": true}),
    ))
}

/// Content of a file in parts.
type Parts = BoxStream<'static, Result<Bytes, BatchError>>;

fn result_parts(reader: ResultReader) -> Parts {
    stream::try_unfold(reader, |mut reader| async move {
        let next = reader.next().await?;
        Ok(next.map(|part| (part, reader)))
    })
    .boxed()
}

fn input_parts(files: FileService, file: FileRow) -> Parts {
    stream::try_unfold((files, file, 0), |(files, file, part)| async move {
        if part == file.parts {
            return Ok(None);
        }
        let content = files.part(&file, part).await?;
        Ok(Some((content, (files, file, part + 1))))
    })
    .boxed()
}

/// True if the end of a body of unknown length is marked only by the close of the connection, as a failure is.
fn needs_length(version: Version) -> bool {
    version < Version::HTTP_11
}

/// Reads the content once and returns its length in bytes.
async fn length_of(parts: Parts) -> Result<u64, BatchError> {
    let add = |length, part: Bytes| async move { Ok(length + part.len() as u64) };
    parts.try_fold(0, add).await
}

/// Streams content; `read` returns the same content each time.
async fn jsonl(version: Version, read: impl Fn() -> Parts) -> Result<Response, ApiError> {
    let length = if needs_length(version) {
        Some(length_of(read()).await?)
    } else {
        None
    };
    let parts = read().inspect_err(|error| log::warn!("{PREFIX} a download broke off: {error}"));
    let mut response = Response::new(Body::from_stream(parts));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/jsonl"));
    if let Some(length) = length {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    Ok(response)
}

/// Streams a file's content. A store failure midway aborts the connection, so that the caller detects the
/// truncated response: by its chunks, or by its length where it knows no chunks.
pub(crate) async fn content(
    State(node): State<Node>,
    caller: Caller,
    version: Version,
    Path(file_id): Path<String>,
) -> Result<Response, ApiError> {
    if let Some(job_id) = output_job_id(&file_id) {
        node.jobs().get(&caller.tenant, job_id).await?;
        let mut reader = ResultReader::new(node.table(), node.objects(), job_id);
        if needs_length(version) {
            // Results that are committed later would change the length.
            reader.list_all().await?;
        }
        return jsonl(version, || result_parts(reader.clone())).await;
    }
    let file = node.files().get(&caller.tenant, &file_id).await?;
    jsonl(version, || input_parts(node.files().clone(), file.clone())).await
}
