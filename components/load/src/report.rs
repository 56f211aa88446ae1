//! Renders results as tables and lines of JSON.

use std::fmt::Write;

use serde::Serialize;

use crate::experiment::RunResult;

/// Mean and range of a metric over seeds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Spread {
    /// Mean.
    pub mean: f64,
    /// Minimum.
    pub min: f64,
    /// Maximum.
    pub max: f64,
}

impl Spread {
    /// Summarises values; the spread of no values is zero.
    #[must_use]
    pub fn of(values: &[f64]) -> Self {
        if values.is_empty() {
            return Self {
                mean: 0.0,
                min: 0.0,
                max: 0.0,
            };
        }
        Self {
            mean: values.iter().sum::<f64>() / values.len() as f64,
            min: values.iter().copied().fold(f64::INFINITY, f64::min),
            max: values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        }
    }
}

/// Results of one policy in one scenario over all seeds.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the deployment.
    pub deployment: String,
    /// Name of the policy.
    pub contender: String,
    /// Number of seeds.
    pub seeds: usize,
    /// Median ratio of response time to ideal.
    pub ratio_p50: Spread,
    /// 99th percentile of the ratio of response time to ideal.
    pub ratio_p99: Spread,
    /// Maximum ratio of response time to ideal.
    pub ratio_max: Spread,
    /// Work of jobs completed in time, as a share of the capacity.
    pub goodput: Spread,
    /// Jobs refused, in percent.
    pub refused_percent: Spread,
    /// Jobs whose deadline passed, in percent.
    pub late_percent: Spread,
    /// Jobs failed for another reason, in percent.
    pub failed_percent: Spread,
    /// Median retry delay of refusals, in milliseconds.
    pub retry_after_ms: Spread,
    /// Ratio of envelopes to the minimum.
    pub messages_over_least: Spread,
    /// Wasted messages per task.
    pub waste_per_task: Spread,
    /// Jobs lost, tasks started twice and jobs falsely refused, over all seeds.
    pub broken: u64,
}

impl Summary {
    /// Summarises the runs of one policy in one scenario.
    ///
    /// # Panics
    ///
    /// Panics if there are no runs.
    #[must_use]
    pub fn of(runs: &[RunResult]) -> Self {
        let spread = |value: &dyn Fn(&RunResult) -> f64| {
            Spread::of(&runs.iter().map(value).collect::<Vec<_>>())
        };
        let percent =
            |count: u64, run: &RunResult| 100.0 * count as f64 / run.submitted.max(1) as f64;
        let first = runs.first().expect("a summary has runs");
        Self {
            scenario: first.scenario.clone(),
            deployment: first.deployment.clone(),
            contender: first.contender.clone(),
            seeds: runs.len(),
            ratio_p50: spread(&|run| run.ratio_p50),
            ratio_p99: spread(&|run| run.ratio_p99),
            ratio_max: spread(&|run| run.ratio_max),
            goodput: spread(&|run| run.goodput),
            refused_percent: spread(&|run| percent(run.refused, run)),
            late_percent: spread(&|run| percent(run.late, run)),
            failed_percent: spread(&|run| percent(run.failed, run)),
            retry_after_ms: spread(&|run| run.retry_after_p50_ms as f64),
            messages_over_least: spread(&|run| run.messages_over_least),
            waste_per_task: spread(&|run| run.waste_per_task),
            broken: runs
                .iter()
                .map(|run| run.lost + run.doubled + run.falsely_refused)
                .sum(),
        }
    }
}

/// Renders summaries as a Markdown table; each metric is a mean with its range over seeds.
#[must_use]
pub fn table(summaries: &[Summary]) -> String {
    let mut text = String::from(
        "| scenario | deployment | policy | p50 | p99 | max | goodput | refused % | retry after ms \
         | late % | failed % | messages | waste/task | broken |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for summary in summaries {
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {} | {} | {} | {} | {:.0} | {} | {} | {} | {} | {} |",
            summary.scenario,
            summary.deployment,
            summary.contender,
            cell(summary.ratio_p50),
            cell(summary.ratio_p99),
            cell(summary.ratio_max),
            cell(summary.goodput),
            cell(summary.refused_percent),
            summary.retry_after_ms.mean,
            cell(summary.late_percent),
            cell(summary.failed_percent),
            cell(summary.messages_over_least),
            cell(summary.waste_per_task),
            summary.broken,
        );
    }
    text
}

fn cell(spread: Spread) -> String {
    if spread.max - spread.min < 0.005 {
        return format!("{:.2}", spread.mean);
    }
    format!("{:.2} ({:.2}-{:.2})", spread.mean, spread.min, spread.max)
}

/// Renders a result as one line of JSON.
#[must_use]
pub fn json_line(result: &impl Serialize) -> String {
    serde_json::to_string(result).unwrap_or_default()
}

/// Renders one metric of each scenario, with a column for each policy.
///
/// Cells are means with their range over seeds.
#[must_use]
pub fn matrix(title: &str, summaries: &[Summary], figure: fn(&Summary) -> Spread) -> String {
    let mut contenders: Vec<&str> = Vec::new();
    for summary in summaries {
        if !contenders.contains(&summary.contender.as_str()) {
            contenders.push(&summary.contender);
        }
    }
    let mut text = format!("| {title} | {} |\n", contenders.join(" | "));
    let _ = writeln!(text, "|---|{}", "---|".repeat(contenders.len()));
    for row in summaries.chunks(contenders.len().max(1)) {
        let cells: Vec<String> = row.iter().map(|summary| cell(figure(summary))).collect();
        let name = format!("{} {}", row[0].scenario, row[0].deployment);
        let _ = writeln!(text, "| {name} | {} |", cells.join(" | "));
    }
    text
}
