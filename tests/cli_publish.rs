//! Tests of the commands `check`, `publish` and `show`.

mod cli_support;

use cli_support::{Finished, PlatformProcess, SHALLOTCROSS, command, folder, run, text};
use tempfile::TempDir;

const BASE: &str = r#"
[operators]
tokens = ["operators-0123456789"]

[firms.vembanad]
tokens = ["vembanad-0123456789"]

[groups.escort]
firms = ["vembanad"]
"#;

fn folder_with_weight(weight: u32) -> TempDir {
    let override_text = format!("[firms.vembanad]\nweight = {weight}\n");
    folder(&[("10-base.toml", BASE), ("20-weight.toml", &override_text)])
}

fn publish(dir: &TempDir, platform: &PlatformProcess, more: &[&str]) -> Finished {
    let address = platform.address.to_string();
    let mut args = vec!["publish", text(dir.path()), "--platform", &address];
    args.extend(more);
    run(&args)
}

fn show(platform: &PlatformProcess) -> Finished {
    run(&["show", "--platform", &platform.address.to_string()])
}

#[test]
fn check_accepts_the_demo_folder() {
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/demo/config");
    let ran = run(&["check", dir]).expect_code(0);
    assert_eq!(ran.stdout, "0 errors, 0 warnings\n");
}

#[test]
fn check_reports_file_and_key_of_every_error() {
    let dir = folder(&[
        ("10-base.toml", BASE),
        ("20-wrong.toml", "[firms.vembanad]\nweight = 0\nquota = 5\n"),
        (
            "30-group.toml",
            "[groups.agenda]\nfirms = [\"consorcio\"]\n",
        ),
    ]);
    let ran = run(&["check", text(dir.path())])
        .expect_code(4)
        .expect_stderr("20-wrong.toml: firms.vembanad.weight")
        .expect_stderr("20-wrong.toml: firms.vembanad.quota")
        .expect_stderr("30-group.toml: groups.agenda.firms");
    assert!(!ran.stderr.contains("0123456789"), "{ran:?}");
}

#[test]
fn check_warns_about_unknown_keys() {
    let dir = folder(&[
        ("10-base.toml", BASE),
        ("20-x.toml", "[limits]\nmax_taks = 1\n"),
    ]);
    run(&["check", text(dir.path())])
        .expect_code(0)
        .expect_stdout("warning: 20-x.toml: limits.max_taks");
}

#[test]
fn check_of_a_missing_folder_is_an_error() {
    run(&["check", "/nonexistent"])
        .expect_code(4)
        .expect_stderr("/nonexistent");
}

#[test]
fn published_values_are_shown_with_their_files() {
    let platform = PlatformProcess::start();
    publish(&folder_with_weight(3), &platform, &["--editor", "jose"])
        .expect_code(0)
        .expect_stdout("published revision ");
    let shown = show(&platform)
        .expect_code(0)
        .expect_stdout("published by jose")
        .expect_stdout("firms.vembanad.weight = 3  (20-weight.toml)")
        .expect_stdout("firms.vembanad.quota_tasks = 10000  (default)")
        .expect_stdout("operators.tokens = [(token, 20 characters)]  (10-base.toml)");
    assert!(!shown.stdout.contains("0123456789"), "{shown:?}");
}

#[test]
fn publishing_the_same_folder_again_changes_nothing() {
    let platform = PlatformProcess::start();
    publish(&folder_with_weight(3), &platform, &[]).expect_code(0);
    publish(&folder_with_weight(3), &platform, &[])
        .expect_code(0)
        .expect_stdout("unchanged, revision ");
}

#[test]
fn show_without_a_configuration_suggests_publish() {
    let platform = PlatformProcess::start();
    show(&platform)
        .expect_code(1)
        .expect_stderr("no configuration is published")
        .expect_stderr("shallotcross publish");
}

#[test]
fn invalid_folder_is_not_published() {
    let platform = PlatformProcess::start();
    publish(&folder_with_weight(0), &platform, &[])
        .expect_code(4)
        .expect_stderr("firms.vembanad.weight")
        .expect_stderr("not published");
    show(&platform).expect_code(1);
}

#[test]
fn publish_without_an_editor_is_a_usage_error() {
    let dir = folder_with_weight(1);
    let args = ["publish", text(dir.path()), "--platform", "127.0.0.1:1"];
    let output = command(SHALLOTCROSS, &args).env_remove("USER").output();
    let ran: Finished = output.expect("the program starts").into();
    ran.expect_code(2).expect_stderr("--editor");
}

#[test]
fn unreachable_platform_is_reported_as_unavailable() {
    let dir = folder_with_weight(1);
    run(&["publish", text(dir.path()), "--platform", "127.0.0.1:1"])
        .expect_code(5)
        .expect_stderr("not published: the platform cannot be read");
}

#[test]
fn stale_base_is_a_conflict_that_names_the_other_edit() {
    let platform = PlatformProcess::start();
    publish(&folder_with_weight(3), &platform, &["--editor", "jose"]).expect_code(0);
    publish(
        &folder_with_weight(4),
        &platform,
        &["--base", "0", "--editor", "ana"],
    )
    .expect_code(3)
    .expect_stderr("published by jose")
    .expect_stderr("firms.vembanad.weight");
    show(&platform).expect_stdout("firms.vembanad.weight = 3");
}

#[test]
fn folder_that_undoes_the_last_edit_of_another_is_refused() {
    let platform = PlatformProcess::start();
    publish(&folder_with_weight(3), &platform, &["--editor", "ana"]).expect_code(0);
    publish(&folder_with_weight(4), &platform, &["--editor", "jose"]).expect_code(0);
    publish(&folder_with_weight(3), &platform, &["--editor", "ana"])
        .expect_code(3)
        .expect_stderr("firms.vembanad.weight, changed by jose");
}

#[test]
fn of_two_racing_publishers_one_gets_a_conflict() {
    let platform = PlatformProcess::start();
    let address = platform.address.to_string();
    let folders = [folder_with_weight(3), folder_with_weight(4)];
    let children = folders.each_ref().map(|dir| {
        let dir = text(dir.path());
        let args = ["publish", dir, "--platform", &address, "--base", "0"];
        let mut command = command(SHALLOTCROSS, &args);
        command.stdout(std::process::Stdio::piped());
        command.stderr(std::process::Stdio::piped());
        command.spawn().expect("the program starts")
    });
    let ran = children.map(|child| Finished::from(child.wait_with_output().expect("it ends")));
    let mut codes = ran.each_ref().map(|ran| ran.code);
    codes.sort_unstable();
    assert_eq!(codes, [0, 3], "{ran:?}");
    let loser = ran.into_iter().find(|ran| ran.code == 3);
    loser
        .expect("one lost")
        .expect_stderr("take the other edit into the folder and publish again");
}
