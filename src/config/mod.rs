//! Configuration of a controller: the platform's settings file (TOML) and the operators' properties
//! (Java-style properties files). Both are read and validated once, at start.
//!
//! [`Settings::load`] is the entry point. `platform_file` declares the TOML file as it is written, `validation`
//! checks it and converts it to [`Settings`], and `properties` declares the operators' properties, which are read into
//! [`Properties`].

mod error;
mod platform_file;
mod properties;
mod property_table;
mod property_values;
mod settings;
mod validation;

pub use error::ConfigError;
pub use properties::{ForecastProperties, Properties, RecoveryProperties, StandbyProperties};
pub use settings::{Settings, TeamLimits};
