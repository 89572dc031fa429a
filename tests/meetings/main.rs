//! Two troubles at once: each meeting of `docs/meetings.md` brought about on purpose, with the rules checked after
//! each step.

mod checker;
mod first;
mod further;
mod scripted;
mod walk;
#[path = "../world/mod.rs"]
mod world;
