//! Timeouts.

use std::time::Duration;

use smol::future::FutureExt;

/// Awaits a future for at most `limit`; returns `None` on timeout.
pub async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let timeout = async {
        smol::Timer::after(limit).await;
        None
    };
    async { Some(future.await) }.or(timeout).await
}
