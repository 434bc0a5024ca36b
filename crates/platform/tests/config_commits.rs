//! Tests of configuration commits: conflicts, lost answers, chunks, damaged objects and audit objects.

mod support;

use std::sync::Arc;

use bytes::Bytes;
use coltsfootkeel_platform::{
    CHUNK_LIMIT_BYTES, COMMIT_HISTORY_LIMIT, CommitOutcome, CommitRecord, ConfigError, ConfigStore,
    MANIFEST_NAME, ObjectClient, SUMMARY_LIMIT_BYTES, WriteCondition,
};
use support::interrupt_relay::start_relay;
use support::{LONG_TIMEOUT, NO_FAULT, SHORT_TIMEOUT, SLOW_FAULT, TestPlatform, commit_request};

/// Commits `count` changes by `writer` on top of `generation`.
async fn commit_many(store: &ConfigStore, generation: u64, count: usize, writer: &str) {
    let mut generation = generation;
    for _ in 0..count {
        let outcome = store.commit(&commit_request(generation, writer)).await;
        generation += 1;
        assert!(matches!(outcome, Ok(CommitOutcome::Committed(made)) if made == generation));
    }
}

async fn read_commits(store: &ConfigStore) -> Vec<CommitRecord> {
    let stored = store.read_manifest().await.unwrap();
    stored.map_or(Vec::new(), |stored| stored.manifest.commits)
}

struct LostAnswerCase {
    name: &'static str,
    faults: &'static str,
    /// The expected number of writes: one chunk, the manifest and the audit object.
    writes: u64,
}

/// Guards against a commit that repeats a write although the write took effect and only its answer was lost.
#[tokio::test]
async fn a_lost_answer_is_resolved_without_a_second_write() {
    let cases = [
        LostAnswerCase {
            name: "none",
            faults: NO_FAULT,
            writes: 3,
        },
        LostAnswerCase {
            name: "chunk",
            faults: r#"{"lose_answers": 1, "lose_answer_prefix": "config/chunk/"}"#,
            writes: 3,
        },
        LostAnswerCase {
            name: "manifest",
            faults: r#"{"lose_answers": 1, "lose_answer_prefix": "config/manifest"}"#,
            writes: 3,
        },
        LostAnswerCase {
            name: "audit object",
            faults: r#"{"lose_answers": 1, "lose_answer_prefix": "audit/"}"#,
            writes: 3,
        },
        LostAnswerCase {
            name: "all",
            faults: r#"{"lose_answers": 3}"#,
            writes: 3,
        },
    ];
    for case in cases {
        let platform = TestPlatform::start().await;
        platform.set_faults(case.faults).await;
        let store = platform.config();
        let request = commit_request(0, "operator");
        let outcome = store.commit(&request).await.unwrap();
        assert!(
            matches!(outcome, CommitOutcome::Committed(1)),
            "{}: {outcome:?}",
            case.name
        );
        assert_eq!(platform.counts().await.writes, case.writes, "{}", case.name);
        let loaded = store.load_newest().await.unwrap().unwrap();
        assert_eq!(loaded.document, request.document, "{}", case.name);
        assert_eq!(loaded.manifest.commits.len(), 1, "{}", case.name);
        let audit = platform.client(LONG_TIMEOUT).get("audit/1").await.unwrap();
        let audit: CommitRecord = serde_json::from_slice(&audit.unwrap().body).unwrap();
        assert_eq!(audit, loaded.manifest.commits[0], "{}", case.name);
    }
}

#[derive(Clone, Copy)]
enum Interruption {
    Nothing,
    Commits(usize),
    Revert,
    Down,
}

#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Committed(u64),
    Conflict,
    Unknown,
}

struct InterruptCase {
    name: &'static str,
    /// Whether the manifest write reaches the platform before its connection is cut.
    is_forwarded: bool,
    /// What happens between the write of the manifest and the client's next connection.
    interruption: Interruption,
    expected: Outcome,
    /// The number of commits with the write id in the manifest at the end.
    listed: usize,
}

const INTERRUPT_CASES: [InterruptCase; 9] = [
    InterruptCase {
        name: "answer lost",
        is_forwarded: true,
        interruption: Interruption::Nothing,
        expected: Outcome::Committed(2),
        listed: 1,
    },
    InterruptCase {
        name: "answer lost, another commit on top",
        is_forwarded: true,
        interruption: Interruption::Commits(1),
        expected: Outcome::Committed(2),
        listed: 1,
    },
    InterruptCase {
        name: "answer lost, later commits fill the rest of the history",
        is_forwarded: true,
        interruption: Interruption::Commits(COMMIT_HISTORY_LIMIT - 1),
        expected: Outcome::Committed(2),
        listed: 1,
    },
    InterruptCase {
        name: "answer lost, later commits displace it from the history",
        is_forwarded: true,
        interruption: Interruption::Commits(COMMIT_HISTORY_LIMIT),
        expected: Outcome::Unknown,
        listed: 0,
    },
    InterruptCase {
        name: "answer lost, then older data",
        is_forwarded: true,
        interruption: Interruption::Revert,
        expected: Outcome::Unknown,
        listed: 0,
    },
    InterruptCase {
        name: "answer lost, then an outage",
        is_forwarded: true,
        interruption: Interruption::Down,
        expected: Outcome::Unknown,
        listed: 1,
    },
    InterruptCase {
        name: "write lost",
        is_forwarded: false,
        interruption: Interruption::Nothing,
        expected: Outcome::Committed(2),
        listed: 1,
    },
    InterruptCase {
        name: "write lost, another commit first",
        is_forwarded: false,
        interruption: Interruption::Commits(1),
        expected: Outcome::Conflict,
        listed: 0,
    },
    InterruptCase {
        name: "write lost, then an outage",
        is_forwarded: false,
        interruption: Interruption::Down,
        expected: Outcome::Unknown,
        listed: 0,
    },
];

/// Guards against a commit whose reported outcome is wrong because other commits, an outage or a
/// restart with older data come between the write of the manifest and reading it back.
#[tokio::test]
async fn an_interrupted_commit_is_resolved_by_its_write_id() {
    for case in INTERRUPT_CASES {
        let platform = TestPlatform::start().await;
        let direct = platform.config();
        // The saved state has no manifest, so a revert also removes the one that the commit replaces.
        platform.save().await;
        commit_many(&direct, 0, 1, "first").await;
        let interruption = {
            let platform = TestPlatform {
                address: platform.address,
            };
            let direct = direct.clone();
            async move {
                match case.interruption {
                    Interruption::Nothing => {}
                    Interruption::Commits(count) => {
                        let before = if case.is_forwarded { 2 } else { 1 };
                        commit_many(&direct, before, count, "other").await;
                    }
                    Interruption::Revert => platform.revert().await,
                    Interruption::Down => {
                        platform.set_faults(r#"{"down": "unavailable"}"#).await;
                    }
                }
            }
        };
        let relay = start_relay(platform.address, case.is_forwarded, interruption).await;
        let client = Arc::new(ObjectClient::new(relay, LONG_TIMEOUT));
        let request = commit_request(1, "operator");
        let outcome = match ConfigStore::new(client).commit(&request).await.unwrap() {
            CommitOutcome::Committed(generation) => Outcome::Committed(generation),
            CommitOutcome::Conflict { current } => {
                let commits = current.unwrap().manifest.commits;
                assert_eq!(commits.last().unwrap().operator, "other", "{}", case.name);
                Outcome::Conflict
            }
            CommitOutcome::Unknown => Outcome::Unknown,
        };
        assert_eq!(outcome, case.expected, "{}", case.name);
        platform.set_faults(NO_FAULT).await;
        let commits = read_commits(&direct).await;
        let listed = commits
            .iter()
            .filter(|commit| commit.write_id == request.write_id)
            .count();
        assert_eq!(listed, case.listed, "{}", case.name);
    }
}

/// Guards against a repeated commit that creates a second generation.
#[tokio::test]
async fn a_repeated_write_id_commits_once() {
    let platform = TestPlatform::start().await;
    let store = platform.config();
    let request = commit_request(0, "operator");
    for _ in 0..3 {
        let outcome = store.commit(&request).await.unwrap();
        assert!(
            matches!(outcome, CommitOutcome::Committed(1)),
            "{outcome:?}"
        );
    }
    assert_eq!(read_commits(&store).await.len(), 1);
}

/// Guards against two concurrent commits that are both accepted, so that one overwrites the other.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_race_of_two_commits_has_one_winner() {
    const ROUNDS: u64 = 20;
    let platform = TestPlatform::start().await;
    for generation in 0..ROUNDS {
        let commits: Vec<_> = ["left", "right"]
            .into_iter()
            .map(|writer| {
                let store = platform.config();
                let request = commit_request(generation, writer);
                tokio::spawn(async move { store.commit(&request).await.unwrap() })
            })
            .collect();
        let (mut committed, mut conflicts) = (0, Vec::new());
        for commit in commits {
            match commit.await.unwrap() {
                CommitOutcome::Committed(made) => {
                    assert_eq!(made, generation + 1);
                    committed += 1;
                }
                CommitOutcome::Conflict { current } => conflicts.push(current.unwrap()),
                CommitOutcome::Unknown => panic!("no answer was lost"),
            }
        }
        assert_eq!((committed, conflicts.len()), (1, 1));
        let stored = platform.config().read_manifest().await.unwrap();
        assert_eq!(stored.as_ref(), Some(&conflicts[0]));
        assert_eq!(conflicts[0].manifest.generation, generation + 1);
    }
}

/// Guards against a document that cannot be stored because it exceeds one value of the platform.
#[tokio::test]
async fn a_large_document_is_split_into_chunks() {
    const MAX_DOCUMENT_BYTES: usize = 3_000_000;
    let platform = TestPlatform::start().await;
    let store = platform.config();
    let mut request = commit_request(0, "operator");
    let lines = (0_u64..).map(|line| format!("# line {line}\n"));
    request.document = lines
        .scan(0, |length, line| {
            *length += line.len();
            (*length <= MAX_DOCUMENT_BYTES).then_some(line)
        })
        .collect();
    let outcome = store.commit(&request).await.unwrap();
    assert!(
        matches!(outcome, CommitOutcome::Committed(1)),
        "{outcome:?}"
    );
    let loaded = store.load_newest().await.unwrap().unwrap();
    assert!(loaded.document == request.document);
    let expected = request.document.len().div_ceil(CHUNK_LIMIT_BYTES);
    assert_eq!(expected, 6);
    assert_eq!(loaded.manifest.chunks.len(), expected);
    let client = platform.client(LONG_TIMEOUT);
    for chunk in &loaded.manifest.chunks {
        let object = client.get(&chunk.chunk_name()).await.unwrap().unwrap();
        assert!(object.body.len() <= CHUNK_LIMIT_BYTES);
    }
}

async fn overwrite(client: &ObjectClient, name: &str, body: Bytes) {
    let version = client.get(name).await.unwrap().unwrap().version;
    let condition = WriteCondition::Version(version);
    client.put(name, body, condition).await.unwrap();
}

struct DamageCase {
    name: &'static str,
    chunk: Option<&'static [u8]>,
    is_chunk_deleted: bool,
    manifest: fn(&str) -> String,
    expected: fn(&ConfigError) -> bool,
}

/// Guards against a document that is loaded although its chunks or its manifest are damaged.
#[tokio::test]
async fn a_damaged_document_is_rejected() {
    let unchanged: fn(&str) -> String = str::to_string;
    let cases = [
        DamageCase {
            name: "chunk with other content",
            chunk: Some(b"regions: [other]"),
            is_chunk_deleted: false,
            manifest: unchanged,
            expected: |error| matches!(error, ConfigError::ChunkDigest { .. }),
        },
        DamageCase {
            name: "truncated chunk",
            chunk: Some(b"regions"),
            is_chunk_deleted: false,
            manifest: unchanged,
            expected: |error| matches!(error, ConfigError::ChunkDigest { .. }),
        },
        DamageCase {
            name: "absent chunk",
            chunk: None,
            is_chunk_deleted: true,
            manifest: unchanged,
            expected: |error| matches!(error, ConfigError::ChunkAbsent { .. }),
        },
        DamageCase {
            name: "missing chunk name",
            chunk: None,
            is_chunk_deleted: false,
            manifest: |text| {
                let mut value: serde_json::Value = serde_json::from_str(text).unwrap();
                value["chunks"] = serde_json::json!([]);
                value.to_string()
            },
            expected: |error| matches!(error, ConfigError::DocumentDigest { generation: 1 }),
        },
        DamageCase {
            name: "chunk name outside the chunks",
            chunk: None,
            is_chunk_deleted: false,
            manifest: |text| text.replace("config/chunk/", "seats/"),
            expected: |error| matches!(error, ConfigError::ManifestFormat(_)),
        },
        DamageCase {
            name: "last commit of another generation",
            chunk: None,
            is_chunk_deleted: false,
            manifest: |text| text.replacen("\"generation\":1", "\"generation\":2", 1),
            expected: |error| matches!(error, ConfigError::ManifestFormat(_)),
        },
        DamageCase {
            name: "truncated manifest",
            chunk: None,
            is_chunk_deleted: false,
            manifest: |text| text[..text.len() / 2].to_string(),
            expected: |error| matches!(error, ConfigError::ManifestFormat(_)),
        },
    ];
    for case in cases {
        let platform = TestPlatform::start().await;
        let (store, client) = (platform.config(), platform.client(LONG_TIMEOUT));
        commit_many(&store, 0, 1, "operator").await;
        let chunk = &client.list("config/chunk/").await.unwrap()[0];
        if let Some(content) = case.chunk {
            overwrite(&client, &chunk.name, Bytes::from_static(content)).await;
        }
        if case.is_chunk_deleted {
            client.delete(&chunk.name, chunk.version).await.unwrap();
        }
        let manifest = client.get(MANIFEST_NAME).await.unwrap().unwrap();
        let manifest = std::str::from_utf8(&manifest.body).unwrap();
        let manifest = (case.manifest)(manifest);
        overwrite(&client, MANIFEST_NAME, Bytes::from(manifest)).await;
        let error = store.load_newest().await.expect_err(case.name);
        assert!((case.expected)(&error), "{}: {error:?}", case.name);
    }
}

/// Guards against a commit whose document cannot be loaded, because the chunk of that name was stored before and its
/// content is damaged.
#[tokio::test]
async fn a_commit_replaces_a_damaged_chunk() {
    let platform = TestPlatform::start().await;
    let (store, client) = (platform.config(), platform.client(LONG_TIMEOUT));
    commit_many(&store, 0, 1, "operator").await;
    let chunk = &client.list("config/chunk/").await.unwrap()[0];
    overwrite(&client, &chunk.name, Bytes::from_static(b"damaged")).await;
    let mut request = commit_request(1, "operator");
    request.document = commit_request(0, "operator").document;
    let outcome = store.commit(&request).await.unwrap();
    assert!(
        matches!(outcome, CommitOutcome::Committed(2)),
        "{outcome:?}"
    );
    let loaded = store.load_newest().await.unwrap().unwrap();
    assert_eq!(loaded.document, request.document);
}

struct RejectedCommitCase {
    name: &'static str,
    faults: &'static str,
    expected_generation: u64,
    summary_length: usize,
    expected: fn(&Result<CommitOutcome, ConfigError>) -> bool,
}

/// Guards against a commit that is accepted, or reported with an unknown outcome, although its manifest cannot be
/// read, its expected generation is wrong or one of its fields is too long.
#[tokio::test]
async fn a_rejected_commit_changes_nothing() {
    let cases = [
        RejectedCommitCase {
            name: "answered with 503",
            faults: r#"{"down": "unavailable"}"#,
            expected_generation: 1,
            summary_length: 10,
            expected: |result| matches!(result, Err(ConfigError::ManifestRead(_))),
        },
        RejectedCommitCase {
            name: "closed connections",
            faults: r#"{"down": "closed"}"#,
            expected_generation: 1,
            summary_length: 10,
            expected: |result| matches!(result, Err(ConfigError::ManifestRead(_))),
        },
        RejectedCommitCase {
            name: "slow",
            faults: SLOW_FAULT,
            expected_generation: 1,
            summary_length: 10,
            expected: |result| matches!(result, Err(ConfigError::ManifestRead(_))),
        },
        RejectedCommitCase {
            name: "based on an older generation",
            faults: NO_FAULT,
            expected_generation: 0,
            summary_length: 10,
            expected: |result| matches!(result, Ok(CommitOutcome::Conflict { current: Some(_) })),
        },
        RejectedCommitCase {
            name: "based on a newer generation",
            faults: NO_FAULT,
            expected_generation: 2,
            summary_length: 10,
            expected: |result| matches!(result, Ok(CommitOutcome::Conflict { current: Some(_) })),
        },
        RejectedCommitCase {
            name: "summary too long",
            faults: NO_FAULT,
            expected_generation: 1,
            summary_length: SUMMARY_LIMIT_BYTES + 1,
            expected: |result| {
                matches!(
                    result,
                    Err(ConfigError::FieldLength {
                        field: "summary",
                        ..
                    })
                )
            },
        },
    ];
    for case in cases {
        let platform = TestPlatform::start().await;
        commit_many(&platform.config(), 0, 1, "first").await;
        platform.set_faults(case.faults).await;
        let timeout = if case.faults == SLOW_FAULT {
            SHORT_TIMEOUT
        } else {
            LONG_TIMEOUT
        };
        let store = ConfigStore::new(platform.client(timeout));
        let mut request = commit_request(case.expected_generation, "operator");
        request.summary = "x".repeat(case.summary_length);
        let result = store.commit(&request).await;
        assert!((case.expected)(&result), "{}: {result:?}", case.name);
        platform.set_faults(NO_FAULT).await;
        let commits = read_commits(&platform.config()).await;
        assert_eq!(commits.len(), 1, "{}", case.name);
        assert_eq!(commits[0].operator, "first", "{}", case.name);
    }
}

/// Guards against a manifest that exceeds one value of the platform because it lists many commits with long fields.
#[tokio::test]
async fn a_full_history_with_long_fields_fits_into_one_value() {
    let platform = TestPlatform::start().await;
    let store = platform.config();
    for generation in 0..=COMMIT_HISTORY_LIMIT as u64 {
        let mut request = commit_request(generation, "operator");
        // JSON escapes this byte as six bytes.
        request.summary = "\u{1}".repeat(SUMMARY_LIMIT_BYTES);
        request.operator = "\u{1}".repeat(128);
        let outcome = store.commit(&request).await.unwrap();
        assert!(
            matches!(outcome, CommitOutcome::Committed(_)),
            "{outcome:?}"
        );
    }
    let commits = read_commits(&store).await;
    assert_eq!(commits.len(), COMMIT_HISTORY_LIMIT);
    assert_eq!(commits[0].generation, 2);
}

/// Guards against audit objects that stay missing after an earlier commit could not write them.
#[tokio::test]
async fn a_missing_audit_object_is_written_by_the_next_commit() {
    let platform = TestPlatform::start().await;
    let (store, client) = (platform.config(), platform.client(LONG_TIMEOUT));
    commit_many(&store, 0, 3, "operator").await;
    for name in ["audit/2", "audit/3"] {
        let version = client.get(name).await.unwrap().unwrap().version;
        client.delete(name, version).await.unwrap();
    }
    commit_many(&store, 3, 1, "operator").await;
    let mut names: Vec<String> = client
        .list("audit/")
        .await
        .unwrap()
        .into_iter()
        .map(|entry| entry.name)
        .collect();
    names.sort();
    assert_eq!(names, ["audit/1", "audit/2", "audit/3", "audit/4"]);
}
