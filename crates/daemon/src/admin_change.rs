//! Changes of the fleet document: a change edits the newest document, checks it and commits it on the condition that
//! its generation is still the newest.

use std::time::{SystemTime, UNIX_EPOCH};

use coltsfootkeel_model::{RawFleet, RecordChange, fleet_diff};
use coltsfootkeel_platform::{
    CommitOutcome, CommitRecord, CommitRequest, SUMMARY_LIMIT_BYTES, StoredManifest,
};
use coltsfootkeel_settings::OperatorSettings;
use serde::Serialize;

use crate::admin_api::{AdminApi, BaseDocument, run_blocking};
use crate::admin_call::{AdminCall, ChangeId, EarlierCommit};
use crate::admin_error::AdminError;
use crate::admin_findings::{FindingOrigin, check_fleet};
use crate::admin_progress::ProgressAnswer;

/// A function that edits the newest document.
pub type FleetEdit = Box<dyn FnOnce(&mut RawFleet) -> Result<(), AdminError> + Send>;

/// A change of the newest document that an operator requests.
pub struct ChangeRequest {
    /// The summary of the change; `None` if the changed records are listed instead.
    pub summary: Option<String>,
    /// The text to which the locations of findings refer.
    pub origin: FindingOrigin,
    /// The function that edits the document.
    pub edit: FleetEdit,
}

/// The body of the response to a change.
#[derive(Debug, Serialize)]
pub struct ChangeAnswer {
    /// Whether this call, or the call that it repeats, created a new generation.
    pub changed: bool,
    /// Whether an earlier call with the same idempotency key made the change.
    pub repeated: bool,
    /// The idempotency key of the change.
    pub write_id: String,
    /// The summary of the change.
    pub summary: String,
    /// The instances on which the generation is in force.
    #[serde(flatten)]
    pub progress: ProgressAnswer,
}

/// An edited and checked document that is ready to be committed.
#[derive(Debug)]
struct FleetDraft {
    document: String,
    summary: String,
}

impl AdminApi {
    /// Makes a change, unless an earlier call with the same idempotency key has made it.
    ///
    /// # Errors
    ///
    /// Returns an error if the change is refused. [`AdminError::OutcomeUnknown`] means that it may have been made.
    pub async fn change(
        &self,
        call: &AdminCall,
        request: ChangeRequest,
    ) -> Result<ChangeAnswer, AdminError> {
        let id = call.change_id()?;
        let base = self.newest_document().await?;
        if let Some(commit) = find_earlier_commit(base.commits(), &id)? {
            return self
                .change_answer(
                    id,
                    commit.generation,
                    &commit.summary,
                    ChangeOutcome::AlreadyCommitted,
                )
                .await;
        }
        let expected = call.expected_generation()?.unwrap_or(base.generation);
        if expected != base.generation {
            return Err(conflict_error(expected, base.generation, base.commits()));
        }
        let operator = call.operator.clone();
        let summary = call.summary().map(str::to_string);
        let request = ChangeRequest {
            summary: summary.or(request.summary),
            ..request
        };
        let draft_base = base.clone();
        let draft = run_blocking(move || build_draft(&draft_base, &operator, request)).await?;
        let Some(draft) = draft else {
            let text = "the document already has this content";
            return self
                .change_answer(id, base.generation, text, ChangeOutcome::Unchanged)
                .await;
        };
        let summary = draft.summary.clone();
        let (generation, outcome) = self.commit(call, &id, &base, draft).await?;
        if outcome == ChangeOutcome::Committed {
            log::info!(
                operator = call.operator.name.as_str(), generation;
                "admin: Committed a change: {summary}"
            );
        }
        self.change_answer(id, generation, &summary, outcome).await
    }

    async fn commit(
        &self,
        call: &AdminCall,
        id: &ChangeId,
        base: &BaseDocument,
        draft: FleetDraft,
    ) -> Result<(u64, ChangeOutcome), AdminError> {
        let request = CommitRequest {
            expected_generation: base.generation,
            write_id: id.write_id.clone(),
            operator: call.operator.name.clone(),
            summary: draft.summary,
            time_unix_ms: unix_time_ms(),
            document: draft.document,
        };
        match self.configs.commit(&request).await? {
            CommitOutcome::Committed(generation) => Ok((generation, ChangeOutcome::Committed)),
            CommitOutcome::Conflict { current } => {
                let commits = commits_of(current.as_ref());
                match find_earlier_commit(commits, id)? {
                    Some(commit) => Ok((commit.generation, ChangeOutcome::AlreadyCommitted)),
                    None => Err(conflict_error(
                        base.generation,
                        generation_of(current.as_ref()),
                        commits,
                    )),
                }
            }
            CommitOutcome::Unknown => Err(AdminError::OutcomeUnknown {
                write_id: id.key.clone(),
            }),
        }
    }

    async fn change_answer(
        &self,
        id: ChangeId,
        generation: u64,
        summary: &str,
        outcome: ChangeOutcome,
    ) -> Result<ChangeAnswer, AdminError> {
        Ok(ChangeAnswer {
            changed: outcome != ChangeOutcome::Unchanged,
            repeated: outcome == ChangeOutcome::AlreadyCommitted,
            write_id: id.key,
            summary: summary.to_string(),
            progress: self.rollout_progress(generation).await,
        })
    }
}

/// The outcome of a call that requests a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChangeOutcome {
    /// This call committed the change.
    Committed,
    /// An earlier call with the same idempotency key committed the change.
    AlreadyCommitted,
    /// The document already has the requested content.
    Unchanged,
}

/// Finds the commit that an earlier send of the same call made.
///
/// # Errors
///
/// Returns [`AdminError::KeyReused`] if a different call used the idempotency key.
fn find_earlier_commit<'a>(
    commits: &'a [CommitRecord],
    id: &ChangeId,
) -> Result<Option<&'a CommitRecord>, AdminError> {
    for commit in commits.iter().rev() {
        match id.compare(&commit.write_id) {
            EarlierCommit::Unrelated => {}
            EarlierCommit::SameCall => return Ok(Some(commit)),
            EarlierCommit::SameKey => return Err(AdminError::KeyReused(commit.generation)),
        }
    }
    Ok(None)
}

/// Edits and checks the document. Returns `None` if the edit changes nothing.
fn build_draft(
    base: &BaseDocument,
    operator: &OperatorSettings,
    request: ChangeRequest,
) -> Result<Option<FleetDraft>, AdminError> {
    let ChangeRequest {
        summary,
        origin,
        edit,
    } = request;
    let before = base.read();
    let mut after = before.clone();
    edit(&mut after)?;
    if !after.findings.is_empty() {
        // A record that could not be parsed appears to be removed, so the operator's scope cannot be checked.
        return check_fleet(after, origin).map(|()| None);
    }
    let changes = fleet_diff(&before, &after);
    check_scope(operator, &changes)?;
    let document = serde_json::to_string(&after)
        .map_err(|error| AdminError::Internal(format!("cannot serialize the document: {error}")))?;
    check_fleet(after, origin)?;
    if changes.is_empty() {
        return Ok(None);
    }
    let summary = summary.unwrap_or_else(|| describe_changes(&changes));
    Ok(Some(FleetDraft {
        document,
        summary: truncate_summary(summary),
    }))
}

/// Checks that all changed records are in the operator's scope. An operator whose settings name departments may change
/// only records that belong to these departments both before and after the change.
fn check_scope(operator: &OperatorSettings, changes: &[RecordChange]) -> Result<(), AdminError> {
    if operator.departments.is_empty() {
        return Ok(());
    }
    let is_in_scope = |change: &&RecordChange| {
        let mut departments = change.departments.iter();
        !change.departments.is_empty()
            && departments.all(|department| operator.departments.contains(department))
    };
    let outside: Vec<RecordChange> = changes
        .iter()
        .filter(|change| !is_in_scope(change))
        .cloned()
        .collect();
    if outside.is_empty() {
        return Ok(());
    }
    Err(AdminError::NotAllowed {
        operator: operator.name.clone(),
        departments: operator.departments.clone(),
        records: outside,
    })
}

fn describe_changes(changes: &[RecordChange]) -> String {
    let descriptions = changes.iter().map(ToString::to_string);
    descriptions.collect::<Vec<_>>().join(", ")
}

fn truncate_summary(mut summary: String) -> String {
    const ELLIPSIS: &str = " ...";
    if summary.len() > SUMMARY_LIMIT_BYTES {
        let end = summary.floor_char_boundary(SUMMARY_LIMIT_BYTES - ELLIPSIS.len());
        summary.truncate(end);
        summary.push_str(ELLIPSIS);
    }
    summary
}

fn commits_of(stored: Option<&StoredManifest>) -> &[CommitRecord] {
    stored.map_or(&[], |stored| &stored.manifest.commits)
}

fn generation_of(stored: Option<&StoredManifest>) -> u64 {
    stored.map_or(0, |stored| stored.manifest.generation)
}

fn conflict_error(expected: u64, current: u64, commits: &[CommitRecord]) -> AdminError {
    let newer = commits.iter().filter(|commit| commit.generation > expected);
    AdminError::Conflict {
        expected,
        current,
        changes: newer.cloned().collect(),
    }
}

fn unix_time_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = elapsed.unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}
