//! Tests of the node as a process, with the log and the backend servers as stand-ins in this process.
mod configuration;
mod fleet;
mod leaving;
mod once;
mod routing;
