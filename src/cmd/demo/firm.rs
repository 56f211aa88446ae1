//! The firms of the demonstration, as `demo/config` declares them.

use config::SourceFile;
use serde_json::{Value, json};

/// Bearer token of the operators.
pub(super) const OPERATORS_TOKEN: &str = "operators-demo-token";

/// A firm with its targets.
#[derive(Debug)]
pub(super) struct Firm {
    pub(super) name: &'static str,
    /// Bearer token of its callers.
    pub(super) token: &'static str,
    /// Group of its targets.
    pub(super) group: &'static str,
    /// Kind of its tasks.
    pub(super) kind: &'static str,
    /// Failure domains of its hosts, with one target in each.
    pub(super) failure_domains: [&'static str; 2],
}

/// The firms of the demonstration.
pub(super) const FIRMS: [&Firm; 2] = [&VEMBANAD, &CONSORCIO];

const VEMBANAD: Firm = Firm {
    name: "vembanad",
    token: "vembanad-demo-token",
    group: "escort",
    kind: "lane-check",
    failure_domains: ["kerala-1", "kerala-2"],
};

const CONSORCIO: Firm = Firm {
    name: "consorcio",
    token: "consorcio-demo-token",
    group: "agenda",
    kind: "availability",
    failure_domains: ["guatemala-1", "guatemala-2"],
};

/// Returns the files of the operators' folder `demo/config`, embedded in the binary.
pub(super) fn operators_folder() -> Vec<SourceFile> {
    let base = include_str!("../../../demo/config/10-base.toml");
    let consorcio = include_str!("../../../demo/config/20-consorcio.toml");
    [("10-base.toml", base), ("20-consorcio.toml", consorcio)]
        .map(|(name, text)| SourceFile {
            name: name.to_owned(),
            bytes: text.as_bytes().to_vec(),
        })
        .into()
}

impl Firm {
    /// Returns the body of a job with tasks of equal run time, without its submission time and
    /// deadline.
    pub(super) fn job(&self, task_count: usize, run_ms: u64) -> Value {
        let tasks: Vec<Value> = (0..task_count)
            .map(|position| self.task(position, run_ms))
            .collect();
        json!({ "group": self.group, "repeatable": false, "tasks": tasks })
    }

    fn task(&self, position: usize, run_ms: u64) -> Value {
        json!({
            "kind": self.kind,
            "declared_ms": run_ms,
            "payload": { "run_ms": run_ms, "position": position },
        })
    }
}
