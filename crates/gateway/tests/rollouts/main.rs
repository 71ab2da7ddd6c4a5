//! Rollouts of a service's software version: decisions without a network.

mod seeded;
mod simulation;
