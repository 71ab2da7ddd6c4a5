//! Clients for the outside systems, with byte counting and silence detection.
