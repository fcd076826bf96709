//! State that an entry keeps for each backend server it is connected to.

pub mod breaker;
pub mod choice;
pub mod view;
