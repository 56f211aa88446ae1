//! A settings file that may change while its process runs.

use std::path::PathBuf;
use std::time::Duration;

use config::SettingsError;
use runtime::{SIGNAL_POLL_MS, Signals};

/// Looks at the file without a signal, each so many looks for signals: every second.
const LOOKS_PER_READING: u64 = 1_000 / SIGNAL_POLL_MS;

/// A settings file and the settings that were read last.
pub(crate) struct SettingsFile<T> {
    path: PathBuf,
    text: String,
    settings: T,
    parse: fn(&str, &str) -> Result<T, SettingsError>,
}

impl<T: PartialEq> SettingsFile<T> {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// Returns every fault in the file.
    pub(crate) fn read(
        path: PathBuf,
        parse: fn(&str, &str) -> Result<T, SettingsError>,
    ) -> Result<Self, SettingsError> {
        let text = config::read_settings(&path)?;
        let settings = parse(&path.display().to_string(), &text)?;
        Ok(Self {
            path,
            text,
            settings,
            parse,
        })
    }

    /// Returns the settings that were read last.
    pub(crate) fn settings(&self) -> &T {
        &self.settings
    }

    /// Reads the file again when a signal asks for it and when it has changed; never returns.
    ///
    /// A file that cannot be read leaves everything as it is.
    pub(crate) async fn follow(
        mut self,
        part: &'static str,
        signals: Signals,
        apply_reloadable: impl Fn(&T) -> Vec<&'static str>,
    ) {
        let mut looks = 0;
        loop {
            monoio::time::sleep(Duration::from_millis(SIGNAL_POLL_MS)).await;
            looks += 1;
            let is_asked = signals.take_reload_request();
            if is_asked || looks % LOOKS_PER_READING == 0 {
                self.look(part, is_asked, &apply_reloadable);
            }
        }
    }

    fn look(
        &mut self,
        part: &str,
        is_asked: bool,
        apply_reloadable: &impl Fn(&T) -> Vec<&'static str>,
    ) {
        match self.reread(is_asked) {
            Ok(false) if !is_asked => {}
            Ok(false) => {
                log::info!(target: "settings", event = "reload", part = part, is_changed = false;
                    "settings read again");
            }
            Ok(true) => {
                let held_back = apply_reloadable(&self.settings).join(",");
                log::info!(target: "settings", event = "reload", part = part, is_changed = true,
                    at_next_start = held_back.as_str(); "changed settings are in force");
            }
            Err(error) => {
                log::error!(target: "settings", event = "reload_failed", part = part,
                    reason = error.to_string(); "the settings stay as they are");
            }
        }
    }

    /// Reads the file again; tells whether the settings have changed.
    ///
    /// A faulty text is complained of once, and each time that somebody asks.
    fn reread(&mut self, is_asked: bool) -> Result<bool, SettingsError> {
        let text = config::read_settings(&self.path)?;
        if text == self.text && !is_asked {
            return Ok(false);
        }
        self.text = text;
        let settings = (self.parse)(&self.path.display().to_string(), &self.text)?;
        let is_changed = settings != self.settings;
        self.settings = settings;
        Ok(is_changed)
    }
}
