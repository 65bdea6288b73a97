//! The request path of the citronlanding proxy fleet.
