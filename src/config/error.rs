//! Errors of a configuration that is refused.

use java_properties::PropertiesError;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Reason why a configuration is refused. The message is a single line that names the field or property at fault.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// File that does not exist or cannot be read.
    #[error("cannot read {}: {reason}", file.display())]
    Unreadable {
        /// Path of the file.
        file: PathBuf,
        /// Error returned by the operating system.
        reason: io::Error,
    },
    /// Settings file that is not valid TOML, or in which a field is missing or has the wrong type.
    #[error("line {line}: {message}")]
    Toml {
        /// Line number, from 1.
        line: usize,
        /// Message of the TOML parser.
        message: String,
    },
    /// Field of the settings file with an invalid value.
    #[error("{field}: {problem}")]
    InvalidField {
        /// Path of the field, such as `facts.size`.
        field: String,
        /// Violated requirement.
        problem: String,
    },
    /// Properties file that does not follow the syntax of Java properties.
    #[error("properties: {0}")]
    PropertiesSyntax(PropertiesError),
    /// Key that is not the key of any property.
    #[error("property {key}: no such property")]
    UnknownProperty {
        /// Key of the property.
        key: String,
    },
    /// Property with a value that has the wrong type or lies outside its range.
    #[error("property {key}: \"{value}\" is not {expected}")]
    InvalidPropertyValue {
        /// Key of the property.
        key: String,
        /// Value as written in the file, without surrounding white space.
        value: String,
        /// Description of the valid values.
        expected: String,
    },
    /// Property that is set in more than one properties file.
    #[error("property {key}: set in two files")]
    PropertySetTwice {
        /// Key of the property.
        key: String,
    },
    /// Combination of properties that are valid individually but contradict each other.
    #[error("property {key}: {conflict}")]
    Contradiction {
        /// Key of one of the properties.
        key: &'static str,
        /// Requirement that another property violates.
        conflict: &'static str,
    },
    /// Error in the contents of a file.
    #[error("{}: {error}", file.display())]
    InFile {
        /// Path of the file.
        file: PathBuf,
        /// Error in its contents.
        error: Box<ConfigError>,
    },
}

impl ConfigError {
    /// Returns the error for an invalid field of the settings file.
    pub(super) fn invalid_field(field: impl Into<String>, problem: impl Into<String>) -> ConfigError {
        ConfigError::InvalidField { field: field.into(), problem: problem.into() }
    }

    /// Returns this error with the path of the file in front of the message.
    pub(super) fn in_file(self, file: &Path) -> ConfigError {
        ConfigError::InFile { file: file.to_path_buf(), error: Box::new(self) }
    }
}
