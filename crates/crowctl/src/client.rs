//! HTTP client that fails over between controllers: a request goes to one after another until one gives a final answer.

use crate::error::Error;
use indicatif::ProgressBar;
use serde::de::DeserializeOwned;
use std::time::{Duration, Instant};
use ureq::Agent;
use ureq::http::Response;

/// Time after which a request is no longer retried.
const RETRY_TIMEOUT: Duration = Duration::from_secs(60);
/// Minimum pause before all controllers are tried again.
const MIN_RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Maximum pause before all controllers are tried again, even if a `Retry-After` header asks for more.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(30);
/// Timeout of one request to one controller.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum length of an answer's body; a longer one makes the attempt fail.
const MAX_ANSWER_BYTES: u64 = 1 << 20;

/// Client of the controllers.
pub(crate) struct Client {
    agent: Agent,
    servers: Vec<String>,
}

/// Final answer of a controller: a success or a refusal that a retry would not change.
pub(crate) struct Answer {
    status: u16,
    body: String,
}

/// Failure to get a final answer from one controller.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AttemptError {
    /// The controller was not reached, or its answer did not arrive.
    #[error("{server}: {source}")]
    Transport {
        /// Address of the controller, `HOST:PORT`.
        server: String,
        /// Error of the HTTP client.
        source: Box<ureq::Error>,
    },
    /// The controller answered with a status that is not final, such as 503.
    #[error("{server}: {reason} ({status})")]
    Unavailable {
        /// Address of the controller, `HOST:PORT`.
        server: String,
        /// Reason that the controller gave.
        reason: String,
        /// HTTP status.
        status: u16,
    },
}

/// Failed attempt, and the pause that its controller asks for before a retry.
struct FailedAttempt {
    pause: Duration,
    error: AttemptError,
}

impl Answer {
    /// Parses the body of a successful answer; returns [`Error::Refused`] with the controller's reason for any other
    /// answer.
    pub(crate) fn parse<T: DeserializeOwned>(&self) -> Result<T, Error> {
        match self.status {
            200 | 201 => serde_json::from_str(&self.body).map_err(Error::UnreadableAnswer),
            status => Err(Error::Refused { status, reason: self.refusal_reason() }),
        }
    }

    /// Returns the `error` field of the body, or a default text if there is none.
    fn refusal_reason(&self) -> String {
        let body: Option<serde_json::Value> = serde_json::from_str(&self.body).ok();
        let reason = body.as_ref().and_then(|body| body["error"].as_str());
        reason.unwrap_or("refused without a reason").to_string()
    }
}

impl Client {
    /// Returns a client that tries `servers` in this order.
    pub(crate) fn new(servers: Vec<String>) -> Client {
        let config = Agent::config_builder().http_status_as_error(false).timeout_global(Some(ANSWER_TIMEOUT)).build();
        Client { agent: config.into(), servers }
    }

    /// Sends a GET request.
    pub(crate) fn get(&self, path: &str) -> Result<Answer, Error> {
        self.request(path, None)
    }

    /// Sends a POST request with a JSON body.
    pub(crate) fn post(&self, path: &str, body: &str) -> Result<Answer, Error> {
        self.request(path, Some(body))
    }

    /// Sends a request to the controllers in turn until one gives a final answer, or the next attempt would begin after
    /// [`RETRY_TIMEOUT`].
    fn request(&self, path: &str, body: Option<&str>) -> Result<Answer, Error> {
        let started_at = Instant::now();
        let spinner = ProgressBar::new_spinner();
        let mut attempts = 0;
        loop {
            let server = &self.servers[attempts % self.servers.len()];
            let FailedAttempt { pause, error } = match self.attempt(server, path, body) {
                Ok(answer) => {
                    spinner.finish_and_clear();
                    return Ok(answer);
                }
                Err(failed) => failed,
            };
            attempts += 1;
            // The other controllers are tried without a pause; the pause is made before the next round.
            let pause = if attempts % self.servers.len() == 0 { pause } else { Duration::ZERO };
            if started_at.elapsed() + pause > RETRY_TIMEOUT {
                spinner.finish_and_clear();
                return Err(Error::Unreachable(error));
            }
            spinner.set_message(format!("{error}; again in {} s", pause.as_secs()));
            spinner.tick();
            std::thread::sleep(pause);
        }
    }

    /// Sends a request to one controller.
    fn attempt(&self, server: &str, path: &str, body: Option<&str>) -> Result<Answer, FailedAttempt> {
        let transport_error = |error: ureq::Error| FailedAttempt {
            pause: MIN_RETRY_PAUSE,
            error: AttemptError::Transport { server: server.to_string(), source: Box::new(error) },
        };
        let url = format!("http://{server}{path}");
        let sent = match body {
            Some(body) => self.agent.post(&url).content_type("application/json").send(body),
            None => self.agent.get(&url).call(),
        };
        let mut response = sent.map_err(transport_error)?;
        let status = response.status().as_u16();
        let pause = retry_after(&response).unwrap_or(MIN_RETRY_PAUSE);
        let body = response.body_mut().with_config().limit(MAX_ANSWER_BYTES).read_to_string();
        let answer = Answer { status, body: body.map_err(transport_error)? };
        match status {
            200 | 201 | 400 | 404 | 405 | 422 => Ok(answer),
            _ => Err(FailedAttempt {
                pause: pause.clamp(MIN_RETRY_PAUSE, MAX_RETRY_PAUSE),
                error: AttemptError::Unavailable {
                    server: server.to_string(),
                    reason: answer.refusal_reason(),
                    status,
                },
            }),
        }
    }
}

/// Returns the pause that a `Retry-After` header asks for; `None` if there is none with a number of seconds.
fn retry_after<Body>(response: &Response<Body>) -> Option<Duration> {
    let value = response.headers().get("retry-after")?.to_str().ok()?;
    value.parse().ok().map(Duration::from_secs)
}
