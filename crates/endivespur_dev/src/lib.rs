//! Maintenance tasks: stand-ins, the demo, and the measurements.

pub mod bench;
pub mod call;
pub mod demo;
pub mod measure;
pub mod process;
pub mod scale;
pub mod site;
pub mod stand;
