//! `anvilgw demo`: runs the daemon with stand-ins of the external systems.
