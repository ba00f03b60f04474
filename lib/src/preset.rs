//! The two objectives by which an engine's agent decides.

use crate::copy_type;

copy_type! {
    /// What a deployment weighs most.
    #[derive(Default)]
    pub enum Preset {
        /// The time that a caller waits without progress; Hanshan's choice.
        #[default]
        Stall,
        /// The tail of the time between two tokens of a stream; Saryarka's choice.
        Gap,
    }
}
