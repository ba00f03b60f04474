//! The load and measurement tool: open-loop arrivals, every answer checked, results by workspace.

pub mod answer;
pub mod arrivals;
pub mod caller;
pub mod compare;
pub mod effects;
pub mod plan;
pub mod report;
pub mod run;
