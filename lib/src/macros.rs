//! The sets of derives that recur in this workspace.

/// Declares plain values: compared, hashed, copied about by `Clone`, and carried on the wire.
#[macro_export]
macro_rules! value_type {
    ($($item:item)+) => {
        $(
            #[derive(Clone, Debug, Eq, Hash, PartialEq, serde::Deserialize, serde::Serialize)]
            $item
        )+
    };
}

/// Declares small values that are copied implicitly and ordered.
#[macro_export]
macro_rules! copy_type {
    ($($item:item)+) => {
        $(
            #[derive(
                Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd,
                serde::Deserialize, serde::Serialize,
            )]
            $item
        )+
    };
}

/// Declares values that hold floating-point figures: cloned, compared and carried on the wire.
#[macro_export]
macro_rules! figure_type {
    ($($item:item)+) => {
        $(
            #[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
            $item
        )+
    };
}
