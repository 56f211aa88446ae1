//! Limits on what callers may send.

use adapter::CallerLimits;
use config::GatewayLimits;
use web::ServerLimits;

/// Returns the limits on callers: those of the process's settings, or those of the operators'
/// configuration where they are tighter.
pub(crate) fn caller_limits(
    settings_limits: &GatewayLimits,
    operator_limits: Option<&CallerLimits>,
) -> ServerLimits {
    let from_settings = ServerLimits::builder()
        .max_connections(settings_limits.max_connections as usize)
        .max_body_bytes(settings_limits.max_body_bytes as usize)
        .max_header_bytes(settings_limits.max_header_bytes as usize)
        .header_timeout_ms(settings_limits.read_timeout_ms)
        .read_timeout_ms(settings_limits.read_timeout_ms)
        .idle_timeout_ms(settings_limits.idle_timeout_ms)
        .cancels_on_disconnect(true)
        .build();
    let Some(operators) = operator_limits else {
        return from_settings;
    };
    ServerLimits {
        max_body_bytes: from_settings.max_body_bytes.min(operators.max_body_bytes),
        max_header_bytes: from_settings
            .max_header_bytes
            .min(operators.max_header_bytes),
        header_timeout_ms: from_settings
            .header_timeout_ms
            .min(operators.header_timeout_ms),
        idle_timeout_ms: from_settings.idle_timeout_ms.min(operators.idle_timeout_ms),
        ..from_settings
    }
}
