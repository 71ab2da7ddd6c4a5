//! Rollouts of a service's software version: decisions without a network.

mod decider;
mod evidence;
mod exposure;
mod restored;
mod seeded;
mod simulation;
mod verdict;
mod versions;
