//! Records the control events of one daemon in a trace file, and replays such a file to check the
//! outcomes that it expects.

use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::control::ControlSettings;
use crate::control::Controller;
use crate::event::ClaimAnswer;
use crate::event::DecisionKind;
use crate::event::Effect;
use crate::event::Event;
use crate::event::TimedEvent;
use crate::host::OrderAction;
use crate::ids::ModelName;
use crate::keep_warm::KeepWarmPolicy;

/// One line of a trace file, as JSON.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TraceLine {
    /// The daemon that recorded the events; always the first line.
    Daemon {
        /// Its name.
        id: String,
        /// Its incarnation.
        incarnation: u64,
        /// Its data centre.
        centre: String,
    },
    /// An event.
    Event(TimedEvent),
    /// A check of the effects up to this line.
    Expect(Expect),
}

/// An expected outcome: how often something was done since the start of the trace.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Expect {
    /// What is counted.
    pub what: Counted,
    /// The model; an empty name counts all models.
    #[serde(default)]
    pub model: ModelName,
    /// Minimum count.
    pub least: u64,
    /// Maximum count.
    pub most: u64,
}

/// What a replay counts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Counted {
    /// Orders to load.
    LoadOrder,
    /// Orders to unload.
    UnloadOrder,
    /// Claims granted to a request.
    ClaimGranted,
    /// Claims refused because the log did not answer.
    ClaimRefused,
    /// Claims that another daemon holds, or that have ended.
    ClaimTaken,
    /// Entries appended to the log, including retries.
    Append,
    /// Edits accepted.
    EditAccepted,
    /// Edits that conflicted.
    EditConflict,
    /// Leases won.
    Lead,
    /// Leases lost.
    Yield,
    /// Slots freed.
    Free,
    /// Slots that began to drain.
    Drain,
}

/// Writes events to a trace file.
#[derive(Debug)]
pub struct TraceWriter {
    out: BufWriter<File>,
}

impl TraceWriter {
    /// Creates the file and writes its first line.
    ///
    /// # Errors
    ///
    /// The file cannot be created or written.
    pub fn create(path: &Path, settings: &ControlSettings) -> io::Result<Self> {
        let mut writer = Self { out: BufWriter::new(File::create(path)?) };
        writer.write_line(&TraceLine::Daemon {
            id: settings.id.to_string(),
            incarnation: settings.incarnation,
            centre: settings.centre.to_string(),
        })?;
        Ok(writer)
    }

    /// Writes an event. Write errors, such as a full disk, are ignored so that the daemon
    /// continues.
    pub fn write_event(&mut self, at: Duration, event: &Event) {
        let line = TraceLine::Event(TimedEvent { at, event: event.clone() });
        let _ignored = self.write_line(&line);
    }

    fn write_line(&mut self, line: &TraceLine) -> io::Result<()> {
        serde_json::to_writer(&mut self.out, line)?;
        self.out.write_all(b"\n")?;
        self.out.flush()
    }
}

/// Why a trace could not be replayed, or which expected outcome was not met.
#[derive(Debug, Error)]
pub enum ReplayError {
    /// The file cannot be read.
    #[error("the trace cannot be read")]
    Read(#[from] io::Error),
    /// A line cannot be parsed, or the daemon line is not the first and only one.
    #[error("line {line}: {message}")]
    Malformed {
        /// Line of the file, from 1.
        line: usize,
        /// What is wrong.
        message: String,
    },
    /// An expected outcome was not met.
    #[error("line {line}: expected {least} to {most} of {what:?} {model}, found {found}")]
    Unmet {
        /// Line of the file, from 1.
        line: usize,
        /// What was counted.
        what: Counted,
        /// The model; empty for all models.
        model: ModelName,
        /// Minimum allowed count.
        least: u64,
        /// Maximum allowed count.
        most: u64,
        /// The actual count.
        found: u64,
    },
}

/// Result of a replay.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Replayed {
    /// Number of replayed events.
    pub events: u64,
    /// Number of expected outcomes that were met.
    pub met: u64,
    /// Counts over all models.
    pub counts: BTreeMap<Counted, u64>,
}

#[derive(Default)]
struct Counts {
    by_model: BTreeMap<(Counted, ModelName), u64>,
}

impl Counts {
    fn add(&mut self, what: Counted, model: &str) {
        *self.by_model.entry((what, model.into())).or_default() += 1;
    }

    fn get(&self, what: Counted, model: &str) -> u64 {
        let wanted = |m: &str| model.is_empty() || m == model;
        self.by_model.iter().filter(|((w, m), _)| *w == what && wanted(m)).map(|(_, n)| n).sum()
    }

    fn record_effect(&mut self, effect: &Effect) {
        match effect {
            Effect::Order(order, _) if order.action == OrderAction::Load => {
                self.add(Counted::LoadOrder, &order.model);
            }
            Effect::Order(order, _) => self.add(Counted::UnloadOrder, &order.model),
            Effect::Claimed(_, answer) => self.add(counted_claim(answer), ""),
            Effect::Append(_) => self.add(Counted::Append, ""),
            Effect::Edited(_, crate::event::EditAnswer::Accepted(_)) => {
                self.add(Counted::EditAccepted, "");
            }
            Effect::Edited(..) => self.add(Counted::EditConflict, ""),
            Effect::Decide(d) => {
                let what = match d.action {
                    DecisionKind::Lead => Counted::Lead,
                    DecisionKind::Yield => Counted::Yield,
                    DecisionKind::Free => Counted::Free,
                    DecisionKind::Drain => Counted::Drain,
                    _ => return,
                };
                self.add(what, &d.model);
            }
            Effect::Poll(_) | Effect::Publish => {}
        }
    }
}

fn counted_claim(answer: &ClaimAnswer) -> Counted {
    match answer {
        ClaimAnswer::Granted => Counted::ClaimGranted,
        ClaimAnswer::LogDown => Counted::ClaimRefused,
        ClaimAnswer::Taken(_) | ClaimAnswer::Ended(..) => Counted::ClaimTaken,
    }
}

/// Replays a trace through the control state machine.
///
/// # Errors
///
/// The trace cannot be read or parsed, or an expected outcome is not met.
pub fn replay(path: &Path) -> Result<Replayed, ReplayError> {
    let reader = BufReader::new(File::open(path)?);
    let mut control: Option<Controller> = None;
    let mut counts = Counts::default();
    let mut replayed = Replayed::default();
    for (index, text) in reader.lines().enumerate() {
        let line = index + 1;
        let text = text?;
        if text.trim().is_empty() {
            continue;
        }
        let malformed = |message: String| ReplayError::Malformed { line, message };
        let parsed = serde_json::from_str(&text).map_err(|e| malformed(e.to_string()))?;
        match (parsed, &mut control) {
            (TraceLine::Daemon { id, incarnation, centre }, None) => {
                control = Some(Controller::new(replay_settings(&id, incarnation, &centre)));
            }
            (TraceLine::Event(TimedEvent { at, event }), Some(control)) => {
                replayed.events += 1;
                for effect in control.handle(at, event) {
                    counts.record_effect(&effect);
                }
            }
            (TraceLine::Expect(expect), Some(_)) => {
                check(line, &expect, &counts)?;
                replayed.met += 1;
            }
            _ => return Err(malformed("the first line, and no other, names the daemon".into())),
        }
    }
    for ((what, _), count) in counts.by_model {
        *replayed.counts.entry(what).or_default() += count;
    }
    Ok(replayed)
}

fn replay_settings(id: &str, incarnation: u64, centre: &str) -> ControlSettings {
    ControlSettings {
        id: id.into(),
        incarnation,
        centre: centre.into(),
        append_gap: Duration::from_millis(20),
        keep_warm: KeepWarmPolicy::Learned,
        poll_interval: Duration::from_secs(1),
    }
}

fn check(line: usize, expect: &Expect, counts: &Counts) -> Result<(), ReplayError> {
    let found = counts.get(expect.what, &expect.model);
    if (expect.least..=expect.most).contains(&found) {
        return Ok(());
    }
    let Expect { what, model, least, most } = expect.clone();
    Err(ReplayError::Unmet { line, what, model, least, most, found })
}
