//! Sets up `log` and `fern` to write each line as text or as a JSON object.

use std::fmt::Write;
use std::io::LineWriter;
use std::time::{SystemTime, UNIX_EPOCH};

use coltsfootkeel_settings::{LogFormat, LogSettings};
use fern::Output;
use log::kv::{Error as FieldError, Key, Value, VisitSource};

use crate::log_queue::LogQueue;
use crate::log_rate_limit::LogRateLimit;

/// Where log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogTarget {
    /// Standard error, written synchronously by the calling thread.
    StandardError,
    /// Standard output, written by a separate thread. Lines that exceed its queue are dropped and counted.
    QueuedOutput,
}

/// Sets up the logger of the process.
///
/// # Errors
///
/// Returns an error if the process already has a logger.
pub fn set_up_logs(settings: LogSettings, target: LogTarget) -> Result<(), log::SetLoggerError> {
    let format = match settings.format {
        LogFormat::Text => text_line,
        LogFormat::Json => json_line,
    };
    let limit = LogRateLimit::new();
    fern::Dispatch::new()
        .level(settings.level)
        .level_for("hyper", log::LevelFilter::Warn)
        .filter(move |metadata| limit.allows(metadata))
        .format(move |out, message, record| {
            let fields = LineFields::of(record);
            out.finish(format_args!(
                "{}",
                format(&message.to_string(), record.level(), &fields)
            ));
        })
        .chain(output(target))
        .apply()
}

fn output(target: LogTarget) -> Output {
    match target {
        // Each line is one write, so that lines of several processes do not mix.
        LogTarget::StandardError => {
            Output::writer(Box::new(LineWriter::new(std::io::stderr())), "\n")
        }
        LogTarget::QueuedOutput => {
            let queue = LogQueue::start();
            Output::call(move |record| queue.push(record.args().to_string()))
        }
    }
}

/// The key-value fields of a log record, in the order of the log call.
#[derive(Debug, Default)]
struct LineFields {
    fields: Vec<LineField>,
}

#[derive(Debug)]
struct LineField {
    name: String,
    value: String,
}

impl LineFields {
    fn of(record: &log::Record<'_>) -> Self {
        let mut fields = Self::default();
        // `visit` fails only if `visit_pair` returns an error, which it never does here.
        let _ = record.key_values().visit(&mut fields);
        fields
    }
}

impl<'kvs> VisitSource<'kvs> for LineFields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), FieldError> {
        self.fields.push(LineField {
            name: key.to_string(),
            value: value.to_string(),
        });
        Ok(())
    }
}

fn text_line(message: &str, level: log::Level, fields: &LineFields) -> String {
    let mut line = format!("{:.3} {level:5} {message}", seconds_since_epoch());
    for field in &fields.fields {
        // Writing to a string cannot fail.
        let _ = write!(line, " {}={}", field.name, field.value);
    }
    line
}

fn json_line(message: &str, level: log::Level, fields: &LineFields) -> String {
    let mut object = serde_json::Map::new();
    object.insert("time_s".into(), seconds_since_epoch().into());
    object.insert("level".into(), level.as_str().into());
    object.insert("message".into(), message.into());
    for field in &fields.fields {
        object.insert(field.name.clone(), field.value.clone().into());
    }
    serde_json::Value::Object(object).to_string()
}

fn seconds_since_epoch() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |elapsed| elapsed.as_secs_f64())
}
