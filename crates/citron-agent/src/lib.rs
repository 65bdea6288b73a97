//! The control path of the citronlanding proxy fleet.
