//! Handlers of the administration API that read.

use std::sync::Arc;

use coltsfootkeel_model::RawFleet;
use coltsfootkeel_platform::CommitRecord;
use http::header::ETAG;
use http::{HeaderValue, StatusCode};
use serde::Serialize;
use serde_json::Value;
use volo_http::response::Response;

use crate::admin_api::{AdminApi, run_blocking};
use crate::admin_call::AdminCall;
use crate::admin_collections::Collection;
use crate::admin_error::AdminError;
use crate::admin_progress::ProgressAnswer;
use crate::entry_service::json_response;
use crate::state_dump::ConfigDump;

/// The maximum number of items of a list if the call sets no limit.
const DEFAULT_LIMIT: usize = 100;

/// The maximum limit that a call can set.
const MAX_LIMIT: usize = 1_000;

/// The result of a handler.
pub type AdminResult = Result<Response, AdminError>;

/// The body of the response with the status of the instance and its configuration.
#[derive(Debug, Serialize)]
struct StatusAnswer {
    instance: String,
    seat: Option<String>,
    leaving: bool,
    #[serde(flatten)]
    config: ConfigDump,
    message: String,
}

/// A page of the commits of the configuration, newest first.
#[derive(Debug, Serialize)]
struct HistoryAnswer {
    generation: u64,
    confirmed: bool,
    items: Vec<CommitRecord>,
    next: Option<u64>,
}

/// A generation: its commit, if the manifest still holds it, and the progress of its rollout.
#[derive(Debug, Serialize)]
struct GenerationAnswer {
    commit: Option<CommitRecord>,
    #[serde(flatten)]
    progress: ProgressAnswer,
}

/// The body of the response with the complete document.
#[derive(Debug, Serialize)]
struct DocumentAnswer {
    generation: u64,
    confirmed: bool,
    document: RawFleet,
}

/// A page of a collection.
#[derive(Debug, Serialize)]
struct ListAnswer {
    generation: u64,
    confirmed: bool,
    items: Vec<Value>,
    next: Option<String>,
}

/// One record of a collection.
#[derive(Debug, Serialize)]
struct ItemAnswer {
    generation: u64,
    confirmed: bool,
    item: Value,
}

/// Returns which configuration is in force, on how many instances, and which configurations were rejected.
pub async fn get_status(api: Arc<AdminApi>, _call: AdminCall) -> AdminResult {
    let dump = api.dump().await?;
    let config = dump.config;
    let message = format!(
        "generation {} is in force on {} of {} instances",
        config.generation, config.in_force, config.known
    );
    let answer = StatusAnswer {
        instance: dump.instance,
        seat: dump.seat,
        leaving: dump.leaving,
        config,
        message,
    };
    Ok(json_response(StatusCode::OK, &answer))
}

/// Returns a dump of the state of this instance.
pub async fn get_dump(api: Arc<AdminApi>, _call: AdminCall) -> AdminResult {
    let dump = api.dump().await?;
    Ok(json_response(StatusCode::OK, &dump))
}

/// Lists the commits that the manifest holds, newest first.
pub async fn list_generations(api: Arc<AdminApi>, call: AdminCall) -> AdminResult {
    let after = match &call.query.after {
        Some(text) => Some(parse_generation(text)?),
        None => None,
    };
    let base = api.readable_document().await?;
    let is_older = |commit: &&CommitRecord| after.is_none_or(|after| commit.generation < after);
    let mut items: Vec<CommitRecord> = base
        .commits()
        .iter()
        .rev()
        .filter(is_older)
        .cloned()
        .collect();
    let limit = page_limit(&call);
    let has_more = items.len() > limit;
    items.truncate(limit);
    let last = items.last().map(|commit| commit.generation);
    let answer = HistoryAnswer {
        generation: base.generation,
        confirmed: base.confirmed,
        next: last.filter(|_| has_more),
        items,
    };
    Ok(json_response(StatusCode::OK, &answer))
}

/// Returns the commit of a generation and the progress of its rollout.
pub async fn get_generation(api: Arc<AdminApi>, call: AdminCall) -> AdminResult {
    let generation = parse_generation(call.param("generation"))?;
    let base = api.readable_document().await?;
    if generation == 0 || generation > base.generation {
        return Err(AdminError::NotFound(format!("generation {generation}")));
    }
    let mut commits = base.commits().iter();
    let commit = commits.find(|commit| commit.generation == generation);
    let answer = GenerationAnswer {
        commit: commit.cloned(),
        progress: ProgressAnswer::new(generation, api.rollout_status(generation).await?),
    };
    Ok(json_response(StatusCode::OK, &answer))
}

/// Returns the complete document and its generation, which is also the entity tag.
pub async fn get_config(api: Arc<AdminApi>, _call: AdminCall) -> AdminResult {
    let base = api.readable_document().await?;
    let generation = base.generation;
    let mut response = run_blocking(move || {
        let answer = DocumentAnswer {
            generation,
            confirmed: base.confirmed,
            document: base.read(),
        };
        Ok(json_response(StatusCode::OK, &answer))
    })
    .await?;
    if let Ok(tag) = HeaderValue::try_from(format!("\"{generation}\"")) {
        response.headers_mut().insert(ETAG, tag);
    }
    Ok(response)
}

/// Returns a page of a collection, ordered by name.
pub async fn list_records(
    api: Arc<AdminApi>,
    call: AdminCall,
    collection: &'static Collection,
) -> AdminResult {
    let base = api.readable_document().await?;
    run_blocking(move || {
        let mut records = (collection.list)(&base.read());
        records.sort_by(|left, right| left.0.cmp(&right.0));
        if let Some(after) = &call.query.after {
            records.retain(|(name, _)| name > after);
        }
        let limit = page_limit(&call);
        let has_more = records.len() > limit;
        records.truncate(limit);
        let last = records.last().map(|(name, _)| name.clone());
        let answer = ListAnswer {
            generation: base.generation,
            confirmed: base.confirmed,
            next: last.filter(|_| has_more),
            items: records.into_iter().map(|(_, value)| value).collect(),
        };
        Ok(json_response(StatusCode::OK, &answer))
    })
    .await
}

/// Returns one record of a collection.
pub async fn get_record(
    api: Arc<AdminApi>,
    call: AdminCall,
    collection: &'static Collection,
) -> AdminResult {
    let base = api.readable_document().await?;
    run_blocking(move || {
        let name = record_name(&call);
        let mut records = (collection.list)(&base.read()).into_iter();
        let found = records.find(|(candidate, _)| *candidate == name);
        let (_, item) = found.ok_or_else(|| record_not_found(collection, &name))?;
        let answer = ItemAnswer {
            generation: base.generation,
            confirmed: base.confirmed,
            item,
        };
        Ok(json_response(StatusCode::OK, &answer))
    })
    .await
}

/// Returns the name of the record from the path. The name of a drain is prefixed with its kind.
#[must_use]
pub fn record_name(call: &AdminCall) -> String {
    match call.param("kind") {
        "" => call.param("name").to_string(),
        kind => format!("{kind}/{}", call.param("name")),
    }
}

/// Creates the error for a record that does not exist.
#[must_use]
pub fn record_not_found(collection: &Collection, name: &str) -> AdminError {
    AdminError::NotFound(format!("{} {name}", collection.record_kind))
}

fn page_limit(call: &AdminCall) -> usize {
    let limit = call.query.limit.unwrap_or(DEFAULT_LIMIT);
    limit.clamp(1, MAX_LIMIT)
}

fn parse_generation(text: &str) -> Result<u64, AdminError> {
    let expected = format!("expected the number of a generation, found {text:?}");
    text.parse().map_err(|_| AdminError::Malformed(expected))
}
