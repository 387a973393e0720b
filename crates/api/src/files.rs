//! `/v1/files`: streamed uploads of batch input and streamed downloads of input and results.

use axum::Json;
use axum::body::Body;
use axum::extract::multipart::{Field, MultipartError};
use axum::extract::{Multipart, Path, Query, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode, header::CONTENT_TYPE};
use axum::response::Response;
use futures::stream;
use harrierward_batch::{FileUpload, ResultReader, UploadRequest};
use harrierward_node::{Node, now_ms};
use harrierward_wire::FileRow;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::auth::{Caller, check_accepting_work, idempotency_key};
use crate::batches::output_job_id;
use crate::errors::ApiError;

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
                let purpose = field.text().await.map_err(bad_form)?;
                if purpose != PURPOSE {
                    return Err(ApiError::bad_field("purpose", "must be batch"));
                }
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

fn jsonl(body: Body) -> Response {
    let mut response = Response::new(body);
    let kind = HeaderValue::from_static("application/jsonl");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// Streams a file's content. A store failure midway aborts the connection, so that the caller detects the
/// truncated response.
pub(crate) async fn content(
    State(node): State<Node>,
    caller: Caller,
    Path(file_id): Path<String>,
) -> Result<Response, ApiError> {
    if let Some(job_id) = output_job_id(&file_id) {
        node.jobs().get(&caller.tenant, job_id).await?;
        let reader = ResultReader::new(node.table(), node.objects(), job_id);
        let parts = stream::try_unfold(reader, |mut reader| async move {
            let next = reader.next().await.map_err(std::io::Error::other)?;
            Ok::<_, std::io::Error>(next.map(|part| (part, reader)))
        });
        return Ok(jsonl(Body::from_stream(parts)));
    }
    let file = node.files().get(&caller.tenant, &file_id).await?;
    let files = node.files().clone();
    let parts = stream::try_unfold((files, file, 0), |(files, file, part)| async move {
        if part == file.parts {
            return Ok::<_, std::io::Error>(None);
        }
        let body = files.part(&file, part).await;
        let body = body.map_err(std::io::Error::other)?;
        Ok(Some((body, (files, file, part + 1))))
    });
    Ok(jsonl(Body::from_stream(parts)))
}
