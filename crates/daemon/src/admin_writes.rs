//! Handlers of the administration API that change the configuration.

use std::fmt::Write;
use std::fs::File;
use std::io::Read;
use std::sync::Arc;

use coltsfootkeel_model::{AccessDigest, Located, RawAccess, RawFleet, ShiftState};
use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::admin_api::{AdminApi, run_blocking};
use crate::admin_call::AdminCall;
use crate::admin_change::{ChangeAnswer, ChangeRequest, FleetEdit};
use crate::admin_collections::{Collection, RecordPut, without_location};
use crate::admin_error::AdminError;
use crate::admin_findings::FindingOrigin;
use crate::admin_reads::{AdminResult, record_name, record_not_found};
use crate::entry_service::json_response;

/// The number of random bytes in an access key.
const ACCESS_KEY_BYTES: usize = 32;

/// The operating system's source of random bytes.
const RANDOM_SOURCE: &str = "/dev/urandom";

/// The body of a call that grants an access key.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct GrantBody {
    label: String,
}

/// The body of the response to a grant.
#[derive(Debug, Serialize)]
struct GrantAnswer {
    /// The access key; `None` in the response to a repeated call, because only the digest of the key is stored.
    access_key: Option<String>,
    label: String,
    #[serde(flatten)]
    change: ChangeAnswer,
}

/// Replaces the complete document. The call must name the generation on which the new document is based.
pub async fn put_config(api: Arc<AdminApi>, call: AdminCall) -> AdminResult {
    if call.expected_generation()?.is_none() {
        let text = "If-Match is missing; send the generation that the document is based on";
        return Err(AdminError::Malformed(text.to_string()));
    }
    let text = call.body.clone();
    let edit: FleetEdit = Box::new(move |fleet| {
        *fleet = RawFleet::read("document", &text);
        Ok(())
    });
    let request = ChangeRequest {
        summary: None,
        origin: FindingOrigin::SentText,
        edit,
    };
    apply_change(&api, &call, request).await
}

/// Creates or replaces a record of a collection.
pub async fn put_record(
    api: Arc<AdminApi>,
    call: AdminCall,
    collection: &'static Collection,
) -> AdminResult {
    let put = RecordPut {
        name: record_name(&call),
        text: call.body.clone(),
        pool: call.query.pool.clone(),
    };
    let edit: FleetEdit = Box::new(move |fleet| (collection.put)(fleet, &put));
    let request = stored_text_change(None, edit);
    apply_change(&api, &call, request).await
}

/// Removes a record of a collection.
pub async fn delete_record(
    api: Arc<AdminApi>,
    call: AdminCall,
    collection: &'static Collection,
) -> AdminResult {
    let name = record_name(&call);
    let edit: FleetEdit = Box::new(move |fleet| {
        if (collection.remove)(fleet, &name) {
            Ok(())
        } else {
            Err(record_not_found(collection, &name))
        }
    });
    let request = stored_text_change(None, edit);
    apply_change(&api, &call, request).await
}

/// Starts or pauses a shift.
pub async fn set_shift(api: Arc<AdminApi>, call: AdminCall, state: ShiftState) -> AdminResult {
    let name = record_name(&call);
    let edit: FleetEdit = Box::new(move |fleet| {
        let mut shifts = fleet.shifts.iter_mut();
        let shift = shifts.find(|shift| shift.name.value == name);
        let shift = shift.ok_or_else(|| AdminError::NotFound(format!("shift {name}")))?;
        shift.state = Located::without_location(state);
        Ok(())
    });
    let verb = match state {
        ShiftState::Planned => "planned",
        ShiftState::Active => "started",
        ShiftState::Paused => "paused",
    };
    let summary = format!("{verb} shift {}", record_name(&call));
    let request = stored_text_change(Some(summary), edit);
    apply_change(&api, &call, request).await
}

/// Grants a new access key to a client account. The key is returned only in this response.
pub async fn grant_key(api: Arc<AdminApi>, call: AdminCall) -> AdminResult {
    let body: GrantBody = serde_json::from_str(&call.body).map_err(|error| {
        AdminError::Malformed(format!("body: expected {{\"label\": \"...\"}}: {error}"))
    })?;
    let key = run_blocking(random_key).await?;
    let access = RawAccess {
        label: without_location(&body.label),
        sha256: without_location(&AccessDigest::of_key(&key).to_string()),
    };
    let name = call.param("name").to_string();
    let edit: FleetEdit = Box::new(move |fleet| add_access_key(fleet, &name, access));
    let summary = format!(
        "granted access key {} to client account {}",
        body.label,
        call.param("name")
    );
    let request = stored_text_change(Some(summary), edit);
    let change = api.change(&call, request).await?;
    let answer = GrantAnswer {
        access_key: (!change.repeated).then_some(key),
        label: body.label,
        change,
    };
    Ok(json_response(StatusCode::CREATED, &answer))
}

/// Withdraws an access key of a client account.
pub async fn withdraw_key(api: Arc<AdminApi>, call: AdminCall) -> AdminResult {
    let name = call.param("name").to_string();
    let label = call.param("label").to_string();
    let edit: FleetEdit = Box::new(move |fleet| {
        let keys = access_keys(fleet, &name)?;
        let count_before = keys.len();
        keys.retain(|access| access.label.value != label);
        if keys.len() < count_before {
            return Ok(());
        }
        let text = format!("access key {label} of client account {name}");
        Err(AdminError::NotFound(text))
    });
    let summary = format!(
        "withdrew access key {} of client account {}",
        call.param("label"),
        call.param("name")
    );
    let request = stored_text_change(Some(summary), edit);
    apply_change(&api, &call, request).await
}

fn stored_text_change(summary: Option<String>, edit: FleetEdit) -> ChangeRequest {
    ChangeRequest {
        summary,
        origin: FindingOrigin::StoredText,
        edit,
    }
}

async fn apply_change(api: &AdminApi, call: &AdminCall, request: ChangeRequest) -> AdminResult {
    let answer = api.change(call, request).await?;
    Ok(json_response(StatusCode::OK, &answer))
}

fn access_keys<'a>(
    fleet: &'a mut RawFleet,
    name: &str,
) -> Result<&'a mut Vec<RawAccess>, AdminError> {
    let mut accounts = fleet.client_accounts.iter_mut();
    let account = accounts.find(|account| account.name.value == name);
    let account = account.ok_or_else(|| AdminError::NotFound(format!("client account {name}")))?;
    Ok(&mut account.access_keys)
}

fn add_access_key(fleet: &mut RawFleet, name: &str, access: RawAccess) -> Result<(), AdminError> {
    let keys = access_keys(fleet, name)?;
    let label = &access.label.value;
    if keys.iter().any(|existing| existing.label.value == *label) {
        let text = format!("client account {name} has a key {label} already; use another label");
        return Err(AdminError::Exists(text));
    }
    keys.push(access);
    Ok(())
}

fn random_key() -> Result<String, AdminError> {
    let mut bytes = [0; ACCESS_KEY_BYTES];
    File::open(RANDOM_SOURCE)
        .and_then(|mut source| source.read_exact(&mut bytes))
        .map_err(|error| AdminError::Internal(format!("{RANDOM_SOURCE}: {error}")))?;
    let mut key = String::with_capacity(2 * ACCESS_KEY_BYTES);
    for byte in bytes {
        let _ = write!(key, "{byte:02x}");
    }
    Ok(key)
}
