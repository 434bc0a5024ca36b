//! Tests of watches: the changes that they report, and how they end while the platform is stalled, down or reverted.

mod support;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfootkeel_platform::{
    AnswerFailure, CallError, ObjectClient, StoreRevision, WatchReport, WriteCondition,
};
use support::{LONG_TIMEOUT, NO_FAULT, SHORT_TIMEOUT, TestPlatform};

const VALUE: Bytes = Bytes::from_static(b"value");

async fn create(client: &ObjectClient, name: &str) {
    let created = client.put(name, VALUE, WriteCondition::Absent).await;
    created.unwrap();
}

async fn remove(client: &ObjectClient, name: &str) {
    let object = client.get(name).await.unwrap().unwrap();
    client.delete(name, object.version).await.unwrap();
}

async fn current_revision(client: &ObjectClient) -> StoreRevision {
    let report = client.watch("", StoreRevision::NOW, LONG_TIMEOUT).await;
    let report = report.unwrap();
    assert_eq!(report.changed, []);
    report.revision
}

/// Starts a watch and returns once the platform has received it.
async fn start_watch(
    platform: &TestPlatform,
    client: &Arc<ObjectClient>,
    after: StoreRevision,
    wait: Duration,
) -> tokio::task::JoinHandle<Result<WatchReport, CallError>> {
    let started = platform.counts().await.watches;
    let client = Arc::clone(client);
    let watch = tokio::spawn(async move { client.watch("a/", after, wait).await });
    while platform.counts().await.watches == started {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    watch
}

struct ChangeCase {
    name: &'static str,
    /// The names of objects to create, or to remove after a '-'.
    steps: &'static [&'static str],
    /// The names of the reported objects, with a '-' before a removed one.
    reported: &'static [&'static str],
}

/// Guards against changes that a watch misses, reports twice or reports for another prefix.
#[tokio::test]
async fn changes_after_a_revision_are_reported() {
    let cases = [
        ChangeCase {
            name: "nothing changed",
            steps: &[],
            reported: &[],
        },
        ChangeCase {
            name: "one object",
            steps: &["a/new"],
            reported: &["a/new"],
        },
        ChangeCase {
            name: "another prefix",
            steps: &["b/new"],
            reported: &[],
        },
        ChangeCase {
            name: "removal",
            steps: &["-a/old"],
            reported: &["-a/old"],
        },
        ChangeCase {
            name: "several changes of one object",
            steps: &["a/new", "-a/new", "a/new"],
            reported: &["a/new"],
        },
        ChangeCase {
            name: "several objects in the order of their changes",
            steps: &["a/y", "a/x", "-a/old"],
            reported: &["a/y", "a/x", "-a/old"],
        },
    ];
    for case in cases {
        let platform = TestPlatform::start().await;
        let client = platform.client(LONG_TIMEOUT);
        create(&client, "a/old").await;
        let revision = current_revision(&client).await;
        for step in case.steps {
            match step.strip_prefix('-') {
                Some(name) => remove(&client, name).await,
                None => create(&client, step).await,
            }
        }
        let report = client.watch("a/", revision, SHORT_TIMEOUT / 10).await;
        let report = report.unwrap();
        let reported: Vec<String> = report
            .changed
            .iter()
            .map(|change| format!("{}{}", if change.deleted { "-" } else { "" }, change.name))
            .collect();
        assert_eq!(reported, case.reported, "{}", case.name);
        assert!(!report.is_older_than(revision), "{}", case.name);
    }
}

struct WaitCase {
    name: &'static str,
    faults: &'static str,
    expected: fn(Result<WatchReport, CallError>) -> bool,
}

/// Guards against a watch that keeps waiting although an object changes, the platform fails or it restarts with older
/// data.
#[tokio::test]
async fn a_waiting_watch_returns_on_a_change_or_failure() {
    let cases = [
        WaitCase {
            name: "change",
            faults: NO_FAULT,
            expected: |result| result.is_ok_and(|report| report.changed.len() == 1),
        },
        WaitCase {
            name: "platform down",
            faults: r#"{"down": "unavailable"}"#,
            expected: |result| matches!(result, Err(CallError::Refused { status: 503 })),
        },
        WaitCase {
            name: "platform closes connections",
            faults: r#"{"down": "closed"}"#,
            expected: |result| {
                matches!(
                    result,
                    Err(CallError::Unknown(AnswerFailure::Connection(_)))
                )
            },
        },
        WaitCase {
            name: "older data",
            faults: r#"{"revert": true}"#,
            expected: |result| {
                result.is_ok_and(|report| {
                    report.revision < StoreRevision(2) && report.changed.is_empty()
                })
            },
        },
    ];
    for case in cases {
        let platform = TestPlatform::start().await;
        let client = platform.client(LONG_TIMEOUT);
        create(&client, "a/old").await;
        let revision = current_revision(&client).await;
        assert_eq!(revision, StoreRevision(2));
        let watch = start_watch(&platform, &client, revision, LONG_TIMEOUT).await;
        if case.faults == NO_FAULT {
            create(&client, "a/new").await;
        } else {
            platform.set_faults(case.faults).await;
        }
        let result = watch.await.unwrap();
        let shown = format!("{result:?}");
        assert!((case.expected)(result), "{}: {shown}", case.name);
    }
}

/// Guards against a stalled watch that blocks its caller without a limit, and against the loss of changes that are
/// made during the stall.
#[tokio::test]
async fn a_stalled_watch_times_out_and_loses_no_change() {
    let platform = TestPlatform::start().await;
    let client = platform.client(SHORT_TIMEOUT);
    let reliable = platform.client(LONG_TIMEOUT);
    let revision = current_revision(&reliable).await;
    platform.set_faults(r#"{"stall_watches": true}"#).await;
    create(&reliable, "a/new").await;
    let error = client
        .watch("a/", revision, Duration::ZERO)
        .await
        .unwrap_err();
    assert!(
        matches!(error, CallError::Unknown(AnswerFailure::Timeout)),
        "{error:?}"
    );
    assert!(reliable.get("a/new").await.unwrap().is_some());
    platform.set_faults(NO_FAULT).await;
    let report = reliable.watch("a/", revision, LONG_TIMEOUT).await.unwrap();
    assert_eq!(report.changed.len(), 1);
    assert_eq!(report.changed[0].name, "a/new");
}
