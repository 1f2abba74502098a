//! Results of the commands, as text and as JSON.

use std::fmt;

use hitch_config::Change;
use hitch_settings::Problem;
use serde::Serialize;
use uuid::Uuid;

use crate::args::Format;
use crate::diff::Difference;
use crate::fleet::Node;
use crate::publish;
use crate::wait::Progress;

/// Result of `validate`, and of other commands when the contract is invalid.
#[derive(Serialize)]
pub(crate) struct Validation {
    pub(crate) file: Box<str>,
    pub(crate) valid: bool,
    pub(crate) problems: Vec<Problem>,
}

/// Result of `publish` and `amend`.
#[derive(Serialize)]
pub(crate) struct Published {
    pub(crate) change_id: Uuid,
    pub(crate) customer: Box<str>,
    pub(crate) based_on: u64,
    #[serde(flatten)]
    pub(crate) outcome: publish::Outcome,
    /// Last progress of the wait, `None` when the command did not wait.
    pub(crate) progress: Option<Progress>,
    /// Command line that resumes the publication.
    #[serde(skip)]
    pub(crate) resume: Box<str>,
}

/// Result of `status`.
#[derive(Serialize)]
pub(crate) struct Statuses {
    pub(crate) nodes: Vec<NodeView>,
}

/// One node in the result of `status`.
#[derive(Serialize)]
pub(crate) struct NodeView {
    #[serde(flatten)]
    pub(crate) node: Node,
    pub(crate) version_known: Option<u64>,
    pub(crate) not_ready_reason: Box<str>,
    pub(crate) confirmed_age_ms: Option<u64>,
}

/// Result of `diff`.
#[derive(Serialize)]
pub(crate) struct Differences {
    pub(crate) customer: Box<str>,
    pub(crate) version: u64,
    pub(crate) differences: Vec<Difference>,
}

impl Published {
    pub(crate) fn new(change: &Change, outcome: publish::Outcome, resume: Box<str>) -> Published {
        Published {
            change_id: change.change_id,
            customer: change.customer.clone(),
            based_on: change.based_on,
            outcome,
            progress: None,
            resume,
        }
    }
}

impl fmt::Display for Validation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Validation { file, problems, .. } = self;
        if self.valid {
            return write!(f, "{file}: valid");
        }
        write!(f, "{file}: {}", hitch_settings::problem::count(problems))?;
        for problem in problems {
            write!(f, "\n  {problem}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Published {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} (change {}, based on {}): {}",
            self.customer, self.change_id, self.based_on, self.outcome
        )?;
        if matches!(self.outcome, publish::Outcome::Unknown { .. }) {
            write!(f, "\nresume with: {}", self.resume)?;
        }
        match &self.progress {
            Some(progress) => write!(f, "\n{progress}"),
            None => Ok(()),
        }
    }
}

impl fmt::Display for Statuses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<16} {:<12} {:<12} {:<9} {:>8} {:>8}  ADMIN",
            "INSTANCE", "ZONE", "SERVICE", "STATE", "IN FORCE", "KNOWN"
        )?;
        for view in &self.nodes {
            let node = &view.node;
            let admin = node
                .admin
                .map_or("-".to_owned(), |address| address.to_string());
            let in_force = match node.version_in_force {
                0 if node.own.is_none() => "-".to_owned(),
                version => version.to_string(),
            };
            let known = view.version_known.map_or("-".to_owned(), |v| v.to_string());
            write!(
                f,
                "\n{:<16} {:<12} {:<12} {:<9} {in_force:>8} {known:>8}  {admin}",
                node.instance, node.zone, node.service, node.state
            )?;
            if !view.not_ready_reason.is_empty() {
                write!(f, "\n  not ready: {}", view.not_ready_reason)?;
            }
        }
        Ok(())
    }
}

impl From<&Node> for NodeView {
    fn from(node: &Node) -> NodeView {
        let own = node.own.as_ref();
        NodeView {
            node: node.clone(),
            version_known: own.map(|own| own.version_known),
            not_ready_reason: own.map(|o| o.not_ready_reason.clone()).unwrap_or_default(),
            confirmed_age_ms: own.and_then(|own| own.confirmed_age_ms),
        }
    }
}

impl fmt::Display for Differences {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Differences {
            customer, version, ..
        } = self;
        match self.differences.len() {
            0 => write!(f, "{customer}: same as version {version}")?,
            n => write!(f, "{customer}: {n} differences from version {version}")?,
        }
        for difference in &self.differences {
            write!(f, "\n  {difference}")?;
        }
        Ok(())
    }
}

/// Returns `result` as text or as one line of JSON.
pub(crate) fn render<T: Serialize + fmt::Display>(result: &T, format: Format) -> String {
    match format {
        Format::Text => result.to_string(),
        Format::Json => match serde_json::to_string(result) {
            Ok(json) => json,
            Err(err) => format!("cannot encode the result as JSON: {err}"),
        },
    }
}
