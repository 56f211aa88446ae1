//! The examples in `docs/CONFIGURATION.md` are valid, and its listings match the software.

use config::{AgentSettings, EntrySettings, Published, Snapshot, SourceFile, merge_files};
use operators::render_show;

const PAGE: &str = include_str!("../../../docs/CONFIGURATION.md");

/// Returns the fenced code blocks of a language.
fn blocks(language: &str) -> Vec<&'static str> {
    let open = format!("```{language}\n");
    let block = |rest: &'static str| rest.split("```").next().unwrap_or_default();
    PAGE.split(open.as_str()).skip(1).map(block).collect()
}

/// Returns the TOML blocks as files, named by the comment in their first lines.
fn files() -> Vec<SourceFile> {
    let file = |text: &str| SourceFile {
        name: text.lines().next().unwrap_or_default().replace("# ", ""),
        bytes: text.as_bytes().to_vec(),
    };
    blocks("toml").into_iter().map(file).collect()
}

#[test]
fn example_settings_are_valid() {
    let toml = blocks("toml");
    EntrySettings::from_toml("entry.toml", toml[0]).expect("valid");
    AgentSettings::from_toml("agent.toml", toml[1]).expect("valid");
}

#[test]
fn show_prints_the_example_folder_as_documented() {
    let merged = merge_files(&files()[2..]).expect("valid");
    assert!(merged.warnings.is_empty(), "{:?}", merged.warnings);
    let published = Published::builder(merged)
        .editor("ana")
        .published_unix_ms(1_709_164_800_000)
        .build();
    let snapshot = Snapshot {
        revision: 17,
        learned_unix_ms: 1_709_164_800_000,
        published,
    };
    assert_eq!(render_show(&snapshot, 1_709_164_802_000), blocks("text")[0]);
}

#[test]
fn every_key_of_the_folder_is_documented() {
    let text = "[firms.f]\nrate_tasks_per_s = 1\nburst_tasks = 1\n[firms.f.teams.t]\n\
                quota_tasks = 1\n[groups.g]\nfirms = ['f']";
    let file = SourceFile {
        name: String::from("10.toml"),
        bytes: text.as_bytes().to_vec(),
    };
    let configuration = merge_files(&[file]).expect("valid").configuration;
    for key in configuration.values().into_keys() {
        let key = key
            .replace("firms.f.", "firms.F.")
            .replace("groups.g.", "groups.G.");
        let key = key.replace("teams.t.", "teams.T.");
        assert!(PAGE.contains(&format!("| `{key}` |")), "{key}");
    }
}
