//! Parts of the `cuminkeel` program that are of use elsewhere.

pub mod operator;
