//! `anvilgw serve`: runs the entry daemon.
