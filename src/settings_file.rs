//! Reloads a settings file that changes while its process runs.

use std::path::PathBuf;
use std::time::Duration;

use config::SettingsError;
use runtime::{SIGNAL_POLL_MS, Signals};

/// Number of signal polls per check of the file, so that it is checked every second.
const POLLS_PER_FILE_CHECK: u64 = 1_000 / SIGNAL_POLL_MS;

/// A settings file, with the text and settings last read from it.
pub(crate) struct SettingsFile<T> {
    path: PathBuf,
    text: String,
    settings: T,
    parse: fn(&str, &str) -> Result<T, SettingsError>,
}

impl<T: PartialEq> SettingsFile<T> {
    /// Reads and parses a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or parsed; the error lists every invalid setting.
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

    /// Returns the settings last read.
    pub(crate) fn settings(&self) -> &T {
        &self.settings
    }

    /// Reloads the file on the reload signal and whenever its text has changed; never returns.
    ///
    /// `apply` puts the settings into force and returns the names of those that take effect only
    /// at the next start. A file that cannot be read or parsed leaves the settings unchanged.
    pub(crate) async fn watch(
        mut self,
        part: &'static str,
        signals: Signals,
        apply: impl Fn(&T) -> Vec<&'static str>,
    ) {
        let mut polls = 0;
        loop {
            monoio::time::sleep(Duration::from_millis(SIGNAL_POLL_MS)).await;
            polls += 1;
            let is_requested = signals.take_reload_request();
            if is_requested || polls % POLLS_PER_FILE_CHECK == 0 {
                self.reload(part, is_requested, &apply);
            }
        }
    }

    fn reload(&mut self, part: &str, is_requested: bool, apply: &impl Fn(&T) -> Vec<&'static str>) {
        match self.read_changes(is_requested) {
            Ok(false) if !is_requested => {}
            Ok(false) => {
                log::info!(target: "settings", event = "reload", part = part, is_changed = false;
                    "settings reloaded; no change");
            }
            Ok(true) => {
                let deferred = apply(&self.settings).join(",");
                log::info!(target: "settings", event = "reload", part = part, is_changed = true,
                    at_next_start = deferred.as_str(); "settings reloaded; changes are in force");
            }
            Err(error) => {
                log::error!(target: "settings", event = "reload_failed", part = part,
                    reason = error.to_string();
                    "settings file cannot be loaded; keeping the current settings");
            }
        }
    }

    /// Reads the file again; returns whether the settings have changed.
    ///
    /// An invalid text is reported once, and again at each reload signal.
    fn read_changes(&mut self, is_requested: bool) -> Result<bool, SettingsError> {
        let text = config::read_settings(&self.path)?;
        if text == self.text && !is_requested {
            return Ok(false);
        }
        self.text = text;
        let settings = (self.parse)(&self.path.display().to_string(), &self.text)?;
        let is_changed = settings != self.settings;
        self.settings = settings;
        Ok(is_changed)
    }
}
