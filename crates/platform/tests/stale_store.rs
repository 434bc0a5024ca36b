//! Tests of a platform that restarts with older data: its detection and the restore of the newer configuration.

mod support;

use coltsfootkeel_platform::{
    CommitOutcome, ConfigStore, LoadedConfig, RestoreOutcome, StoreRevision, StoredManifest,
};
use support::{LONG_TIMEOUT, TestPlatform, commit_request};

async fn commit_up_to(store: &ConfigStore, from: u64, to: u64, writer: &str) {
    for generation in from..to {
        let outcome = store.commit(&commit_request(generation, writer)).await;
        assert!(matches!(outcome, Ok(CommitOutcome::Committed(made)) if made == generation + 1));
    }
}

async fn load(store: &ConfigStore) -> LoadedConfig {
    store.load_newest().await.unwrap().unwrap()
}

/// Guards against a restart with older data that no watch reports, and against the loss of the newer configuration.
#[tokio::test]
async fn a_stale_store_is_detected_and_restored() {
    let platform = TestPlatform::start().await;
    let (store, client) = (platform.config(), platform.client(LONG_TIMEOUT));
    commit_up_to(&store, 0, 1, "operator").await;
    platform.save().await;
    commit_up_to(&store, 1, 3, "operator").await;
    let newest = load(&store).await;
    let report = client
        .watch("config/", StoreRevision::NOW, LONG_TIMEOUT)
        .await;
    let revision = report.unwrap().revision;

    platform.revert().await;
    let report = client
        .watch("config/", revision, LONG_TIMEOUT)
        .await
        .unwrap();
    assert!(report.is_older_than(revision));
    let stale = store.read_manifest().await.unwrap().unwrap();
    assert_eq!(stale.manifest.generation, 1);
    assert!(stale.manifest.generation < newest.manifest.generation);

    let outcome = store.restore(&newest, Some(&stale)).await.unwrap();
    assert!(matches!(outcome, RestoreOutcome::Restored), "{outcome:?}");
    assert_eq!(load(&store).await, newest);
    assert_eq!(client.list("audit/").await.unwrap().len(), 3);
    commit_up_to(&store, 3, 4, "operator").await;
}

#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Restored,
    Superseded(u64),
}

struct RestoreCase {
    name: &'static str,
    /// The generation to which the platform reverts, or 0 for an empty store.
    saved_generation: u64,
    /// The generation up to which others commit between the read of the stale manifest and the restore.
    committed_before_restore: u64,
    faults: &'static str,
    expected: Outcome,
    generation_at_end: u64,
}

/// Guards against a restore that replaces a manifest other than the stale one, or fails after a lost answer.
#[tokio::test]
async fn a_restore_replaces_only_the_stale_manifest() {
    let cases = [
        RestoreCase {
            name: "stale",
            saved_generation: 2,
            committed_before_restore: 2,
            faults: "{}",
            expected: Outcome::Restored,
            generation_at_end: 5,
        },
        RestoreCase {
            name: "empty",
            saved_generation: 0,
            committed_before_restore: 0,
            faults: "{}",
            expected: Outcome::Restored,
            generation_at_end: 5,
        },
        RestoreCase {
            name: "lost answers",
            saved_generation: 2,
            committed_before_restore: 2,
            faults: r#"{"lose_answers": 2, "lose_answer_prefix": "config/"}"#,
            expected: Outcome::Restored,
            generation_at_end: 5,
        },
        RestoreCase {
            name: "changed meanwhile, still older",
            saved_generation: 2,
            committed_before_restore: 3,
            faults: "{}",
            expected: Outcome::Superseded(3),
            generation_at_end: 3,
        },
        RestoreCase {
            name: "changed meanwhile, newer",
            saved_generation: 2,
            committed_before_restore: 6,
            faults: "{}",
            expected: Outcome::Superseded(6),
            generation_at_end: 6,
        },
        RestoreCase {
            name: "not stale",
            saved_generation: 5,
            committed_before_restore: 5,
            faults: "{}",
            expected: Outcome::Superseded(5),
            generation_at_end: 5,
        },
    ];
    for case in cases {
        let platform = TestPlatform::start().await;
        let store = platform.config();
        commit_up_to(&store, 0, case.saved_generation, "operator").await;
        platform.save().await;
        commit_up_to(&store, case.saved_generation, 5, "operator").await;
        let newest = load(&store).await;
        platform.revert().await;
        let stale: Option<StoredManifest> = store.read_manifest().await.unwrap();
        commit_up_to(
            &store,
            case.saved_generation,
            case.committed_before_restore,
            "other",
        )
        .await;
        platform.set_faults(case.faults).await;
        let outcome = match store.restore(&newest, stale.as_ref()).await.unwrap() {
            RestoreOutcome::Restored => Outcome::Restored,
            RestoreOutcome::Superseded { current } => {
                Outcome::Superseded(current.unwrap().manifest.generation)
            }
            RestoreOutcome::Unknown => panic!("{}: unknown outcome", case.name),
        };
        assert_eq!(outcome, case.expected, "{}", case.name);
        let generation = load(&store).await.manifest.generation;
        assert_eq!(generation, case.generation_at_end, "{}", case.name);
    }
}

/// Guards against concurrent restores of the same configuration, one per instance, of which some fail or undo others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn several_instances_restore_the_same_manifest() {
    let platform = TestPlatform::start().await;
    let store = platform.config();
    commit_up_to(&store, 0, 1, "operator").await;
    platform.save().await;
    commit_up_to(&store, 1, 3, "operator").await;
    let newest = load(&store).await;
    platform.revert().await;
    let stale = store.read_manifest().await.unwrap();
    let restores: Vec<_> = (0..7)
        .map(|_| {
            let (store, newest, stale) = (platform.config(), newest.clone(), stale.clone());
            tokio::spawn(async move { store.restore(&newest, stale.as_ref()).await.unwrap() })
        })
        .collect();
    for restore in restores {
        let outcome = restore.await.unwrap();
        assert!(matches!(outcome, RestoreOutcome::Restored), "{outcome:?}");
    }
    assert_eq!(load(&store).await, newest);
}
