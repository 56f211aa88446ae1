//! Histories: the recorded events of a run.

use std::io::{self, BufRead, Write};

use serde::{Deserialize, Serialize};

use crate::event::EventKind;

/// One recorded event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Position in the history, from zero.
    pub sequence: u64,
    /// Time of the event on the history's clock.
    pub at_us: u64,
    /// Kind of the event, with its data.
    pub kind: EventKind,
}

/// Events of one run in the order of their times.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct History {
    events: Vec<Event>,
}

impl History {
    /// Creates an empty history.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends an event and returns its sequence number.
    ///
    /// # Panics
    ///
    /// Panics if `at_us` lies before the previous event.
    pub fn record(&mut self, at_us: u64, kind: EventKind) -> u64 {
        assert!(
            at_us >= self.end_us(),
            "events are recorded in order of time"
        );
        let sequence = self.events.len() as u64;
        self.events.push(Event {
            sequence,
            at_us,
            kind,
        });
        sequence
    }

    /// Returns the events in order.
    #[must_use]
    pub fn events(&self) -> &[Event] {
        &self.events
    }

    /// Returns the time of the last event, or zero.
    #[must_use]
    pub fn end_us(&self) -> u64 {
        self.events.last().map_or(0, |event| event.at_us)
    }

    /// Writes the events as JSON lines.
    ///
    /// # Errors
    ///
    /// Returns an error if `writer` fails.
    pub fn write_json_lines(&self, mut writer: impl Write) -> io::Result<()> {
        for event in &self.events {
            serde_json::to_writer(&mut writer, event)?;
            writer.write_all(b"\n")?;
        }
        Ok(())
    }

    /// Reads events as written by [`Self::write_json_lines`].
    ///
    /// # Errors
    ///
    /// Returns an error if `reader` fails, a line is not an event, or the events are not in order.
    pub fn read_json_lines(reader: impl BufRead) -> io::Result<Self> {
        let mut history = Self::new();
        for line in reader.lines() {
            let event: Event = serde_json::from_str(&line?)?;
            let position = history.events.len() as u64;
            if event.sequence != position || event.at_us < history.end_us() {
                return Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    "events are out of order",
                ));
            }
            history.events.push(event);
        }
        Ok(history)
    }
}
