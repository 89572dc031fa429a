//! Table of the properties of all files, and its conversion to structs by serde.

use super::ConfigError;
use serde::de::value::{BorrowedStrDeserializer, MapDeserializer};
use serde::{Deserialize, de};
use std::collections::BTreeMap;
use std::fmt;
use thiserror::Error;

/// Group of properties that are read into the same struct.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum PropertyGroup {
    General,
    Forecast,
    Recovery,
    Standby,
}

impl PropertyGroup {
    /// Returns the group of a key, which is decided by the part before its first period.
    fn of(key: &str) -> PropertyGroup {
        match key.split('.').next() {
            Some("forecast") => PropertyGroup::Forecast,
            Some("recovery") => PropertyGroup::Recovery,
            Some("standby") => PropertyGroup::Standby,
            _ => PropertyGroup::General,
        }
    }
}

/// Unparsed values of the properties of all files by key.
#[derive(Debug, Default)]
pub(super) struct PropertyTable(BTreeMap<String, String>);

impl PropertyTable {
    /// Parses the text of a properties file.
    pub fn parse(text: &str) -> Result<PropertyTable, ConfigError> {
        let entries = java_properties::read(text.as_bytes()).map_err(ConfigError::PropertiesSyntax)?;
        Ok(PropertyTable(entries.into_iter().collect()))
    }

    /// Adds the properties of another file. Fails if a property is set in both.
    pub fn merge(&mut self, other: PropertyTable) -> Result<(), ConfigError> {
        for (key, value) in other.0 {
            if self.0.contains_key(&key) {
                return Err(ConfigError::PropertySetTwice { key });
            }
            self.0.insert(key, value);
        }
        Ok(())
    }

    /// Reads the properties of a group. On an error, appends the error to `errors` and returns the defaults.
    pub fn read_group<'a, T: Deserialize<'a> + Default>(
        &'a self,
        group: PropertyGroup,
        errors: &mut Vec<PropertyError>,
    ) -> T {
        let entries = self.0.iter().filter(|(key, _)| PropertyGroup::of(key) == group);
        let entries = entries.map(|(key, value)| (key.as_str(), BorrowedStrDeserializer::new(value.trim())));
        serde_path_to_error::deserialize(MapDeserializer::new(entries)).unwrap_or_else(|error| {
            let key = error.path().to_string();
            let value = self.0.get(&key).map_or("", |value| value.trim()).to_string();
            errors.push(PropertyError { key, value, problem: error.into_inner() });
            T::default()
        })
    }
}

/// Error for a property that cannot be read.
pub(super) struct PropertyError {
    pub key: String,
    value: String,
    problem: PropertyProblem,
}

impl From<PropertyError> for ConfigError {
    fn from(error: PropertyError) -> ConfigError {
        let PropertyError { key, value, problem } = error;
        match problem {
            PropertyProblem::UnknownKey => ConfigError::UnknownProperty { key },
            PropertyProblem::InvalidValue { expected } => ConfigError::InvalidPropertyValue { key, value, expected },
        }
    }
}

/// Error that serde reports for a property; [`PropertyTable::read_group`] adds the key and the value.
#[derive(Debug, Error)]
enum PropertyProblem {
    #[error("no such property")]
    UnknownKey,
    #[error("not {expected}")]
    InvalidValue { expected: String },
}

impl de::Error for PropertyProblem {
    fn custom<T: fmt::Display>(message: T) -> PropertyProblem {
        PropertyProblem::InvalidValue { expected: message.to_string() }
    }

    fn invalid_value(_: de::Unexpected<'_>, expected: &dyn de::Expected) -> PropertyProblem {
        PropertyProblem::InvalidValue { expected: expected.to_string() }
    }

    fn unknown_field(_: &str, _: &'static [&'static str]) -> PropertyProblem {
        PropertyProblem::UnknownKey
    }
}
