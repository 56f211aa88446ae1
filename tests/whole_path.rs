//! Runs jobs through the whole system as processes: two entries, and four agents with targets of
//! two firms.

mod support;

use serde_json::Value;
use support::{CONSORCIO, Firm, System, VEMBANAD, call, job, submit, with_token};
use web::{Method, Request};

async fn start() -> System {
    let system = System::start(2, 2);
    for firm in [VEMBANAD, CONSORCIO] {
        system.wait_until_served(firm, 2).await;
    }
    system
}

fn indexes(body: &Value) -> Vec<u64> {
    body["results"]
        .as_array()
        .expect("there are results")
        .iter()
        .map(|result| result["index"].as_u64().expect("the payload comes back"))
        .collect()
}

async fn check_job(system: &System, entry: usize, firm: Firm, id: &str) {
    let job = job(firm, &[10, 30, 5, 20, 10, 1], 20_000);
    let answer = submit(system.entries[entry].callers_address, firm, id, &job).await;
    let (status, body, _) = answer.expect("the entry answers");
    assert_eq!(status, 200, "{body}");
    assert_eq!(body["state"], "complete");
    assert_eq!(indexes(&body), [0, 1, 2, 3, 4, 5]);
}

#[test]
fn jobs_of_both_firms_are_answered_through_every_entry() {
    let run = runtime::run(async {
        let system = start().await;
        for entry in 0..2 {
            for firm in [VEMBANAD, CONSORCIO] {
                check_job(&system, entry, firm, &format!("job-{entry}")).await;
            }
        }
        for firm in [VEMBANAD, CONSORCIO] {
            let (starts, duplicates) = system.starts(firm).await;
            assert_eq!(starts.len(), 12);
            assert_eq!(duplicates, Vec::<Value>::new());
        }
    });
    run.expect("the runtime starts");
}

#[test]
fn resubmission_starts_no_task_and_gets_the_same_answer() {
    let run = runtime::run(async {
        let system = start().await;
        let job = job(VEMBANAD, &[5, 5, 5], 20_000);
        let mut answers = Vec::new();
        for entry in [0, 1, 0, 1] {
            let address = system.entries[entry].callers_address;
            let answer = submit(address, VEMBANAD, "plan-1", &job).await;
            answers.push(answer.expect("the entry answers").1);
        }
        assert!(answers.windows(2).all(|pair| pair[0] == pair[1]));
        assert_eq!(answers[0]["state"], "complete");
        assert_eq!(system.starts(VEMBANAD).await.0.len(), 3);
    });
    run.expect("the runtime starts");
}

#[test]
fn different_body_under_a_used_id_is_a_conflict() {
    let run = runtime::run(async {
        let system = start().await;
        let first = job(VEMBANAD, &[5], 20_000);
        let address = system.entries[0].callers_address;
        submit(address, VEMBANAD, "plan-1", &first).await;
        let second = job(VEMBANAD, &[6], 20_000);
        let answer = submit(address, VEMBANAD, "plan-1", &second).await;
        let (status, body, _) = answer.expect("the entry answers");
        assert_eq!(status, 409, "{body}");
        assert_eq!(body["reason"], "conflict");
        // The same id of another firm is another job.
        check_job(&system, 0, CONSORCIO, "plan-1").await;
    });
    run.expect("the runtime starts");
}

#[test]
fn refused_job_starts_no_task_and_has_a_retry_delay() {
    let run = runtime::run(async {
        let system = start().await;
        let job = job(VEMBANAD, &[5_000; 64], 6_000);
        let answer = submit(system.entries[0].callers_address, VEMBANAD, "plan-1", &job).await;
        let (status, body, response) = answer.expect("the entry answers");
        assert_eq!(status, 503, "{body}");
        assert_eq!(body["kind"], "not_run");
        assert_eq!(body["reason"], "overloaded");
        assert!(body["retry_after_ms"].as_u64() > Some(0));
        assert!(response.header("retry-after").is_some());
        assert_eq!(system.starts(VEMBANAD).await.0.len(), 0);
    });
    run.expect("the runtime starts");
}

#[test]
fn firms_cannot_see_each_others_jobs() {
    let run = runtime::run(async {
        let system = start().await;
        check_job(&system, 0, VEMBANAD, "secret-convoy").await;
        let address = system.entries[0].callers_address;
        for path in ["/v1/state", "/v1/jobs", "/v1/jobs/secret-convoy"] {
            let request = Request::new(Method::GET, path);
            let response = call(address, &with_token(request, CONSORCIO.token)).await;
            let response = response.expect("the entry answers");
            let text = String::from_utf8_lossy(&response.body).into_owned();
            let key = model::FirmKey::from_name(VEMBANAD.name).to_string();
            assert!(!text.contains("secret-convoy"), "{path}: {text}");
            assert!(!text.contains(&key), "{path}: {text}");
        }
        for path in ["/admin/v1/state", "/metrics", "/admin/v1/config"] {
            let request = Request::new(Method::GET, path);
            let response = call(address, &with_token(request, CONSORCIO.token)).await;
            assert_eq!(response.expect("the entry answers").status, 401, "{path}");
        }
    });
    run.expect("the runtime starts");
}

#[test]
fn every_process_has_one_thread_and_no_io_uring() {
    let run = runtime::run(async {
        let system = start().await;
        check_job(&system, 0, VEMBANAD, "job").await;
        let entries = system.entries.iter().map(|entry| &entry.process);
        let agents = system.hosts.iter().map(|host| &host.agent);
        for process in entries.chain(agents) {
            assert_eq!(process.thread_count(), 1);
            let files = process.open_files();
            assert!(
                !files.iter().any(|file| file.contains("io_uring")),
                "{files:?}"
            );
        }
    });
    run.expect("the runtime starts");
}

#[test]
fn teams_have_separate_ids_and_quotas() {
    let team = Firm {
        name: "vembanad/bridge",
        token: "vembanad-bridge-0001",
        ..VEMBANAD
    };
    let run = runtime::run(async {
        let system = start().await;
        system.publish(
            "20-teams.toml",
            "[firms.vembanad.teams.bridge]\ntokens = [\"vembanad-bridge-0001\"]\nquota_tasks = 1\n",
        );
        system.wait_until_served(team, 2).await;
        check_job(&system, 0, team, "plan-1").await;
        check_job(&system, 1, VEMBANAD, "plan-1").await;
        let (starts, duplicates) = system.starts(VEMBANAD).await;
        assert_eq!(starts.len(), 12);
        assert_eq!(duplicates, Vec::<Value>::new());
        let firms: Vec<&str> = starts
            .iter()
            .map(|start| start["firm"].as_str().expect("each start has a firm"))
            .collect();
        assert_eq!(firms.iter().filter(|firm| **firm == "vembanad").count(), 6);
        assert_eq!(
            firms
                .iter()
                .filter(|firm| **firm == "vembanad/bridge")
                .count(),
            6
        );
    });
    run.expect("the runtime starts");
}
