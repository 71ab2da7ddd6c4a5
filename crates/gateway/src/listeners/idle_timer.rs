//! Timer that ends idle connections by the newest idle timeout, also on connections that were
//! accepted under an earlier one.

use hyper::rt::{Sleep, Timer};
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Timer for hyper's timeout of heads. hyper adds the timeout that the connection was built with to
/// the current time; this timer uses the newest one instead.
#[derive(Clone, Debug)]
pub(super) struct IdleTimer {
    idle_timeout: watch::Receiver<Duration>,
}

impl IdleTimer {
    /// Creates a timer that follows `idle_timeout`.
    pub(super) fn new(idle_timeout: watch::Receiver<Duration>) -> Self {
        Self { idle_timeout }
    }

    fn start(&self) -> IdleSleep {
        let started_at = tokio::time::Instant::now();
        let due_at = started_at + *self.idle_timeout.borrow();
        IdleSleep {
            started_at,
            idle_timeout: self.idle_timeout.clone(),
            sleep: Box::pin(tokio::time::sleep_until(due_at)),
        }
    }
}

impl Timer for IdleTimer {
    fn sleep(&self, _: Duration) -> Pin<Box<dyn Sleep>> {
        Box::pin(self.start())
    }

    fn sleep_until(&self, _: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(self.start())
    }

    fn now(&self) -> Instant {
        tokio::time::Instant::now().into()
    }
}

/// Wait for the end of the idle timeout. A longer timeout takes effect at once, a shorter one from
/// the next wait on.
struct IdleSleep {
    started_at: tokio::time::Instant,
    idle_timeout: watch::Receiver<Duration>,
    sleep: Pin<Box<tokio::time::Sleep>>,
}

impl Future for IdleSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(context));
            let due_at = self.started_at + *self.idle_timeout.borrow();
            if due_at <= self.sleep.deadline() {
                return Poll::Ready(());
            }
            self.sleep.as_mut().reset(due_at);
        }
    }
}

impl Sleep for IdleSleep {}
