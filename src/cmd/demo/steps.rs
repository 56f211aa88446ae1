//! The steps of the demonstration, which call the system over HTTP as any client does.

use errors::Result;
use operators::{ExpectedRevision, Outcome};
use serde_json::Value;
use web::{Method, Response};

use super::failure;
use super::firm::{FIRMS, Firm, OPERATORS_TOKEN, operators_folder};
use super::system::System;
use crate::answer::JobAnswer;
use crate::cli::print;
use crate::entry_client::EntryClient;
use crate::publication::publish;
use crate::resubmission::submit;
use crate::submission::Submission;

/// Maximum number of new submissions after refusals, while the shards have no owner yet.
const MAX_RETRIES: u32 = 20;

const TASK_COUNT: usize = 4;
const RUN_MS: u64 = 50;
const DEADLINE_MS: u64 = 15_000;

/// Tasks of a job that the firm's 16 slots cannot finish before its deadline.
const INFEASIBLE_TASK_COUNT: usize = 64;
const INFEASIBLE_RUN_MS: u64 = 5_000;
const INFEASIBLE_DEADLINE_MS: u64 = 6_000;

/// Runs every step, prints its result and checks it.
///
/// # Errors
///
/// Fails if a step does not have the expected result.
pub(super) async fn run_steps(system: &System) -> Result<()> {
    print(&addresses(system))?;
    publish_configuration(system).await?;
    system.wait_until_ready().await?;
    for firm in FIRMS {
        let mut submission = job(firm, TASK_COUNT, RUN_MS, DEADLINE_MS)?;
        let first = submit_job(system, firm, &mut submission).await?;
        resubmit_job(system, firm, &mut submission, &first).await?;
    }
    submit_infeasible_job(system, FIRMS[0]).await?;
    print_state(system).await
}

fn addresses(system: &System) -> String {
    let mut text = String::from("== components on loopback\n");
    text.push_str(&format!("platform  {}\n", system.platform.address()));
    for entry in &system.entries {
        let (callers, peers) = (entry.listen_address, entry.peer_address);
        text.push_str(&format!(
            "entry     {callers} for callers, {peers} for processes\n"
        ));
    }
    for host in &system.hosts {
        let (agent, target) = (host.announce_address, host.target.address());
        let firm = host.firm.name;
        text.push_str(&format!(
            "agent     {agent}, with the target {target} of {firm}\n"
        ));
    }
    text
}

async fn publish_configuration(system: &System) -> Result<()> {
    print("\n== publishing the operators' folder demo/config\n")?;
    let merged = config::merge_files(&operators_folder());
    let merged = merged.map_err(|faults| failure(format!("demo/config: {}", faults[0])))?;
    let platform = system.platform_client();
    let outcome = publish(&platform, merged, "demo", ExpectedRevision::Latest).await;
    match outcome {
        Outcome::Published { revision, .. } => {
            print(&format!("revision {revision}\n"))?;
            Ok(())
        }
        outcome => Err(failure(operators::render_outcome(&outcome).text.trim())),
    }
}

fn job(firm: &Firm, task_count: usize, run_ms: u64, deadline_ms: u64) -> Result<Submission> {
    let body = firm.job(task_count, run_ms).to_string();
    let parsed = Submission::parse(body.as_bytes(), runtime::unix_ms(), deadline_ms);
    parsed.map_err(|error| failure(error.to_string()))
}

fn job_id(firm: &Firm) -> String {
    format!("{}-demo-1", firm.group)
}

fn client(system: &System, entry: usize, token: &str) -> Result<EntryClient> {
    EntryClient::new(vec![system.entries[entry].listen_address], Some(token))
}

async fn submit_job(system: &System, firm: &Firm, submission: &mut Submission) -> Result<Response> {
    let (name, group) = (firm.name, firm.group);
    print(&format!(
        "\n== a job of {name} with {TASK_COUNT} tasks on the group {group}\n"
    ))?;
    let client = client(system, 0, firm.token)?;
    let (response, answer) = submit(&client, &job_id(firm), submission, MAX_RETRIES).await?;
    print(&response_text(&response))?;
    expect_complete(&answer)?;
    Ok(response)
}

async fn resubmit_job(
    system: &System,
    firm: &Firm,
    submission: &mut Submission,
    first: &Response,
) -> Result<()> {
    print("\n== the same job again at the other entry: starts no task\n")?;
    let before = system.start_count(firm);
    let client = client(system, 1, firm.token)?;
    let (second, answer) = submit(&client, &job_id(firm), submission, 0).await?;
    let after = system.start_count(firm);
    print(&response_text(&second))?;
    print(&format!("tasks started: {before} before, {after} after\n"))?;
    expect_complete(&answer)?;
    if (before, after) != (TASK_COUNT, TASK_COUNT) {
        return Err(failure(format!("expected {TASK_COUNT} started tasks")));
    }
    if second.body != first.body {
        return Err(failure("the second answer differs from the first"));
    }
    Ok(())
}

async fn submit_infeasible_job(system: &System, firm: &Firm) -> Result<()> {
    let name = firm.name;
    print(&format!(
        "\n== a job of {name} with {INFEASIBLE_TASK_COUNT} tasks of {INFEASIBLE_RUN_MS} ms each, \
         due in {INFEASIBLE_DEADLINE_MS} ms, is refused\n"
    ))?;
    let mut submission = job(
        firm,
        INFEASIBLE_TASK_COUNT,
        INFEASIBLE_RUN_MS,
        INFEASIBLE_DEADLINE_MS,
    )?;
    let before = system.start_count(firm);
    let client = client(system, 0, firm.token)?;
    let (response, answer) = submit(&client, "late-demo-1", &mut submission, 0).await?;
    let after = system.start_count(firm);
    print(&response_text(&response))?;
    print(&format!("tasks started: {before} before, {after} after\n"))?;
    if after != before {
        return Err(failure("tasks of the refused job have started"));
    }
    match answer.retry_after() {
        Some(delay) => {
            print(&format!("retry after {} ms\n", delay.as_millis()))?;
            Ok(())
        }
        None => Err(failure("the refusal has no retry delay")),
    }
}

async fn print_state(system: &System) -> Result<()> {
    print("\n== the state of the first entry\n")?;
    let client = client(system, 0, OPERATORS_TOKEN)?;
    let response = client.request(Method::GET, "/admin/v1/state").await?;
    let state: Value = response
        .parse()
        .map_err(|error| failure(format!("the state is not valid JSON: {error}")))?;
    if response.status != 200 {
        return Err(failure(format!("status {}: {state}", response.status)));
    }
    print(&format!("{state:#}\n"))?;
    Ok(())
}

fn response_text(response: &Response) -> String {
    let mut text = format!("status {}\n", response.status);
    if let Some(retry_after_s) = response.header("retry-after") {
        text.push_str(&format!("Retry-After: {retry_after_s}\n"));
    }
    text.push_str(&String::from_utf8_lossy(&response.body));
    text.push('\n');
    text
}

fn expect_complete(answer: &JobAnswer) -> Result<()> {
    match answer {
        JobAnswer::Complete {} => Ok(()),
        answer => Err(answer
            .error()
            .unwrap_or_else(|| failure("the job has no result yet"))),
    }
}
