//! Tests of the object API's client: versions, write conditions, connection limits and the outcome that each error
//! reports for a write.

mod support;

use std::sync::Arc;

use bytes::Bytes;
use coltsfootkeel_platform::{
    AnswerFailure, CallError, ObjectClient, ObjectVersion, StoreRevision, UnsentReason,
    WriteCondition,
};
use support::{
    LONG_TIMEOUT, NO_FAULT, SHORT_TIMEOUT, SLOW_FAULT, TestPlatform, bind_loopback, exchange_raw,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const VALUE: Bytes = Bytes::from_static(b"value");

struct FailedWriteCase {
    name: &'static str,
    faults: &'static str,
    object: &'static str,
    length_bytes: usize,
    expected: fn(&CallError) -> bool,
    is_known_not_applied: bool,
    is_written: bool,
}

/// Guards against a write that is reported as not applied although it took effect, or as unknown although the
/// platform refused it.
#[tokio::test]
async fn errors_report_whether_a_write_took_effect() {
    let cases = [
        FailedWriteCase {
            name: "answered with 503",
            faults: r#"{"down": "unavailable"}"#,
            object: "a/b",
            length_bytes: 5,
            expected: |error| matches!(error, CallError::Refused { status: 503 }),
            is_known_not_applied: true,
            is_written: false,
        },
        FailedWriteCase {
            name: "closed without an answer",
            faults: r#"{"down": "closed"}"#,
            object: "a/b",
            length_bytes: 5,
            expected: |error| matches!(error, CallError::Unknown(AnswerFailure::Connection(_))),
            is_known_not_applied: false,
            is_written: false,
        },
        FailedWriteCase {
            name: "slower than the call's time limit",
            faults: SLOW_FAULT,
            object: "a/b",
            length_bytes: 5,
            expected: |error| matches!(error, CallError::Unknown(AnswerFailure::Timeout)),
            is_known_not_applied: false,
            is_written: false,
        },
        FailedWriteCase {
            name: "answer lost after the write",
            faults: r#"{"lose_answers": 1, "lose_answer_prefix": "a/"}"#,
            object: "a/b",
            length_bytes: 5,
            expected: |error| matches!(error, CallError::Unknown(AnswerFailure::Connection(_))),
            is_known_not_applied: false,
            is_written: true,
        },
        FailedWriteCase {
            name: "value too large",
            faults: NO_FAULT,
            object: "a/b",
            length_bytes: 1_000_001,
            expected: |error| matches!(error, CallError::Refused { status: 413 }),
            is_known_not_applied: true,
            is_written: false,
        },
        FailedWriteCase {
            name: "empty name",
            faults: NO_FAULT,
            object: "",
            length_bytes: 5,
            expected: |error| matches!(error, CallError::NotSent(UnsentReason::Request(_))),
            is_known_not_applied: true,
            is_written: false,
        },
    ];
    for case in cases {
        let platform = TestPlatform::start().await;
        platform.set_faults(case.faults).await;
        let timeout = if case.faults == SLOW_FAULT {
            SHORT_TIMEOUT
        } else {
            LONG_TIMEOUT
        };
        let body = Bytes::from(vec![b'x'; case.length_bytes]);
        let result = platform
            .client(timeout)
            .put(case.object, body, WriteCondition::Absent)
            .await;
        let error = result.expect_err(case.name);
        assert!((case.expected)(&error), "{}: {error:?}", case.name);
        let is_known_not_applied = error.is_known_not_applied();
        assert_eq!(
            is_known_not_applied, case.is_known_not_applied,
            "{}",
            case.name
        );
        platform.set_faults(NO_FAULT).await;
        let listed = platform.client(LONG_TIMEOUT).list("").await.unwrap();
        assert_eq!(!listed.is_empty(), case.is_written, "{}", case.name);
        assert!(!(case.is_written && is_known_not_applied), "{}", case.name);
    }
}

/// Guards against a write that is reported with an unknown outcome although no connection was opened.
#[tokio::test]
async fn a_refused_connection_is_reported_as_not_sent() {
    let listener = bind_loopback().await;
    let address = listener.local_addr().unwrap();
    drop(listener);
    let client = ObjectClient::new(address, LONG_TIMEOUT);
    let result = client.put("a", VALUE, WriteCondition::Absent).await;
    let error = result.unwrap_err();
    assert!(
        matches!(error, CallError::NotSent(UnsentReason::Connect(_))),
        "{error:?}"
    );
}

struct WriteCase {
    name: &'static str,
    is_present: bool,
    condition: fn(ObjectVersion) -> WriteCondition,
    is_accepted: bool,
}

/// Guards against a write that takes effect although its condition does not hold, or fails although it holds.
#[tokio::test]
async fn a_write_takes_effect_only_if_its_condition_holds() {
    let cases = [
        WriteCase {
            name: "create an absent object",
            is_present: false,
            condition: |_| WriteCondition::Absent,
            is_accepted: true,
        },
        WriteCase {
            name: "create a present object",
            is_present: true,
            condition: |_| WriteCondition::Absent,
            is_accepted: false,
        },
        WriteCase {
            name: "replace the current version",
            is_present: true,
            condition: WriteCondition::Version,
            is_accepted: true,
        },
        WriteCase {
            name: "replace another version",
            is_present: true,
            condition: |version| WriteCondition::Version(ObjectVersion(version.0 - 1)),
            is_accepted: false,
        },
        WriteCase {
            name: "replace an absent object",
            is_present: false,
            condition: WriteCondition::Version,
            is_accepted: false,
        },
    ];
    for case in cases {
        let platform = TestPlatform::start().await;
        let client = platform.client(LONG_TIMEOUT);
        let created = client.put("a", VALUE, WriteCondition::Absent).await;
        let version = created.unwrap();
        if !case.is_present {
            client.delete("a", version).await.unwrap();
        }
        let body = Bytes::from_static(b"new");
        let result = client
            .put("a", body.clone(), (case.condition)(version))
            .await;
        let stored = client.get("a").await.unwrap();
        match result {
            Ok(version) => {
                let stored = stored.unwrap();
                assert!(case.is_accepted, "{}", case.name);
                assert_eq!(
                    (stored.version, stored.body),
                    (version, body),
                    "{}",
                    case.name
                );
            }
            Err(CallError::Conflict) => {
                assert!(!case.is_accepted, "{}", case.name);
                let old = case.is_present.then_some(VALUE);
                assert_eq!(stored.map(|object| object.body), old, "{}", case.name);
            }
            Err(error) => panic!("{}: {error}", case.name),
        }
    }
}

/// Guards against names that are truncated or changed because their characters are not encoded in a path or a query.
#[tokio::test]
async fn names_with_unusual_characters_are_kept() {
    let platform = TestPlatform::start().await;
    let client = platform.client(LONG_TIMEOUT);
    let names = ["seats/a b", "seats/a%2Fb", "seats/a/b", "seats/ü?x=1&y#z+1"];
    for name in names {
        client
            .put(name, VALUE, WriteCondition::Absent)
            .await
            .unwrap();
    }
    client
        .put("other", VALUE, WriteCondition::Absent)
        .await
        .unwrap();
    for name in names {
        let listed = client.list(name).await.unwrap();
        assert!(listed.iter().any(|entry| entry.name == name), "{name}");
        let version = client.get(name).await.unwrap().unwrap().version;
        client.delete(name, version).await.unwrap();
        assert_eq!(client.get(name).await.unwrap(), None, "{name}");
    }
    let remaining = client.list("").await.unwrap();
    assert_eq!(remaining.len(), 1);
    assert_eq!(remaining[0].name, "other");
}

/// Guards against two concurrent updates of one version that are both reported as successful.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_race_of_two_updates_has_one_winner() {
    const ROUNDS: u64 = 50;
    let platform = TestPlatform::start().await;
    let clients = [platform.client(LONG_TIMEOUT), platform.client(LONG_TIMEOUT)];
    let mut condition = WriteCondition::Absent;
    for round in 0..ROUNDS {
        let writes = clients.iter().enumerate().map(|(index, client)| {
            let client = Arc::clone(client);
            let body = Bytes::from(format!("{round}-{index}"));
            tokio::spawn(async move { (client.put("a", body.clone(), condition).await, body) })
        });
        let writes: Vec<_> = writes.collect();
        let mut winners = Vec::new();
        for write in writes {
            match write.await.unwrap() {
                (Ok(version), body) => winners.push((version, body)),
                (Err(CallError::Conflict), _) => {}
                (Err(error), _) => panic!("round {round}: {error}"),
            }
        }
        let stored = clients[0].get("a").await.unwrap().unwrap();
        assert_eq!(winners, [(stored.version, stored.body)], "round {round}");
        condition = WriteCondition::Version(stored.version);
    }
}

/// Guards against watches that open connections without a bound, and against a call that waits
/// for a free connection longer than its time limit.
#[tokio::test]
async fn connections_are_bounded() {
    const CONNECTIONS: u64 = 8;
    let platform = TestPlatform::start().await;
    let client = platform.client(SHORT_TIMEOUT);
    let revision = client.watch("", StoreRevision::NOW, LONG_TIMEOUT).await;
    let revision = revision.unwrap().revision;
    let watches: Vec<_> = (0..CONNECTIONS)
        .map(|_| {
            let client = Arc::clone(&client);
            tokio::spawn(async move { client.watch("", revision, LONG_TIMEOUT).await })
        })
        .collect();
    while platform.counts().await.watches <= CONNECTIONS {
        tokio::time::sleep(SHORT_TIMEOUT / 20).await;
    }
    let error = client.get("a").await.unwrap_err();
    assert!(
        matches!(error, CallError::NotSent(UnsentReason::NoConnection)),
        "{error:?}"
    );
    for watch in watches {
        watch.abort();
        assert!(watch.await.unwrap_err().is_cancelled());
    }
    assert_eq!(client.get("a").await.unwrap(), None);
}

/// Guards against calls that fail because they reuse a connection that the platform has closed.
#[tokio::test]
async fn a_connection_closed_after_an_answer_is_not_reused() {
    const CALLS: usize = 10;
    const ANSWER: &[u8] =
        b"HTTP/1.1 404 Not Found\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    let listener = bind_loopback().await;
    let client = ObjectClient::new(listener.local_addr().unwrap(), LONG_TIMEOUT);
    let server = tokio::spawn(async move {
        let mut request = [0; 1024];
        for _ in 0..CALLS {
            let (mut stream, _) = listener.accept().await.unwrap();
            assert!(stream.read(&mut request).await.unwrap() > 0);
            stream.write_all(ANSWER).await.unwrap();
        }
    });
    for call in 0..CALLS {
        assert_eq!(client.get("a").await.unwrap(), None, "call {call}");
    }
    server.await.unwrap();
}

/// Guards against a platform stand-in that sends an answer although its fault `lose_answers` is set.
#[tokio::test]
async fn a_lost_answer_sends_no_byte() {
    let platform = TestPlatform::start().await;
    platform.set_faults(r#"{"lose_answers": 1}"#).await;
    let answer = exchange_raw(platform.address, "PUT", "/v1/objects/a", "x").await;
    assert_eq!(answer, "");
    let answer = exchange_raw(platform.address, "PUT", "/v1/objects/b", "x").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Guards against fields of the list of instances whose names differ between client and platform.
#[tokio::test]
async fn instances_are_listed() {
    let platform = TestPlatform::start().await;
    for (name, leaving) in [("i-1", false), ("i-2", true)] {
        let body = format!(
            r#"{{"address": "127.0.0.1:9201", "failure_domain": "penang-a", "leaving": {leaving}}}"#
        );
        let path = format!("/v1/instances/{name}");
        platform.call("PUT", &path, &body).await;
    }
    let client = platform.client(LONG_TIMEOUT);
    let listed = client.instances().await.unwrap();
    assert_eq!(listed.len(), 2);
    assert_eq!((listed[0].name.as_str(), listed[0].leaving), ("i-1", false));
    assert_eq!((listed[1].name.as_str(), listed[1].leaving), ("i-2", true));
    assert_eq!(listed[0].failure_domain, "penang-a");
    platform.call("DELETE", "/v1/instances/i-1", "").await;
    assert_eq!(client.instances().await.unwrap().len(), 1);
}
