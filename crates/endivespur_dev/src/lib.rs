//! Maintenance tasks: emulators of external systems, the demo, and the measurements.

pub mod bench;
pub mod call;
pub mod demo;
pub mod emulator;
pub mod measure;
pub mod process;
pub mod scale;
pub mod site;
