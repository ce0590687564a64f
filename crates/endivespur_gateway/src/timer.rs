//! Waiting with a bound.

use std::time::Duration;

use smol::future::FutureExt;

/// Awaits a future, but no longer than `limit`.
pub async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let late = async {
        smol::Timer::after(limit).await;
        None
    };
    async { Some(future.await) }.or(late).await
}
