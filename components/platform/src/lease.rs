//! Calls that grant, renew and revoke leases.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::client::Platform;
use crate::error::PlatformError;
use crate::transport::OperationKind;
use crate::wire::{LeaseRequest, LeaseResponse, StreamMessage};

impl Platform {
    /// Grants a lease for at least `ttl_ms` and returns its ID.
    ///
    /// The API takes seconds; the time is rounded up.
    ///
    /// # Errors
    ///
    /// Fails with [`PlatformError::Unknown`] if a lease may have been granted but its ID was not
    /// received; such a lease expires on its own.
    pub async fn lease_grant(&self, ttl_ms: u64) -> Result<u64, PlatformError> {
        let request = LeaseRequest {
            id: 0,
            ttl_s: ttl_ms.div_ceil(1_000).max(1),
        };
        let response: LeaseResponse = self.lease_call("/v3/lease/grant", &request).await?;
        match response.id {
            0 => Err(PlatformError::Unknown(
                "response has no lease ID".to_owned(),
            )),
            id => Ok(id),
        }
    }

    /// Renews a lease and returns its remaining time, in milliseconds.
    ///
    /// # Errors
    ///
    /// Fails with [`PlatformError::LeaseNotFound`] if the lease has expired, and with
    /// [`PlatformError::Unknown`] if it may have been renewed.
    pub async fn keep_alive(&self, lease: u64) -> Result<u64, PlatformError> {
        let request = lease_request(lease);
        let response: StreamMessage<LeaseResponse> =
            self.lease_call("/v3/lease/keepalive", &request).await?;
        match response.result.ttl_s {
            0 => Err(PlatformError::LeaseNotFound),
            ttl_s => Ok(ttl_s * 1_000),
        }
    }

    /// Revokes a lease and deletes the keys attached to it.
    ///
    /// # Errors
    ///
    /// Fails with [`PlatformError::LeaseNotFound`] if the lease has expired, and with
    /// [`PlatformError::Unknown`] if it may have been revoked.
    pub async fn revoke(&self, lease: u64) -> Result<(), PlatformError> {
        let request = lease_request(lease);
        let _: LeaseResponse = self.lease_call("/v3/lease/revoke", &request).await?;
        Ok(())
    }

    async fn lease_call<T: DeserializeOwned>(
        &self,
        path: &str,
        request: &impl Serialize,
    ) -> Result<T, PlatformError> {
        let counter = &self.counters().lease_calls;
        self.transport
            .call(OperationKind::Write, counter, path, request)
            .await
    }
}

fn lease_request(lease: u64) -> LeaseRequest {
    LeaseRequest {
        id: lease,
        ttl_s: 0,
    }
}
