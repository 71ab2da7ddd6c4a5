//! Report of a silent connection whose exchange goes on.

use tokio::sync::watch;

/// Tells whether the connection of an exchange is silent: no byte was sent or received for the
/// silence timeout.
///
/// With a signal in its options, an exchange is not closed when its connection falls silent. Sound
/// servers fall silent for a while and go on, so the user of the exchange decides whether another
/// server takes its place.
#[derive(Clone, Debug, Default)]
pub struct SilenceSignal {
    is_silent: watch::Sender<bool>,
}

impl SilenceSignal {
    /// Returns whether the connection is silent. This stays true after an exchange that was silent
    /// at its time limit.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        *self.is_silent.borrow()
    }

    /// Completes when the connection is silent.
    pub async fn silent(&self) {
        let mut receiver = self.is_silent.subscribe();
        // Waiting fails only if the sender is dropped, and `self` owns it.
        let _ = receiver.wait_for(|is_silent| *is_silent).await;
    }

    pub(crate) fn set(&self, is_silent: bool) {
        self.is_silent.send_replace(is_silent);
    }
}
