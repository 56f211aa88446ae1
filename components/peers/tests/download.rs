//! Transfers configurations in parts that are lost, repeated, reordered or of several revisions.

use peers::{Download, Downloaded, MAX_CONFIGURATION_BYTES, Part, RESUMABLE_PERIOD_MS};
use proptest::prelude::*;

const PART_BYTES: usize = 4;

/// Returns the configuration of a revision.
fn published(revision: u64) -> Vec<u8> {
    let text = format!("configuration {revision} of the operators");
    text.into_bytes()
}

fn part_of(configuration: &[u8], revision: u64, offset_bytes: usize) -> Part<'_> {
    let end_bytes = (offset_bytes + PART_BYTES).min(configuration.len());
    Part {
        revision,
        total_bytes: configuration.len(),
        offset_bytes,
        content: &configuration[offset_bytes.min(end_bytes)..end_bytes],
    }
}

/// Adds the parts from `offset_bytes` on until the configuration is complete.
fn add_from(download: &mut Download, revision: u64, offset_bytes: usize) -> Option<Downloaded> {
    let configuration = published(revision);
    let mut offsets = (offset_bytes..configuration.len()).step_by(PART_BYTES);
    offsets.find_map(|offset| download.add(0, part_of(&configuration, revision, offset)))
}

#[test]
fn transfer_goes_on_with_another_peer_where_the_first_one_failed() {
    let mut download = Download::default();
    let configuration = published(7);
    assert_eq!(download.add(0, part_of(&configuration, 7, 0)), None);
    assert!(download.start(0, 7));
    assert!(!download.start(0, 7), "only one peer is asked at a time");
    assert_eq!(
        download.add(0, part_of(&configuration, 7, PART_BYTES)),
        None
    );
    download.stop();
    assert!(!download.start(0, 6), "the peer has another revision");
    assert!(download.start(0, 7));
    let next = download.next_part(0).expect("an incomplete transfer");
    assert_eq!((next.revision, next.offset_bytes), (7, 2 * PART_BYTES));
    let downloaded = add_from(&mut download, 7, next.offset_bytes);
    assert_eq!(downloaded.expect("complete").published, configuration);
    assert_eq!(download.next_part(0), None);
}

#[test]
fn newer_revision_replaces_an_incomplete_one_and_an_older_one_does_not() {
    let mut download = Download::default();
    download.add(0, part_of(&published(7), 7, 0));
    download.add(0, part_of(&published(6), 6, 0));
    assert_eq!(download.revision(0), 7);
    download.add(0, part_of(&published(9), 9, 0));
    assert_eq!(download.revision(0), 9);
    download.discard_up_to(8);
    assert_eq!(download.revision(0), 9);
    download.discard_up_to(9);
    assert_eq!(download.revision(0), 0);
}

#[test]
fn incomplete_transfer_does_not_keep_an_older_revision_away_for_long() {
    let mut download = Download::default();
    download.add(0, part_of(&published(7), 7, 0));
    assert_eq!(download.revision(RESUMABLE_PERIOD_MS - 1), 7);
    assert_eq!(download.revision(RESUMABLE_PERIOD_MS), 0);
    let configuration = published(6);
    download.add(RESUMABLE_PERIOD_MS, part_of(&configuration, 6, 0));
    assert_eq!(download.revision(RESUMABLE_PERIOD_MS), 6);
}

#[test]
fn configuration_that_is_too_large_is_ignored() {
    let mut download = Download::default();
    let part = Part {
        revision: 7,
        total_bytes: MAX_CONFIGURATION_BYTES + 1,
        offset_bytes: 0,
        content: b"routes",
    };
    assert_eq!(download.add(0, part), None);
    assert_eq!(download.next_part(0), None);
}

proptest! {
    #[test]
    fn result_is_a_whole_configuration_whatever_parts_arrive(
        parts in prop::collection::vec((1_u64..4, 0_usize..12), 0..80),
    ) {
        let mut download = Download::default();
        for (revision, index) in parts {
            let configuration = published(revision);
            let offset_bytes = (index * PART_BYTES).min(configuration.len());
            let part = part_of(&configuration, revision, offset_bytes);
            if let Some(downloaded) = download.add(0, part) {
                prop_assert_eq!(downloaded.published, published(downloaded.revision));
            }
        }
        // Whatever is missing, a peer that has everything completes the transfer.
        if let Some(next) = download.next_part(0) {
            let downloaded = add_from(&mut download, next.revision, next.offset_bytes);
            prop_assert_eq!(downloaded.expect("complete").published, published(next.revision));
        }
    }
}
