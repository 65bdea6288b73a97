//! The operators' command line of the citronlanding proxy fleet.
