//! Decisions on deployments of various sizes and with various operators' bounds.

mod deployment;
mod groups;
mod servers;
