//! A request that crashes each target that begins to run it, and entry instances that are stopped and started in turn.
//!
//! Rule BUDGET: such a request reaches targets in no more than three retries, sent by machines in touch later than
//! `stable_window` after it has crashed the third.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::Machine;
use crate::http::call;
use crate::record::Record;
use crate::setting::{HOST, KEY, MACHINES, start_site};
use crate::target::Site;

/// The account's rate and burst.
const LIMIT: (u32, u32) = (203, 203);
const POISON_PATH: &str = "/lohu930/poison/7";
const STABLE_WINDOW: Duration = Duration::from_secs(4);
struct Fleet {
    machines: Vec<Machine>,
    record: Arc<Record>,
    attempts: u32,
}

impl Fleet {
    /// Sends a request once and returns the status; zero if there was no answer.
    fn send(&mut self, machine: usize, path: &str) -> u16 {
        self.attempts += 1;
        let id = format!("9c41d07be2a3{:04x}", self.attempts);
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nColtsfootkeel-Attempt-Id: {id}\r\nColtsfootkeel-Affinity-Key: 7\r\nColtsfootkeel-Request-Deadline: 3000\r\nAuthorization: Token {KEY}\r\nConnection: close\r\n\r\n"
        );
        let to = &self.machines[machine];
        self.record
            .line(&format!("client sends {id} ({path}) to {}", to.name));
        let answer = call(to.front, request.as_bytes(), Duration::from_secs(3));
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        self.record.line(&format!("client gets {status} for {id}"));
        status
    }

    /// Sends the request every half second until the machine refuses it with 503, six times at most.
    fn send_until_refused(&mut self, machine: usize) {
        for _ in 0..6 {
            if self.send(machine, POISON_PATH) == 503 {
                return;
            }
            thread::sleep(Duration::from_millis(500));
        }
    }
}

/// Plays the case. Returns whether the rule was broken.
pub fn play(scratch: &Path, record: &Arc<Record>, is_troubled: bool) -> Result<bool, String> {
    let text = |error: std::io::Error| error.to_string();
    let (site, machines): (Arc<Site>, Vec<Machine>) = start_site(scratch, record, LIMIT)?;
    let mut fleet = Fleet {
        machines,
        record: Arc::clone(record),
        attempts: 0,
    };
    // All machines are in touch before the first request.
    thread::sleep(Duration::from_secs(5));
    for machine in 0..MACHINES {
        if fleet.send(machine, &format!("/lohu930/sound/{machine}")) != 200 {
            return Err("a sound request was not served".to_string());
        }
    }
    for machine in 0..MACHINES {
        fleet.send_until_refused(machine);
    }
    thread::sleep(STABLE_WINDOW + Duration::from_secs(1));
    // Without a restart each machine refuses the request.
    for machine in 0..MACHINES {
        fleet.send_until_refused(machine);
    }
    for machine in 0..MACHINES {
        if is_troubled {
            let restarted = &mut fleet.machines[machine];
            record.line(&format!("SIGTERM to {}", restarted.name));
            restarted.signal("TERM");
            let by_itself = restarted.wait_for_end(Duration::from_secs(6));
            record.line(&format!(
                "{} has ended, by itself: {by_itself}",
                restarted.name
            ));
            thread::sleep(Duration::from_millis(500));
            restarted.start().map_err(text)?;
            if !restarted.wait_until_ready(Duration::from_secs(10)) {
                return Err(format!("{} is not ready after its restart", restarted.name));
            }
            record.line(&format!("{} is ready again", restarted.name));
        }
        // The machine is in touch again before the request comes.
        let settled = Instant::now() + STABLE_WINDOW + Duration::from_millis(1_500);
        thread::sleep(settled.saturating_duration_since(Instant::now()));
        fleet.send_until_refused(machine);
    }
    let runs = site.runs.lock().unwrap().clone();
    let poison: Vec<_> = runs.iter().filter(|run| run.path == POISON_PATH).collect();
    let Some(third) = poison.get(2) else {
        return Err(format!(
            "the request has crashed {} targets, not three",
            poison.len()
        ));
    };
    let judged_from = third.at + STABLE_WINDOW;
    let late: Vec<_> = poison.iter().filter(|run| run.at > judged_from).collect();
    for run in &late {
        record.line(&format!(
            "run {} of {} at {:.3} s, {:.3} s after the third crash, by a machine in touch",
            run.attempt,
            run.target,
            run.at.as_secs_f64(),
            (run.at - third.at).as_secs_f64()
        ));
    }
    // Retries are counted, not runs: the attempts of clients that reached a target.
    let mut retries: Vec<&str> = late.iter().map(|run| run.attempt.as_str()).collect();
    retries.sort_unstable();
    retries.dedup();
    record.line(&format!(
        "{} runs in {} retries later than {} s after the third crash; allowed are three retries",
        late.len(),
        retries.len(),
        STABLE_WINDOW.as_secs()
    ));
    Ok(retries.len() > 3)
}
