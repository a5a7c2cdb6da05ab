//! Submits a patch and reports the outcome.

use carobstep_config::{ConfigPatch, ConfigRecord, ConfigVersion, PatchError};
use carobstep_store::ObjectStore;
use serde_json::json;
use tokio::time;

use crate::{
    configuration::{change_lines, record_differences, record_summary},
    error::{ClientError, ExitStatus},
    output::CommandReport,
    platform::{current_config, history_record},
    submission::{AcceptanceProof, PatchSubmission, SubmitOutcome, SubmitStep},
};

/// Submits a patch. `is_new_id` states that its id was not used by an earlier run.
///
/// # Errors
///
/// Fails if the patch conflicts with another one or is invalid, if the platform
/// is unavailable, or if the outcome is unknown. The message states whether
/// anything changed.
pub async fn submit(
    store: &impl ObjectStore,
    patch: ConfigPatch,
    is_new_id: bool,
) -> Result<CommandReport, ClientError> {
    let id = patch.id.as_str().to_owned();
    let mut submission = PatchSubmission::try_from(patch)
        .map_err(|error| ClientError::new(ExitStatus::Failure, error.to_string()))?;
    if is_new_id {
        submission = submission.with_new_id();
    }
    match run_submission(store, submission).await {
        SubmitOutcome::Accepted { record, in_force, proof, archived } => {
            Ok(accepted_report(&record, in_force, proof, archived))
        }
        SubmitOutcome::Conflict { base, in_force } => {
            Err(conflict_error(store, base, in_force).await)
        }
        SubmitOutcome::Refused(error) => Err(refused_patch_error(&error)),
        SubmitOutcome::IdReused { version } => {
            let message = format!(
                "nothing changed: patch id {id} was already used by the change that created version {version}"
            );
            Err(ClientError::new(ExitStatus::Refused, message))
        }
        SubmitOutcome::NoConfiguration => {
            let message = "the platform holds no configuration; nothing changed";
            Err(ClientError::new(ExitStatus::NotFound, message))
        }
        SubmitOutcome::Unavailable(reason) => {
            let message = format!("{reason}; nothing changed");
            Err(ClientError::new(ExitStatus::Unreachable, message))
        }
        SubmitOutcome::Unknown(reason) => {
            let message = format!(
                "{reason}; the patch may be in force: submit it again with --id {id} to find out"
            );
            Err(ClientError::new(ExitStatus::Unknown, message)
                .with_details(json!({"patch_id": id})))
        }
    }
}

/// Makes the calls of a submission until it ends.
async fn run_submission(
    store: &impl ObjectStore,
    mut submission: PatchSubmission,
) -> SubmitOutcome {
    let mut step = submission.start();
    loop {
        let (call, delay) = match step {
            SubmitStep::Call { call, delay } => (call, delay),
            SubmitStep::Finish(outcome) => return *outcome,
        };
        time::sleep(delay).await;
        step = submission.advance(store.call(call).await);
    }
}

/// Converts the error of a rejected patch into a [`ClientError`].
pub(crate) fn refused_patch_error(error: &PatchError) -> ClientError {
    let message = format!("patch refused, nothing changed:\n{}", error.lines().join("\n"));
    ClientError::new(ExitStatus::Refused, message).with_details(json!({"faults": error.lines()}))
}

fn accepted_report(
    record: &ConfigRecord,
    in_force: ConfigVersion,
    proof: AcceptanceProof,
    archived: bool,
) -> CommandReport {
    let mut lines = vec![format!("accepted: {}", record_summary(record))];
    match proof {
        AcceptanceProof::Reply => {}
        AcceptanceProof::ReadBack => {
            lines.push("the platform's answer was lost; the patch id was read back".to_owned());
        }
        AcceptanceProof::EarlierRun => {
            lines.push("it was accepted before; this run wrote nothing".to_owned());
        }
    }
    if in_force > record.version {
        lines.push(format!("version {in_force} is in force by now"));
    }
    if !archived {
        lines.push("the history lacks it until the next patch is submitted".to_owned());
    }
    let value = json!({
        "accepted": true,
        "version": record.version,
        "patch_id": record.patch_id,
        "in_force": in_force,
        "proof": proof.to_string(),
        "archived": archived,
    });
    CommandReport { plain: lines.join("\n"), value }
}

/// Builds the error for a patch that was not built on the version in force. The
/// message shows the differences between both versions.
async fn conflict_error(
    store: &impl ObjectStore,
    base: ConfigVersion,
    in_force: ConfigVersion,
) -> ClientError {
    let mut lines = vec![format!(
        "conflict, nothing changed: the patch was built on version {base}, version {in_force} is in force"
    )];
    // The differences are optional detail: failing to read them must not hide
    // the conflict.
    if let (Ok(after), Ok(before)) =
        (current_config(store).await, history_record(store, base).await)
    {
        match before {
            Some(before) => {
                lines.push(format!("base:     {}", record_summary(&before)));
                lines.push(format!("in force: {}", record_summary(&after)));
                lines.push(change_lines(&record_differences(&before, &after)));
            }
            None => lines.push(format!("in force: {}", record_summary(&after))),
        }
    }
    ClientError::new(ExitStatus::Conflict, lines.join("\n"))
        .with_details(json!({"base": base, "in_force": in_force}))
}
