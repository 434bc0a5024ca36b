//! Generation of a configuration from validated answers, with an explanation of each derived value.

use std::fmt;
use std::time::Duration;

use coltsfootkeel_decisions::max_queue_wait;
use coltsfootkeel_model::{FindingList, FleetConfig, PriorityClass, RouteKey, SourceLocation};

use crate::capacity_estimate::shift_cap;
use crate::document_writer::{DocumentWriter, quoted, quoted_list};
use crate::raw_answers::RawAnswers;
use crate::team_answers::{CallerAnswer, ServiceAnswer, TeamAnswers};

/// The duration of peak traffic that a burst covers, in milliseconds.
const PEAK_BURST_MS: u64 = 500;
/// Deadlines are rounded up to a multiple of this duration, in milliseconds.
const DEADLINE_STEP_MS: u64 = 100;
/// The time after which an isolated failure domain refuses access keys, in seconds. It equals the default of the
/// configuration.
const ISOLATION_LIMIT_S: u64 = 60;

/// A configuration and the reasons for its derived values.
#[derive(Debug)]
pub struct GeneratedConfig {
    /// The document in YAML.
    pub document: String,
    /// The derived values with their reasons, in the order of the document.
    pub explanations: Vec<DerivedValue>,
}

/// A value of the configuration that is derived from the answers.
#[derive(Debug)]
pub struct DerivedValue {
    /// The path of the field, for example `routes.confirmations.deadline_ms`.
    pub field: String,
    /// The derived value as text.
    pub value: String,
    /// The reason for the value.
    pub reason: String,
}

impl fmt::Display for DerivedValue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            field,
            value,
            reason,
        } = self;
        write!(formatter, "{field} = {value}: {reason}")
    }
}

/// Parses and validates the text of a questionnaire. `file` is its name in findings.
///
/// # Errors
///
/// Returns all faults of the questionnaire with their source locations.
pub fn parse(file: &str, text: &str) -> Result<TeamAnswers, FindingList> {
    let answers = TeamAnswers::try_from(RawAnswers::read(file, text))?;
    let document = generate(&answers).document;
    // The checks of the answers should cover those of the configuration. A fault that they miss is reported here
    // instead of when the configuration is committed.
    if let Err(findings) = FleetConfig::parse("generated configuration", &document) {
        let outer_findings = FindingList::new(file);
        let expected = findings.to_string();
        outer_findings.report(
            SourceLocation::default(),
            "generated configuration",
            expected,
        );
        return Err(outer_findings);
    }
    Ok(answers)
}

/// Generates a configuration from the answers.
#[must_use]
pub fn generate(answers: &TeamAnswers) -> GeneratedConfig {
    let mut generator = ConfigGenerator {
        answers,
        writer: DocumentWriter::default(),
        explanations: Vec::new(),
    };
    generator.header_comments();
    generator.regions();
    generator.accounts();
    generator.pools();
    generator.routes();
    generator.shifts();
    generator.sites();
    GeneratedConfig {
        document: generator.writer.finish(),
        explanations: generator.explanations,
    }
}

#[derive(Debug)]
struct ConfigGenerator<'a> {
    answers: &'a TeamAnswers,
    writer: DocumentWriter,
    explanations: Vec<DerivedValue>,
}

/// The priority class of a service and the reason for it.
#[derive(Debug)]
struct ClassChoice {
    class: PriorityClass,
    name: &'static str,
    reason: &'static str,
}

const URGENT: ClassChoice = ClassChoice {
    class: PriorityClass::Urgent,
    name: "urgent",
    reason: "must_not_run_twice: an unknown outcome costs the caller most, so it is shed last",
};
const STANDARD: ClassChoice = ClassChoice {
    class: PriorityClass::Standard,
    name: "standard",
    reason: "it may run twice, may not wait, and is either not to be lost or not to be late",
};
const PREVIEW: ClassChoice = ClassChoice {
    class: PriorityClass::Preview,
    name: "preview",
    reason: "may_be_late without must_not_be_lost: it is shed early and can be requested again",
};
const OVERNIGHT: ClassChoice = ClassChoice {
    class: PriorityClass::Overnight,
    name: "overnight",
    reason: "may_wait: it may be delayed, so it waits longest for a slot",
};

impl ConfigGenerator<'_> {
    fn header_comments(&mut self) {
        let team = &self.answers.team;
        let origin = format!("Generated from the questionnaire of team {team}.");
        self.writer.comment(&origin);
        self.writer
            .comment("Client accounts have no access keys yet; grant them in the configuration.");
    }

    fn regions(&mut self) {
        let answers = self.answers;
        let regions = answers.regions.iter().map(|(key, region)| {
            let domains = answers.domains.iter();
            let members = domains.filter(|(_, domain)| domain.region == key);
            let names = quoted_list(members.map(|(_, domain)| domain.name.as_str()));
            format!("{{name: {}, failure_domains: {names}}}", region.name)
        });
        self.writer.list("regions", regions);
        let links = answers.links.iter().map(|link| {
            format!(
                "{{between: [{}, {}], capacity_mbit_per_s: {}, latency_ms: {}}}",
                answers.regions[link.one].name,
                answers.regions[link.other].name,
                link.capacity_mbit_per_s,
                link.latency_ms
            )
        });
        self.writer.list("links", links);
        let mut seats = Vec::new();
        for (_, domain) in answers.domains.iter() {
            let name = &domain.name;
            for number in 1..=domain.entry_instances {
                seats.push(format!("{{name: {name}-{number}, failure_domain: {name}}}"));
            }
        }
        let reason = "one seat for each entry instance, so that every instance holds base shares";
        self.explain("seats", &seats.len(), reason);
        self.writer.list("seats", seats.into_iter());
    }

    fn accounts(&mut self) {
        let answers = self.answers;
        let departments = answers.departments.iter();
        let departments = departments.map(|(_, record)| format!("{{name: {}}}", record.name));
        self.writer.list("departments", departments);
        let reason = "access keys are never generated; for each account, choose a random key, give it to the caller, \
                      and add {label: YYYY-MM, sha256: DIGEST} to access_keys of the account, where DIGEST is \
                      the output of: printf %s KEY | sha256sum";
        self.explain("client_accounts.access_keys", &"none", reason);
        let callers = answers.callers.iter();
        let accounts: Vec<String> = callers.map(|(_, caller)| self.account(caller)).collect();
        self.writer.list("client_accounts", accounts.into_iter());
    }

    fn account(&mut self, caller: &CallerAnswer) -> String {
        let name = &caller.name;
        let rate = caller.peak_per_s;
        let reason = format!(
            "peak_per_s; the margin above the expected {} requests/s absorbs peaks",
            caller.expected_per_s
        );
        self.explain(
            &format!("client_accounts.{name}.rate_per_s"),
            &rate,
            &reason,
        );
        let seats = self.seat_count();
        let peak_requests = (rate * PEAK_BURST_MS).div_ceil(1_000);
        let burst = peak_requests.max(seats);
        let reason = format!(
            "the larger of {peak_requests}, which is {PEAK_BURST_MS} ms at peak_per_s, and {seats}, which is \
             one request for each entry instance"
        );
        self.explain(&format!("client_accounts.{name}.burst"), &burst, &reason);
        let department = &self.answers.departments[caller.department].name;
        format!("{{name: {name}, department: {department}, rate_per_s: {rate}, burst: {burst}}}")
    }

    fn pools(&mut self) {
        let answers = self.answers;
        if answers.pools.is_empty() {
            return;
        }
        self.writer.line(0, "pools:");
        for (_, pool) in answers.pools.iter() {
            self.writer.line(2, &format!("- name: {}", pool.name));
            let health_path = quoted(&pool.health_path);
            self.writer.line(4, &format!("health_path: {health_path}"));
            let load_path = quoted(&pool.load_path);
            self.writer.line(4, &format!("load_path: {load_path}"));
            let upstreams = pool.upstreams.iter().enumerate().map(|(index, upstream)| {
                format!(
                    "{{name: {}-{}, address: \"{}\", failure_domain: {}, slots: {}, connections: {}}}",
                    pool.name,
                    index + 1,
                    upstream.address,
                    answers.domains[upstream.domain].name,
                    pool.slots,
                    pool.connections
                )
            });
            self.writer.nested_list(4, "upstreams", upstreams);
        }
    }

    fn routes(&mut self) {
        let services = self.answers.services.iter();
        let routes: Vec<String> = services.map(|(_, service)| self.route(service)).collect();
        self.writer.list("routes", routes.into_iter());
    }

    fn route(&mut self, service: &ServiceAnswer) -> String {
        let answers = self.answers;
        let field = format!("routes.{}", service.name);
        let class = priority_class(service);
        self.explain(&format!("{field}.class"), &class.name, class.reason);
        let deadline = self.deadline(&field, service, &class);
        let isolation = self.isolation(&field, service);
        let mut parts = vec![
            format!("name: {}", service.name),
            format!(
                "department: {}",
                answers.departments[service.department].name
            ),
            format!("path_prefix: {}", quoted(&service.path)),
            format!("pool: {}", answers.pools[service.pool].name),
            format!("class: {}", class.name),
            format!("deadline_ms: {deadline}"),
        ];
        if service.open_to_all {
            parts.push("open: true".to_string());
        }
        if !service.callers.is_empty() {
            let callers = service.callers.iter();
            let names = callers.map(|caller| answers.callers[*caller].name.as_str());
            parts.push(format!("accounts: {}", quoted_list(names)));
        }
        if self.derive_post_idempotence(&field, service) {
            parts.push("idempotent_methods: [POST]".to_string());
        }
        parts.push(format!("isolation: {isolation}"));
        format!("{{{}}}", parts.join(", "))
    }

    fn deadline(&mut self, field: &str, service: &ServiceAnswer, class: &ClassChoice) -> u64 {
        let links = self.answers.links.iter();
        let latency = links.map(|link| link.latency_ms).max().unwrap_or(0);
        let wait = duration_ms(max_queue_wait(class.class));
        let sum = service.at_most_ms + wait + 2 * latency;
        let deadline = sum.next_multiple_of(DEADLINE_STEP_MS);
        let reason = format!(
            "at_most_ms {} + {wait} ms in the queue of class {} + 2 × {latency} ms on the slowest link, rounded up \
             to {DEADLINE_STEP_MS} ms",
            service.at_most_ms, class.name
        );
        self.explain(&format!("{field}.deadline_ms"), &deadline, &reason);
        deadline
    }

    fn isolation(&mut self, field: &str, service: &ServiceAnswer) -> String {
        let isolation = format!("{{mode: refuse, limit_s: {ISOLATION_LIMIT_S}}}");
        let reason = if service.open_to_all {
            "the default; it has no effect, because the route is open to callers without an access key"
        } else {
            "the default: an isolated failure domain does not receive the withdrawal of an access key, so it serves \
             keys for this time only; choose mode serve if serving matters more than a withdrawal"
        };
        self.explain(&format!("{field}.isolation"), &isolation, reason);
        isolation
    }

    /// Explains and returns whether a POST may be retried after an unknown outcome.
    fn derive_post_idempotence(&mut self, field: &str, service: &ServiceAnswer) -> bool {
        let is_idempotent =
            service.delivery.must_not_be_lost && !service.delivery.must_not_run_twice;
        let (value, reason) = if is_idempotent {
            let reason = "must_not_be_lost without must_not_run_twice: a POST with an unknown outcome is retried";
            ("[POST]", reason)
        } else if service.delivery.must_not_run_twice {
            let reason = "must_not_run_twice: a POST or PATCH with an unknown outcome is not retried; GET, HEAD, \
                          OPTIONS, PUT and DELETE are idempotent by definition of HTTP and may be";
            ("[]", reason)
        } else {
            let reason = "losing a request does little harm, so a POST with an unknown outcome is left to the caller";
            ("[]", reason)
        };
        self.explain(&format!("{field}.idempotent_methods"), &value, reason);
        is_idempotent
    }

    fn shifts(&mut self) {
        let services = self.answers.services.keys();
        let shifts: Vec<String> = services.filter_map(|service| self.shift(service)).collect();
        self.writer.list("shifts", shifts.into_iter());
    }

    fn shift(&mut self, key: RouteKey) -> Option<String> {
        let answers = self.answers;
        let service = &answers.services[key];
        let department = &answers.departments[service.department];
        let departure = department.departure.as_ref()?;
        let name = format!("{}-{}", service.name, departure.month);
        let cap = shift_cap(answers, key, departure);
        let field = format!("shifts.{name}.cap.share_percent");
        self.explain(&field, &cap.percent, &cap.reason);
        let reason = format!(
            "department {} leaves in {}; an operator makes the shift active then",
            department.name, departure.month
        );
        self.explain(&format!("shifts.{name}.state"), &"planned", &reason);
        Some(format!(
            "{{name: {name}, route: {}, from: {}, to: {}, cap: {{share_percent: {}}}, state: planned}}",
            service.name,
            answers.regions[departure.from].name,
            answers.regions[departure.to].name,
            cap.percent
        ))
    }

    fn sites(&mut self) {
        let answers = self.answers;
        let sites = answers.sites.iter().map(|(_, site)| {
            let domains = site.domains.iter();
            let names = quoted_list(domains.map(|key| answers.domains[*key].name.as_str()));
            format!("{{name: {}, failure_domains: {names}}}", site.name)
        });
        self.writer.list("sites", sites);
        let blocks = answers.sites.iter().flat_map(|(_, site)| {
            let blocks = site.blocks.iter();
            blocks.map(|block| format!("{{block: {}, site: {}}}", quoted(block), site.name))
        });
        self.writer.list("blocks", blocks);
    }

    fn seat_count(&self) -> u64 {
        let domains = self.answers.domains.iter();
        domains.map(|(_, domain)| domain.entry_instances).sum()
    }

    fn explain(&mut self, field: &str, value: &impl ToString, reason: &str) {
        self.explanations.push(DerivedValue {
            field: field.to_string(),
            value: value.to_string(),
            reason: reason.to_string(),
        });
    }
}

fn duration_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn priority_class(service: &ServiceAnswer) -> ClassChoice {
    if service.delay.may_wait {
        OVERNIGHT
    } else if service.delivery.must_not_run_twice {
        URGENT
    } else if service.delay.may_be_late && !service.delivery.must_not_be_lost {
        PREVIEW
    } else {
        STANDARD
    }
}
