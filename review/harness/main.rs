//! Runs one case of the review: starts the project's program and the stand-ins, writes the record, and exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case could not run.
//!
//! harness CASE RECORD FOLDER TROUBLE: TROUBLE is 1, or 0 for the same without the disruption.

mod client;
mod fleet;
mod http;
mod json;
mod record;
mod store;
mod target;

use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use client::{Request, Seen, call};
use fleet::{Machine, MachineSettings, Ports, SIGTERM, configuration};
use record::Record;
use store::{Door, Store};
use target::Target;

const KEY: &str = "xd9dnn2ctnfzs989anu6";

/// What a case needs.
struct Setting {
    record: Record,
    trouble: bool,
    store: Store,
    doors: Vec<Door>,
    machines: Vec<Machine>,
    targets: Vec<Target>,
}

/// The size and the pace of a setting.
struct Plan<'a> {
    zones: &'a [&'a str],
    work: Duration,
    body_bytes: usize,
}

type Outcome = Result<bool, Box<dyn std::error::Error>>;

impl Setting {
    /// Starts the store, three targets and a machine in each of the zones.
    fn start(record: Record, folder: String, plan: &Plan) -> Result<Self, Box<dyn std::error::Error>> {
        let trouble = std::env::args().nth(4).as_deref() != Some("0");
        record.line(if trouble { "with the disruption" } else { "without the disruption" });
        let store = Store::default();
        store.put("config", "main", &configuration(2, 1, &[KEY]), "null");
        let mut targets = Vec::new();
        for (id, zone) in [
            ("i-7f3a91c2", "north-ridge-a"),
            ("i-02d9e6b4", "north-ridge-b"),
            ("i-55c0aa17", "north-ridge-a"),
        ] {
            let name = (id, "jobdesk", zone);
            targets.push(Target::start(&store, &record, name, plan.work, plan.body_bytes)?);
        }
        let ports = Ports::find(u8::try_from(plan.zones.len())?)?;
        let mut machines = Vec::new();
        let mut doors = Vec::new();
        for (number, zone) in plan.zones.iter().enumerate() {
            let door = store.open()?;
            let options = MachineSettings {
                number: u8::try_from(number)?,
                zone,
                door: &door,
                ports,
            };
            let mut machine = Machine::new(&folder, &options)?;
            machine.start(&record)?;
            machines.push(machine);
            doors.push(door);
        }
        for machine in &machines {
            machine.wait_until_ready(&record)?;
        }
        // Until calm: the machines know each other, and all are registered.
        thread::sleep(Duration::from_secs(4));
        Ok(Self {
            record,
            trouble,
            store,
            doors,
            machines,
            targets,
        })
    }

    fn call(&self, machine: usize, request: &Request) -> Seen {
        let name = &self.machines[machine].name;
        let Request { method, path, attempt, budget_ms, .. } = request;
        self.record.line(&format!("client sends {attempt} ({method} {path}, {budget_ms} ms) to {name}"));
        let seen = call(self.machines[machine].front, request);
        self.record.line(&format!(
            "client has of {attempt}: status {}, signed {}, {} of {} bytes after {:.3} s {}",
            seen.status, seen.is_signed, seen.received, seen.length, seen.took_s, seen.error
        ));
        seen
    }

    /// Calls a machine, and records meanwhile when its process ends.
    fn call_and_watch(&mut self, machine: usize, request: &Request) -> Seen {
        let record = self.record.clone();
        let mut process = self.machines[machine].take_process();
        let seen = thread::scope(|scope| {
            let call = scope.spawn(|| self.call(machine, request));
            while !call.is_finished() {
                if let Some(Ok(Some(end))) = process.as_mut().map(|process| process.try_wait()) {
                    record.line(&format!("the process of the machine has ended: {end}"));
                    process = None;
                }
                thread::sleep(Duration::from_millis(5));
            }
            call.join().unwrap_or_default()
        });
        self.machines[machine].put_process(process);
        seen
    }

    /// Returns whether a target began to work on a request.
    fn has_run(&self, attempt: &str) -> bool {
        let runs = |target: &Target| target.runs.lock().unwrap().clone();
        self.targets.iter().flat_map(runs).any(|run| run.attempt == attempt)
    }

    /// Requests that show that the installation works; an error if it does not.
    fn warm_up(&self) -> Result<(), Box<dyn std::error::Error>> {
        for machine in 0..self.machines.len() {
            let attempt = format!("warm-up-{machine}");
            let request = Request { attempt: &attempt, ..plain_request() };
            if !self.call(machine, &request).is_whole() {
                return Err(format!("{attempt} was not answered").into());
            }
        }
        Ok(())
    }
}

fn plain_request() -> Request<'static> {
    Request {
        method: "GET",
        path: "/surveys/7",
        attempt: "",
        key: KEY,
        budget_ms: 8_000,
        body: b"",
        pause: Duration::ZERO,
        bytes_per_s: 0,
    }
}

/// A machine is taken away for good with SIGTERM; later the store is silent to the one that is left, while the operator
/// takes a key away.
fn revoke(record: Record, folder: String) -> Outcome {
    let zones = ["north-ridge-a", "north-ridge-b"];
    let plan = Plan { zones: &zones, work: Duration::from_millis(100), body_bytes: 400 };
    let mut setting = Setting::start(record, folder, &plan)?;
    setting.warm_up()?;
    if setting.trouble {
        setting.record.line("SIGTERM to the first machine, which is removed for good");
        setting.machines[0].signal(SIGTERM);
        for _ in 0..80 {
            thread::sleep(Duration::from_millis(100));
            if let Some(end) = setting.machines[0].end() {
                setting.record.line(&format!("the first machine has ended: {end}"));
                break;
            }
        }
        thread::sleep(Duration::from_secs(4));
        setting.record.line("the store is silent to the other machine for 9 s");
        setting.doors[1].silent.store(true, std::sync::atomic::Ordering::SeqCst);
        thread::sleep(Duration::from_millis(200));
    }
    let revision = setting.store.put("config", "main", &configuration(3, 2, &["another-key-of-the-tenant"]), "null");
    let acknowledged = setting.record.now();
    setting.record.line(&format!("the store acknowledges version 3 without the key, revision {revision}"));
    let mut late = 0;
    for number in 0.. {
        let sent = setting.record.now();
        if sent > acknowledged + 8.5 {
            break;
        }
        let attempt = format!("with-key-{number}");
        let request = Request { attempt: &attempt, ..plain_request() };
        setting.call(1, &request);
        if sent > acknowledged + 5.0 && setting.has_run(&attempt) {
            setting.record.line(&format!("{attempt} was sent {:.3} s after the acknowledgement and ran", sent - acknowledged));
            late += 1;
        }
        thread::sleep(Duration::from_millis(250));
    }
    setting.doors[1].silent.store(false, std::sync::atomic::Ordering::SeqCst);
    setting.record.line(&format!("{late} requests with the withdrawn key were sent later than 5 s and ran"));
    Ok(late > 0)
}

/// The store tells watches nothing for a second, in which the operator takes a key away; then it is down for 4.5 s.
fn outage(record: Record, folder: String) -> Outcome {
    let zones = ["north-ridge-a", "north-ridge-b", "lake-basin-a"];
    let plan = Plan { zones: &zones, work: Duration::from_millis(50), body_bytes: 400 };
    let setting = Setting::start(record, folder, &plan)?;
    setting.warm_up()?;
    if setting.trouble {
        setting.record.line("watches hear nothing for 0.9 s");
        setting.store.begin_compaction();
        thread::sleep(Duration::from_millis(150));
    }
    let withdrawn = configuration(3, 2, &["another-key-of-the-tenant"]);
    let revision = setting.store.put("config", "main", &withdrawn, "null");
    let acknowledged = setting.record.now();
    setting.record.line(&format!("the store acknowledges version 3 without the key, revision {revision}"));
    let silence = |is_silent: bool| {
        for door in &setting.doors {
            door.silent.store(is_silent, std::sync::atomic::Ordering::SeqCst);
        }
    };
    let mut late = 0;
    thread::scope(|scope| {
        if setting.trouble {
            scope.spawn(|| {
                thread::sleep(Duration::from_millis(750));
                setting.record.line("the store is down for 4.5 s: silent to all machines");
                silence(true);
                thread::sleep(Duration::from_millis(200));
                setting.store.end_compaction();
                thread::sleep(Duration::from_millis(4_300));
                silence(false);
                setting.record.line("the store is up");
            });
        }
        for number in 0.. {
            let sent = setting.record.now();
            if sent > acknowledged + 9.0 {
                break;
            }
            let attempt = format!("with-key-{number}");
            setting.call(number % zones.len(), &Request { attempt: &attempt, ..plain_request() });
            if sent > acknowledged + 5.0 && setting.has_run(&attempt) {
                let after = sent - acknowledged;
                setting.record.line(&format!("{attempt} was sent {after:.3} s after the acknowledgement and ran"));
                late += 1;
            }
            thread::sleep(Duration::from_millis(50));
        }
    });
    setting.record.line(&format!("{late} requests with the withdrawn key were sent later than 5 s and ran"));
    Ok(late > 0)
}

/// A machine is stopped while a client sends the head of a request in two pieces.
fn split_head(record: Record, folder: String) -> Outcome {
    let zones = ["north-ridge-a", "north-ridge-b"];
    let plan = Plan { zones: &zones, work: Duration::from_millis(700), body_bytes: 400 };
    let mut setting = Setting::start(record, folder, &plan)?;
    setting.warm_up()?;
    if setting.trouble {
        setting.record.line("SIGTERM to the first machine");
        setting.machines[0].signal(SIGTERM);
    }
    thread::sleep(Duration::from_millis(2_800));
    let request = Request {
        method: "POST",
        path: "/orders/7",
        attempt: "order-in-two-pieces",
        budget_ms: 2_000,
        body: b"bracket order",
        pause: Duration::from_millis(300),
        ..plain_request()
    };
    let seen = setting.call_and_watch(0, &request);
    thread::sleep(Duration::from_millis(1_500));
    let has_run = setting.has_run(request.attempt);
    let is_lost = has_run && !seen.is_whole();
    setting.record.line(&format!("a target began to work on it: {has_run}; the answer is whole: {}", seen.is_whole()));
    if !has_run && !seen.is_whole() {
        return Err("the request was not taken".into());
    }
    Ok(is_lost)
}

/// A machine is stopped while a client reads a large answer.
fn large_answer(record: Record, folder: String) -> Outcome {
    let zones = ["north-ridge-a", "north-ridge-b"];
    let plan = Plan { zones: &zones, work: Duration::from_millis(100), body_bytes: 4_000_000 };
    let mut setting = Setting::start(record, folder, &plan)?;
    setting.warm_up()?;
    if setting.trouble {
        setting.record.line("SIGTERM to the first machine");
        setting.machines[0].signal(SIGTERM);
    }
    thread::sleep(Duration::from_millis(1_700));
    // 9.2 Mbit/s: the answer takes 3.5 s, so that it ends 5.3 s after the SIGTERM, within `grace`.
    let request = Request {
        attempt: "large-answer",
        budget_ms: 8_000,
        bytes_per_s: 1_150_000,
        ..plain_request()
    };
    let seen = setting.call_and_watch(0, &request);
    let has_run = setting.has_run(request.attempt);
    let is_lost = has_run && !seen.is_whole();
    setting.record.line(&format!("a target began to work on it: {has_run}; the answer is whole: {}", seen.is_whole()));
    if !has_run && !seen.is_whole() {
        return Err("the request was not taken".into());
    }
    Ok(is_lost)
}

/// Another writer stores an entry of the kind `servers`. The platform starts processes that end again.
fn odd_entry(record: Record, folder: String) -> Outcome {
    let zones = ["north-ridge-a", "north-ridge-b"];
    let plan = Plan { zones: &zones, work: Duration::from_millis(100), body_bytes: 400 };
    let mut setting = Setting::start(record, folder, &plan)?;
    setting.warm_up()?;
    if setting.trouble {
        let spec = "{\"address\":\"127.0.0.1:9\",\"born\":1790000000000,\"info\":{\"service\":\"no-such-service\",\
                    \"version\":\"v1\",\"zone\":\"north-ridge-a\",\"slots\":4294967295}}";
        let status = "{\"state\":\"ready\",\"seq\":1,\"cold_remaining\":\"0ms\"}";
        setting.store.put("servers", "i-of-another-writer", spec, status);
        setting.record.line(&format!("another writer stores servers/i-of-another-writer {spec}"));
    }
    let mut ends = vec![0; setting.machines.len()];
    for number in 0..80 {
        thread::sleep(Duration::from_millis(250));
        for (index, ended) in ends.iter_mut().enumerate() {
            if let Some(end) = setting.machines[index].end() {
                *ended += 1;
                let name = setting.machines[index].name.clone();
                setting.record.line(&format!("the process of {name} has ended by itself: {end}"));
                thread::sleep(Duration::from_millis(100));
                setting.machines[index].start(&setting.record)?;
            }
        }
        if number % 8 == 0 {
            let attempt = format!("lookup-{number}");
            setting.call(0, &Request { attempt: &attempt, budget_ms: 2_000, ..plain_request() });
        }
    }
    setting.record.line(&format!("the processes ended by themselves, by machine: {ends:?}"));
    Ok(ends.iter().filter(|ended| **ended >= 3).count() >= 2)
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record, folder, _trouble] = &arguments[..] else {
        eprintln!("harness CASE RECORD FOLDER TROUBLE");
        return ExitCode::from(2);
    };
    let record = match Record::create(record) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("the record cannot be written: {error}");
            return ExitCode::from(2);
        }
    };
    let lines = record.clone();
    let outcome = match case.as_str() {
        "revoke" => revoke(record, folder.clone()),
        "outage" => outage(record, folder.clone()),
        "split-head" => split_head(record, folder.clone()),
        "large-answer" => large_answer(record, folder.clone()),
        "odd-entry" => odd_entry(record, folder.clone()),
        _ => Err(format!("no case {case}").into()),
    };
    match outcome {
        Ok(false) => {
            lines.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(true) => {
            lines.line("the rule was broken");
            ExitCode::FAILURE
        }
        Err(error) => {
            lines.line(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
