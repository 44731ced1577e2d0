//! Update about one member, and its encoding in messages.

use std::rc;

use compact_str::CompactString;
use schema::announce;
use schema::membership as wire;

use crate::{Backend, Member, Phase, State};

/// Update about one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Update {
    /// Record of the member.
    pub member: rc::Rc<Member>,
    /// Node that suspects the member, in state [`State::Suspect`] only.
    pub accuser: Option<units::Node>,
}

impl Update {
    /// Maximum length of the name of a service or version, in bytes.
    pub const NAME_BYTES: usize = 128;
    /// Highest accepted incarnation; the margin lets a member always exceed an accepted one.
    pub const INCARNATION_MAX: u64 = 1 << 48;

    /// Creates an update without an accuser.
    #[must_use]
    pub fn of(member: rc::Rc<Member>) -> Self {
        Self {
            member,
            accuser: None,
        }
    }

    /// Decodes an update from a message; `None` if malformed.
    #[must_use]
    pub fn decode(update: &wire::Update) -> Option<Self> {
        let member = decode_member(update.member.as_ref()?)?;
        let suspect = member.state == State::Suspect;
        let accuser = update.accuser.parse().ok().filter(|_| suspect);
        Some(Self {
            member: rc::Rc::new(member),
            accuser,
        })
    }

    /// Encodes the update for a message.
    #[must_use]
    pub fn encode(&self) -> wire::Update {
        let accuser = self.accuser.as_ref();
        wire::Update {
            member: Some(encode_member(&self.member)),
            accuser: accuser.map(ToString::to_string).unwrap_or_default(),
        }
    }
}

fn decode_member(member: &wire::Member) -> Option<Member> {
    if member.incarnation > Update::INCARNATION_MAX {
        return None;
    }
    let backend = match &member.backend {
        Some(backend) => Some(decode_backend(backend)?),
        None => None,
    };
    Some(Member {
        node: member.node.parse().ok()?,
        data_centre: member.data_centre.parse().ok()?,
        peer_address: member.peer_address.parse().ok()?,
        mesh_address: member.mesh_address.parse().ok()?,
        incarnation: member.incarnation,
        state: decode_state(member.state)?,
        backend,
    })
}

fn decode_state(state: i32) -> Option<State> {
    match wire::member::State::try_from(state).ok()? {
        wire::member::State::Alive => Some(State::Alive),
        wire::member::State::Suspect => Some(State::Suspect),
        wire::member::State::Dead => Some(State::Dead),
        wire::member::State::Left => Some(State::Left),
    }
}

fn decode_backend(backend: &wire::Backend) -> Option<Backend> {
    let service = decode_name(&backend.service)?;
    let version = decode_name(&backend.version)?;
    Some(Backend {
        service,
        version,
        slots: backend.slots,
        connections: backend.connections,
        phase: decode_phase(backend.phase)?,
        instance: backend.instance,
    })
}

/// Decodes the name of a service or version; `None` if empty or longer than `Update::NAME_BYTES`.
pub(crate) fn decode_name(name: &str) -> Option<CompactString> {
    let fits = !name.is_empty() && name.len() <= Update::NAME_BYTES;
    fits.then(|| name.into())
}

/// Decodes the phase of a backend server; `None` if unspecified or unknown.
pub(crate) fn decode_phase(phase: i32) -> Option<Phase> {
    match announce::Phase::try_from(phase).ok()? {
        announce::Phase::Unspecified => None,
        announce::Phase::Starting => Some(Phase::Starting),
        announce::Phase::Ready => Some(Phase::Ready),
        announce::Phase::Draining => Some(Phase::Draining),
        announce::Phase::Stopping => Some(Phase::Stopping),
    }
}

fn encode_member(member: &Member) -> wire::Member {
    let state = match member.state {
        State::Alive => wire::member::State::Alive,
        State::Suspect => wire::member::State::Suspect,
        State::Dead => wire::member::State::Dead,
        State::Left => wire::member::State::Left,
    };
    wire::Member {
        node: member.node.to_string(),
        data_centre: member.data_centre.to_string(),
        peer_address: member.peer_address.to_string(),
        mesh_address: member.mesh_address.to_string(),
        incarnation: member.incarnation,
        state: state.into(),
        backend: member.backend.as_ref().map(encode_backend),
    }
}

fn encode_backend(backend: &Backend) -> wire::Backend {
    let phase = match backend.phase {
        Phase::Starting => announce::Phase::Starting,
        Phase::Ready => announce::Phase::Ready,
        Phase::Draining => announce::Phase::Draining,
        Phase::Stopping => announce::Phase::Stopping,
    };
    wire::Backend {
        service: backend.service.to_string(),
        version: backend.version.to_string(),
        slots: backend.slots,
        connections: backend.connections,
        phase: phase.into(),
        instance: backend.instance,
    }
}
