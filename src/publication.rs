//! Publishes a configuration to the platform, and reads the published one.

use std::time::Duration;

use bytes::Bytes;
use config::{CONFIG_KEY, MergedFolder, Publication};
use errors::{Error, ExitCode, Result};
use operators::{Action, Event, ExpectedRevision, Outcome, Publisher, StoredValue};
use platform::{PlatformClient, PlatformError, SwapResult, VersionedValue};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Timeout of one call to the platform.
pub(crate) const CALL_TIMEOUT_MS: u64 = 3_000;

/// Delay before the retry of a failed call.
const RETRY_DELAY_MS: u64 = 250;

/// Publishes a merged folder and returns the outcome; retries calls that failed.
pub(crate) async fn publish(
    platform: &PlatformClient,
    merged: MergedFolder,
    editor: &str,
    expected: ExpectedRevision,
) -> Outcome {
    let publication = Publication::builder(merged)
        .publication_id(random_id())
        .editor(editor)
        .published_unix_ms(runtime::unix_ms())
        .build();
    let mut publisher = Publisher::new(publication, expected);
    let mut action = publisher.start();
    loop {
        let event = match action {
            Action::Finish(outcome) => return outcome,
            Action::Read => read(platform).await,
            Action::CompareAndSwap {
                expected_revision,
                value,
            } => compare_and_swap(platform, expected_revision, value).await,
        };
        if matches!(event, Event::ReadFailed(_) | Event::SwapUnknown(_)) {
            monoio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
        }
        action = publisher.handle(event);
    }
}

/// Reads the published configuration with its revision.
///
/// # Errors
///
/// Fails if the platform does not respond, or has no configuration or one that cannot be decoded.
pub(crate) async fn read_published(platform: &PlatformClient) -> Result<(u64, Publication)> {
    let read = platform.get(CONFIG_KEY).await.map_err(unavailable)?;
    let stored = read.ok_or_else(|| {
        Error::new(ExitCode::Failure, "no configuration is published")
            .with_remedy("publish the operators' folder with `shallotcross publish`")
    })?;
    let invalid =
        |error: config::PublicationError| Error::new(ExitCode::Invalid, error.to_string());
    let publication = Publication::decode(&stored.value).map_err(invalid)?;
    Ok((stored.mod_revision, publication))
}

/// Returns a random 128-bit id in hexadecimal.
pub(crate) fn random_id() -> String {
    let number: u128 = StdRng::from_os_rng().random();
    format!("{number:032x}")
}

async fn read(platform: &PlatformClient) -> Event {
    match platform.get(CONFIG_KEY).await {
        Ok(read) => Event::Read(read.as_ref().map(stored)),
        Err(error) => Event::ReadFailed(error.to_string()),
    }
}

async fn compare_and_swap(
    platform: &PlatformClient,
    expected_revision: u64,
    value: String,
) -> Event {
    let result = platform
        .compare_and_swap(CONFIG_KEY, expected_revision, Bytes::from(value), None)
        .await;
    match result {
        Ok(SwapResult::Done { revision }) => Event::Swapped(revision),
        Ok(SwapResult::Conflict { .. }) => Event::SwapRefused,
        Err(error) => Event::SwapUnknown(error.to_string()),
    }
}

fn stored(versioned: &VersionedValue) -> StoredValue {
    StoredValue {
        revision: versioned.mod_revision,
        value: versioned.value.to_vec(),
    }
}

#[expect(clippy::needless_pass_by_value, reason = "for use with map_err")]
fn unavailable(error: PlatformError) -> Error {
    let message = format!("the platform cannot be read: {error}");
    Error::new(ExitCode::Unavailable, message)
        .with_remedy("check the address and that the platform is running, and try again")
}
