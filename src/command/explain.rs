//! The `explain` command: the history of one request, read from the logs of all processes.

use std::io::{self, BufRead};
use std::path::PathBuf;

use serde_json::{Map, Value, json};

use super::error::CommandError;
use super::printer::{Printer, table};

/// Fields that are not listed as details: they have a column of their own or say nothing about the
/// request.
const COMMON_FIELDS: [&str; 7] = ["ts", "level", "msg", "process", "vm", "event", "request_id"];

/// Log line of the request.
struct LogLine {
    timestamp: String,
    vm: String,
    event: String,
    fields: Map<String, Value>,
}

/// Log lines of one request, collected from all files.
#[derive(Default)]
struct RequestLog {
    lines: Vec<LogLine>,
    /// Lines that the processes omitted because of their limit on log output.
    omitted_lines: u64,
}

/// Prints the log lines of a request in order of time.
///
/// Reads standard input if `files` is empty.
///
/// # Errors
///
/// Fails if a file cannot be read or no line belongs to the request.
pub(super) fn explain(
    request_id: &str,
    files: &[PathBuf],
    printer: &mut Printer<'_>,
) -> Result<(), CommandError> {
    let mut request_log = RequestLog::default();
    if files.is_empty() {
        read_lines(&mut io::stdin().lock(), request_id, &mut request_log)?;
    }
    for path in files {
        let file = std::fs::File::open(path).map_err(|source| CommandError::File {
            path: path.clone(),
            source,
        })?;
        let read = read_lines(&mut io::BufReader::new(file), request_id, &mut request_log);
        read.map_err(|source| CommandError::File {
            path: path.clone(),
            source,
        })?;
    }
    request_log
        .lines
        .sort_by(|one, other| one.timestamp.cmp(&other.timestamp));
    if request_log.lines.is_empty() {
        return Err(CommandError::NotFound(
            request_log.not_found_message(request_id),
        ));
    }
    Ok(printer.print_result(&request_log.to_text(), request_log.to_json(request_id))?)
}

fn read_lines(
    source: &mut impl BufRead,
    request_id: &str,
    request_log: &mut RequestLog,
) -> io::Result<()> {
    for line in source.lines() {
        let line = line?;
        // Log collectors put host names and times before the JSON object.
        let Some(start) = line.find('{') else {
            continue;
        };
        if let Ok(Value::Object(fields)) = serde_json::from_str(&line[start..]) {
            request_log.add_line(fields, request_id);
        }
    }
    Ok(())
}

impl RequestLog {
    fn add_line(&mut self, mut fields: Map<String, Value>, request_id: &str) {
        let text = |fields: &Map<String, Value>, name: &str| {
            let value = fields.get(name).and_then(Value::as_str);
            value.unwrap_or_default().to_owned()
        };
        let event = text(&fields, "event");
        if event == "lines_left_out" {
            let lines = fields.get("lines").and_then(Value::as_u64);
            self.omitted_lines += lines.unwrap_or_default();
        }
        if text(&fields, "request_id") != request_id {
            return;
        }
        let line = LogLine {
            timestamp: text(&fields, "ts"),
            vm: text(&fields, "vm"),
            event,
            fields: {
                COMMON_FIELDS.iter().for_each(|name| {
                    fields.remove(*name);
                });
                fields
            },
        };
        self.lines.push(line);
    }

    fn not_found_message(&self, request_id: &str) -> String {
        match self.omitted_lines {
            0 => format!("no log line contains request {request_id}"),
            count => {
                format!(
                    "no log line contains request {request_id}; the processes omitted {count} lines"
                )
            }
        }
    }

    fn to_text(&self) -> String {
        let header = ["time", "vm", "event", "details"]
            .map(str::to_owned)
            .to_vec();
        let rows = self.lines.iter().map(|line| {
            let fields = line.fields.iter().map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                value => format!("{name}={value}"),
            });
            let details = fields.collect::<Vec<_>>().join(", ");
            vec![
                line.timestamp.clone(),
                line.vm.clone(),
                line.event.clone(),
                details,
            ]
        });
        let mut text = table(&std::iter::once(header).chain(rows).collect::<Vec<_>>());
        if self.omitted_lines > 0 {
            text.push_str(&format!(
                "the processes omitted {} lines\n",
                self.omitted_lines
            ));
        }
        text
    }

    fn to_json(&self, request_id: &str) -> Value {
        let lines = self.lines.iter().map(|line| {
            json!({ "time": line.timestamp, "vm": line.vm, "event": line.event, "fields": line.fields })
        });
        json!({
            "request_id": request_id,
            "lines": lines.collect::<Vec<_>>(),
            "lines_left_out": self.omitted_lines,
        })
    }
}
