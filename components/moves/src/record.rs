//! Platform object of a move.

use compact_str::CompactString;
use config::Weight;
use prost::Message;
use schema::moves as wire;

use crate::{Id, shares};

/// State of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The move is taking its steps.
    Running,
    /// The decision to take the new version back has been made.
    TakingBack,
    /// The move has ended: the new version has the whole share.
    Done,
    /// The move has ended: the old version has its share again.
    TakenBack,
}

units::record! {
    /// Content of the platform object of a move.
    #[derive(serde::Serialize)]
    pub struct Record {
        /// Id of the move.
        pub id: Id,
        /// Operation that started the move.
        pub operation: units::Operation,
        /// Old version, whose share is moved.
        pub from: CompactString,
        /// New version, which gets the share.
        pub to: CompactString,
        /// Deadline for the end of the move.
        pub deadline: units::Wall,
        /// Start time.
        pub started: units::Wall,
        /// End time.
        pub ended: Option<units::Wall>,
        /// State of the move.
        pub state: State,
        /// Reason for taking the move back.
        pub reason: CompactString,
        /// Phase of the plan; 0 before the first step.
        pub step: usize,
        /// Start time of the phase.
        pub step_since: units::Wall,
        /// Weights of the service before the move.
        pub original: Vec<Weight>,
        /// Node that runs the move.
        pub runner: Option<units::Node>,
        /// Fencing token, incremented by each claim of a runner.
        pub fence: u64,
        /// Random number by which the writer recognises its own write.
        pub nonce: u64,
        /// Whether an operator has set other shares during the move.
        pub overridden: bool,
        /// Latest configuration version in which the shares matched the move.
        pub accepted: units::Version,
    }
}

impl Record {
    /// Name of the service.
    #[must_use]
    pub fn service(&self) -> &str {
        self.id.service()
    }

    /// Whether the move has ended.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        matches!(self.state, State::Done | State::TakenBack)
    }

    /// Whether the new version is withheld, regardless of the configuration.
    ///
    /// Shares that an operator has set during the move take precedence.
    #[must_use]
    pub fn withholds(&self) -> bool {
        matches!(self.state, State::TakingBack | State::TakenBack) && !self.overridden
    }

    /// Weights of the service when the move has reached the share `step`.
    #[must_use]
    pub fn weights(&self, step: units::Share) -> Vec<Weight> {
        if step == units::Share::NONE {
            return self.original.clone();
        }
        shares::at_step(&self.original, &self.from, &self.to, step)
    }

    /// Whether a record may follow this one: the end is written once, and only a running move can
    /// become done.
    #[must_use]
    pub fn may_become(&self, later: &Self) -> bool {
        match self.state {
            State::Running => true,
            State::TakingBack => matches!(later.state, State::TakingBack | State::TakenBack),
            State::Done | State::TakenBack => self.state == later.state,
        }
    }

    /// Encodes the record as its wire message.
    #[must_use]
    pub fn encode(&self) -> wire::Record {
        wire::Record {
            id: self.id.to_string(),
            operation: self.operation.to_string(),
            service: self.service().to_owned(),
            from: self.from.to_string(),
            to: self.to.to_string(),
            deadline_ms: self.deadline.0,
            started_ms: self.started.0,
            ended_ms: self.ended.unwrap_or_default().0,
            state: encode_state(self.state).into(),
            reason: self.reason.to_string(),
            step: u32::try_from(self.step).unwrap_or(u32::MAX),
            step_ms: self.step_since.0,
            original: encode_weights(&self.original),
            runner: self
                .runner
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default(),
            fence: self.fence,
            nonce: self.nonce,
            overridden: self.overridden,
            accepted: self.accepted.0,
        }
    }

    /// Decodes the wire message; `None` if it is malformed.
    #[must_use]
    pub fn decode(wire: &wire::Record) -> Option<Self> {
        let runner = match wire.runner.as_str() {
            "" => None,
            runner => Some(runner.parse().ok()?),
        };
        Some(Self {
            id: wire.id.parse().ok()?,
            operation: wire.operation.parse().ok()?,
            from: wire.from.as_str().into(),
            to: wire.to.as_str().into(),
            deadline: units::Wall(wire.deadline_ms),
            started: units::Wall(wire.started_ms),
            ended: (wire.ended_ms > 0).then_some(units::Wall(wire.ended_ms)),
            state: decode_state(wire.state())?,
            reason: wire.reason.as_str().into(),
            step: usize::try_from(wire.step).ok()?,
            step_since: units::Wall(wire.step_ms),
            original: decode_weights(&wire.original)?,
            runner,
            fence: wire.fence,
            nonce: wire.nonce,
            overridden: wire.overridden,
            accepted: units::Version(wire.accepted),
        })
    }

    /// Encodes the record as the value of its object.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        self.encode().encode_to_vec()
    }

    /// Decodes the value of an object; `None` if it is malformed.
    #[must_use]
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let wire = wire::Record::decode(bytes).ok()?;
        Self::decode(&wire)
    }
}

fn encode_state(state: State) -> wire::record::State {
    match state {
        State::Running => wire::record::State::Running,
        State::TakingBack => wire::record::State::TakingBack,
        State::Done => wire::record::State::Done,
        State::TakenBack => wire::record::State::TakenBack,
    }
}

fn decode_state(state: wire::record::State) -> Option<State> {
    match state {
        wire::record::State::Running => Some(State::Running),
        wire::record::State::TakingBack => Some(State::TakingBack),
        wire::record::State::Done => Some(State::Done),
        wire::record::State::TakenBack => Some(State::TakenBack),
        wire::record::State::Unspecified => None,
    }
}

fn encode_weights(weights: &[Weight]) -> Vec<schema::config::Weight> {
    let encode = |weight: &Weight| schema::config::Weight {
        version: weight.version.to_string(),
        share: weight.share.parts(),
    };
    weights.iter().map(encode).collect()
}

fn decode_weights(weights: &[schema::config::Weight]) -> Option<Vec<Weight>> {
    let decode = |weight: &schema::config::Weight| {
        Some(Weight {
            version: weight.version.as_str().into(),
            share: units::Share::from_parts(weight.share)?,
        })
    };
    weights.iter().map(decode).collect()
}
