//! An upstream that sends bytes without end.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use super::raw_requests::{attempt_id, read_request};

/// Time within which the connection to the upstream is closed after the answer.
const CLOSED_WITHIN: Duration = Duration::from_millis(500);

/// What an endless upstream sends after each request.
#[derive(Debug, Clone, Copy, Default)]
pub struct AnswerScript {
    /// The start of the answer; `{id}` stands for the attempt id of the request.
    pub start: &'static str,
    /// The bytes that are repeated, and how many times they are joined into one write.
    pub repeated: &'static str,
    pub joined: usize,
    /// The time between two writes.
    pub pause: Duration,
}

/// An upstream that sends its answer until the connection is closed.
#[derive(Debug, Clone)]
pub struct EndlessUpstream {
    pub address: SocketAddr,
    script: Arc<Mutex<AnswerScript>>,
    open_answers: Arc<AtomicUsize>,
}

impl EndlessUpstream {
    pub async fn start() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let upstream = Self {
            address: listener.local_addr().unwrap(),
            script: Arc::default(),
            open_answers: Arc::default(),
        };
        let accepting = upstream.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(accepting.clone().answer(stream));
            }
        });
        upstream
    }

    /// Sets what is sent after requests that arrive from now on.
    pub fn set_script(&self, script: AnswerScript) {
        *self.script.lock().unwrap() = script;
    }

    async fn answer(self, mut stream: TcpStream) {
        let Some(head) = read_request(&mut stream).await else {
            return;
        };
        let script = *self.script.lock().unwrap();
        let start = script.start.replace("{id}", attempt_id(&head));
        let repeated = script.repeated.repeat(script.joined);
        self.open_answers.fetch_add(1, Ordering::Relaxed);
        let mut sent = stream.write_all(start.as_bytes()).await;
        while sent.is_ok() {
            sent = stream.write_all(repeated.as_bytes()).await;
            tokio::time::sleep(script.pause).await;
        }
        self.open_answers.fetch_sub(1, Ordering::Relaxed);
    }

    /// Waits until the instance has closed the connections of all answers.
    pub async fn wait_until_closed(&self) -> bool {
        let started = Instant::now();
        while self.open_answers.load(Ordering::Relaxed) > 0 {
            if started.elapsed() > CLOSED_WITHIN {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        true
    }
}
