//! A stand-in of a target. It registers itself in the store and tells its status regularly.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Head, read_body, read_head, write_answer};
use crate::record::Record;
use crate::store::Store;

const HEARTBEAT: Duration = Duration::from_millis(1_500);
pub const SLOTS: usize = 9;

/// A request that a target began to work on.
#[derive(Debug, Clone)]
pub struct Run {
    pub attempt: String,
    /// When the whole answer was written to the connection; `None` if that failed.
    pub answered: Option<f64>,
}

#[derive(Clone)]
pub struct Target {
    pub id: String,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
    work: Duration,
    body_bytes: usize,
    running: Arc<AtomicUsize>,
    record: Record,
}

impl Target {
    /// Starts a target of `service` in `zone`, whose requests take `work` and whose answers have `body_bytes`.
    pub fn start(
        store: &Store,
        record: &Record,
        name: (&str, &str, &str),
        work: Duration,
        body_bytes: usize,
    ) -> std::io::Result<Self> {
        let (id, service, zone) = name;
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let target = Self {
            id: id.to_string(),
            address: listener.local_addr()?,
            runs: Arc::default(),
            work,
            body_bytes,
            running: Arc::default(),
            record: record.clone(),
        };
        let spec = format!(
            "{{\"address\":\"{}\",\"born\":1790000000000,\"info\":{{\"service\":\"{service}\",\
             \"version\":\"v1\",\"zone\":\"{zone}\",\"slots\":{SLOTS}}}}}",
            target.address
        );
        let (store, id) = (store.clone(), id.to_string());
        let beat = move |seq: u64| {
            let status =
                format!("{{\"state\":\"ready\",\"seq\":{seq},\"cold_remaining\":\"0ms\"}}");
            store.put("servers", &id, &spec, &status);
        };
        beat(1);
        thread::spawn(move || {
            for seq in 2.. {
                thread::sleep(HEARTBEAT);
                beat(seq);
            }
        });
        let serving = target.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let target = serving.clone();
                thread::spawn(move || target.serve(stream));
            }
        });
        Ok(target)
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Some(head) = read_head(&mut stream, rest) {
            let Some((_, behind)) = read_body(&mut stream, &head) else {
                return;
            };
            rest = behind;
            if self.respond(&mut stream, &head).is_err() {
                return;
            }
        }
    }

    fn respond(&self, stream: &mut TcpStream, head: &Head) -> std::io::Result<()> {
        let attempt = head.header("coltsfootkeel-attempt-id").unwrap_or_default();
        let running = self.running.load(Ordering::SeqCst);
        let mut headers = vec![
            ("Coltsfootkeel-Attempt-Id".to_string(), attempt.to_string()),
            ("Coltsfootkeel-Instance-Id".to_string(), self.id.clone()),
            ("Coltsfootkeel-Server-Load".to_string(), format!("{running},0,{SLOTS}")),
        ];
        if head.request().1 == "/healthz" {
            headers.remove(0);
            return write_answer(stream, "200 OK", &headers, b"");
        }
        let expected = head.header("coltsfootkeel-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return write_answer(stream, "421 Misdirected Request", &headers, b"");
        }
        if running >= SLOTS {
            headers.push(("Coltsfootkeel-Not-Executed".to_string(), "1".to_string()));
            return write_answer(stream, "503 Service Unavailable", &headers, b"");
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        let index = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                attempt: attempt.to_string(),
                answered: None,
            });
            runs.len() - 1
        };
        let tenant = head.header("coltsfootkeel-tenant").unwrap_or("-");
        self.record.line(&format!("target {} runs {attempt} of tenant {tenant}", self.id));
        thread::sleep(self.work);
        self.running.fetch_sub(1, Ordering::SeqCst);
        headers.push((
            "Coltsfootkeel-Response-Signature".to_string(),
            format!("3e1b.07.{attempt}"),
        ));
        let body: Vec<u8> = (0..self.body_bytes).map(|at| (at % 251) as u8).collect();
        let written = write_answer(stream, "200 OK", &headers, &body);
        match &written {
            Ok(()) => {
                self.runs.lock().unwrap()[index].answered = Some(self.record.now());
                self.record.line(&format!("target {} has answered {attempt}", self.id));
            }
            Err(error) => {
                let id = &self.id;
                self.record.line(&format!("target {id} could not answer {attempt}: {error}"));
            }
        }
        written
    }
}
