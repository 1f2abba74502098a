//! The controllers: background tasks that read and write the blackboard.

pub mod apply;
pub mod bootstrap;
mod changes;
pub mod exchange;
pub mod health;
pub mod membership;
pub mod ownership;
pub mod reader;
pub mod share;
pub mod snapshot;
