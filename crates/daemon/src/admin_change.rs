//! Makes a change: edits the newest document, checks it and commits it on condition of its generation.

use std::time::{SystemTime, UNIX_EPOCH};

use coltsfootkeel_model::{RawFleet, RecordChange, fleet_diff};
use coltsfootkeel_platform::{
    CommitOutcome, CommitRecord, CommitRequest, SUMMARY_LIMIT_BYTES, StoredManifest,
};
use coltsfootkeel_settings::OperatorSettings;
use serde::Serialize;

use crate::admin_api::{AdminApi, BaseDocument, run_long};
use crate::admin_call::{AdminCall, ChangeId, EarlierCommit};
use crate::admin_error::AdminError;
use crate::admin_findings::{FindingOrigin, check_fleet};
use crate::admin_progress::ProgressAnswer;

/// An edit of the newest document.
pub type FleetEdit = Box<dyn FnOnce(&mut RawFleet) -> Result<(), AdminError> + Send>;

/// A change of the newest document.
pub struct ChangeRequest {
    /// What the change does; without it, the changed records are listed.
    pub summary: Option<String>,
    /// Where the places of findings point.
    pub origin: FindingOrigin,
    /// The edit.
    pub edit: FleetEdit,
}

/// The answer to a change.
#[derive(Debug, Serialize)]
pub struct ChangeAnswer {
    /// Whether the call made a new generation, or repeats one that did.
    pub changed: bool,
    /// Whether the change had been made by an earlier call with the same idempotency key.
    pub repeated: bool,
    /// The idempotency key of the change.
    pub write_id: String,
    /// What was changed.
    pub summary: String,
    /// Where the generation is in force.
    #[serde(flatten)]
    pub progress: ProgressAnswer,
}

/// A document that is ready to be committed.
#[derive(Debug)]
struct FleetDraft {
    document: String,
    summary: String,
}

impl AdminApi {
    /// Makes a change.
    ///
    /// # Errors
    ///
    /// Returns a fault that tells whether the change may have been made.
    pub async fn change(
        &self,
        call: &AdminCall,
        request: ChangeRequest,
    ) -> Result<ChangeAnswer, AdminError> {
        let id = call.change_id()?;
        let base = self.newest().await?;
        if let Some(commit) = find_repeat(base.commits(), &id)? {
            return self
                .answer(id, commit.generation, &commit.summary, Made::Before)
                .await;
        }
        let expected = call.expected_generation()?.unwrap_or(base.generation);
        if expected != base.generation {
            return Err(conflict(expected, base.generation, base.commits()));
        }
        let operator = call.operator.clone();
        let summary = call.summary().map(str::to_string);
        let request = ChangeRequest {
            summary: summary.or(request.summary),
            ..request
        };
        let from = base.clone();
        let draft = run_long(move || draft(&from, &operator, request)).await?;
        let Some(draft) = draft else {
            let text = "the document is like that already";
            return self.answer(id, base.generation, text, Made::Nothing).await;
        };
        let summary = draft.summary.clone();
        let (generation, made) = self.commit(call, &id, &base, draft).await?;
        if made == Made::Now {
            log::info!(
                operator = call.operator.name.as_str(), generation;
                "admin: Committed a change: {summary}"
            );
        }
        self.answer(id, generation, &summary, made).await
    }

    async fn commit(
        &self,
        call: &AdminCall,
        id: &ChangeId,
        base: &BaseDocument,
        draft: FleetDraft,
    ) -> Result<(u64, Made), AdminError> {
        let request = CommitRequest {
            expected_generation: base.generation,
            write_id: id.write_id.clone(),
            operator: call.operator.name.clone(),
            summary: draft.summary,
            time_unix_ms: unix_ms(),
            document: draft.document,
        };
        match self.configs.commit(&request).await? {
            CommitOutcome::Committed(generation) => Ok((generation, Made::Now)),
            CommitOutcome::Conflict { current } => {
                let commits = commits_of(current.as_ref());
                match find_repeat(commits, id)? {
                    Some(commit) => Ok((commit.generation, Made::Before)),
                    None => Err(conflict(
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

    async fn answer(
        &self,
        id: ChangeId,
        generation: u64,
        summary: &str,
        made: Made,
    ) -> Result<ChangeAnswer, AdminError> {
        Ok(ChangeAnswer {
            changed: made != Made::Nothing,
            repeated: made == Made::Before,
            write_id: id.key,
            summary: summary.to_string(),
            progress: self.progress(generation).await,
        })
    }
}

/// When the change was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Made {
    Now,
    Before,
    Nothing,
}

/// Finds the commit of an earlier call with the same key.
fn find_repeat<'a>(
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

/// Edits and checks the document. Returns nothing if the edit changes nothing.
fn draft(
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
        // A record that could not be read looks removed, so the scope cannot be judged.
        return check_fleet(after, origin).map(|()| None);
    }
    let changes = fleet_diff(&before, &after);
    check_scope(operator, &changes)?;
    let document = serde_json::to_string(&after)
        .map_err(|error| AdminError::Internal(format!("cannot write the document: {error}")))?;
    check_fleet(after, origin)?;
    if changes.is_empty() {
        return Ok(None);
    }
    let summary = summary.unwrap_or_else(|| list_changes(&changes));
    Ok(Some(FleetDraft {
        document,
        summary: shorten(summary),
    }))
}

/// An operator with departments may change only records that belong to these, before and after the change.
fn check_scope(operator: &OperatorSettings, changes: &[RecordChange]) -> Result<(), AdminError> {
    if operator.departments.is_empty() {
        return Ok(());
    }
    let is_own = |change: &&RecordChange| {
        let mut departments = change.departments.iter();
        !change.departments.is_empty()
            && departments.all(|department| operator.departments.contains(department))
    };
    let outside: Vec<RecordChange> = changes
        .iter()
        .filter(|change| !is_own(change))
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

fn list_changes(changes: &[RecordChange]) -> String {
    let texts = changes.iter().map(ToString::to_string);
    texts.collect::<Vec<_>>().join(", ")
}

fn shorten(mut summary: String) -> String {
    const MARK: &str = " ...";
    if summary.len() > SUMMARY_LIMIT_BYTES {
        let end = summary.floor_char_boundary(SUMMARY_LIMIT_BYTES - MARK.len());
        summary.truncate(end);
        summary.push_str(MARK);
    }
    summary
}

fn commits_of(stored: Option<&StoredManifest>) -> &[CommitRecord] {
    stored.map_or(&[], |stored| &stored.manifest.commits)
}

fn generation_of(stored: Option<&StoredManifest>) -> u64 {
    stored.map_or(0, |stored| stored.manifest.generation)
}

fn conflict(expected: u64, current: u64, commits: &[CommitRecord]) -> AdminError {
    let newer = commits.iter().filter(|commit| commit.generation > expected);
    AdminError::Conflict {
        expected,
        current,
        changes: newer.cloned().collect(),
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}
