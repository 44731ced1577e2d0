//! Moves and their progress.

use schema::operator as wire;

use crate::console;

units::record! {
    /// One move.
    #[derive(serde::Serialize)]
    pub struct Move {
        /// Its id.
        pub id: String,
        /// The service.
        pub service: String,
        /// Version that gives its share.
        pub from: String,
        /// Version that takes the share.
        pub to: String,
        /// `running`, `withheld`, `done` or `taken back`.
        pub state: &'static str,
        /// Share of the new version in percent of the service's traffic.
        pub share: units::Share,
        /// Why it stands where it stands.
        pub reason: String,
        /// Time by which it ends.
        pub deadline: units::Wall,
        /// Time of its start.
        pub started: units::Wall,
        /// Time of its end.
        pub ended: Option<units::Wall>,
        /// Share of the next step.
        pub next_share: Option<units::Share>,
        /// Earliest time of the next step.
        pub next_step: Option<units::Wall>,
        /// Node that runs it.
        pub runner: String,
        /// What was seen on each route.
        pub evidence: Vec<Evidence>,
    }

    /// What was seen on one route.
    #[derive(serde::Serialize)]
    pub struct Evidence {
        /// The route.
        pub route: String,
        /// Requests to the old version, the failed among them, and their mean latency in milliseconds.
        pub old: Side,
        /// The same of the new version.
        pub new: Side,
        /// What is concluded.
        pub verdict: String,
    }

    /// Requests to one version on one route.
    #[derive(serde::Serialize)]
    pub struct Side {
        /// All requests.
        pub requests: u64,
        /// The failed ones.
        pub failures: u64,
        /// Mean latency in milliseconds.
        pub latency_ms: f64,
    }

    /// All moves.
    #[derive(serde::Serialize)]
    #[serde(transparent)]
    pub struct List(pub Vec<Move>);

    /// One line of a move's progress.
    #[derive(serde::Serialize)]
    #[serde(transparent)]
    pub struct Progress(pub Move);
}

impl Move {
    /// Whether the move has ended.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.ended.is_some()
    }

    /// Whether the move has ended as done.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.state == "done"
    }
}

impl From<wire::Move> for Move {
    fn from(wire: wire::Move) -> Self {
        let time = |millis: u64| (millis > 0).then_some(units::Wall(millis));
        let share = |parts: u32| units::Share::from_parts(parts).unwrap_or(units::Share::WHOLE);
        Self {
            state: state(wire.state()),
            share: share(wire.share),
            reason: wire.reason,
            deadline: units::Wall(wire.deadline_ms),
            started: units::Wall(wire.started_ms),
            ended: time(wire.ended_ms),
            next_share: (wire.next_share > 0).then(|| share(wire.next_share)),
            next_step: time(wire.next_step_ms),
            runner: wire.runner,
            evidence: wire.evidence.into_iter().map(Evidence::from).collect(),
            id: wire.id,
            service: wire.service,
            from: wire.from,
            to: wire.to,
        }
    }
}

fn state(state: wire::r#move::State) -> &'static str {
    match state {
        wire::r#move::State::Running => "running",
        wire::r#move::State::Withheld => "withheld",
        wire::r#move::State::Done => "done",
        wire::r#move::State::TakenBack => "taken back",
        wire::r#move::State::Unspecified => "unknown",
    }
}

impl From<wire::RouteEvidence> for Evidence {
    fn from(wire: wire::RouteEvidence) -> Self {
        Self {
            route: wire.route,
            old: Side {
                requests: wire.old_requests,
                failures: wire.old_failures,
                latency_ms: wire.old_latency_ms,
            },
            new: Side {
                requests: wire.new_requests,
                failures: wire.new_failures,
                latency_ms: wire.new_latency_ms,
            },
            verdict: wire.verdict,
        }
    }
}

impl Side {
    fn text(&self) -> String {
        format!(
            "{}/{} {:.1}ms",
            self.failures, self.requests, self.latency_ms
        )
    }
}

impl console::Show for Move {
    fn table(&self) -> String {
        let mut lines = vec![
            format!("move      {}", self.id),
            format!("service   {}: {} -> {}", self.service, self.from, self.to),
            format!("state     {}", self.state),
            format!("share     {} of {}", self.share, self.to),
            format!("started   {}", self.started),
            format!("deadline  {}", self.deadline),
        ];
        lines.extend(self.ended.map(|ended| format!("ended     {ended}")));
        if let Some(share) = self.next_share {
            let time = self.next_step.map(|time| format!(" from {time}"));
            lines.push(format!("next      {share}{}", time.unwrap_or_default()));
        }
        if !self.reason.is_empty() {
            lines.push(format!("reason    {}", self.reason));
        }
        if !self.runner.is_empty() {
            lines.push(format!("runner    {}", self.runner));
        }
        if !self.evidence.is_empty() {
            lines.push(String::new());
            lines.push(evidence(&self.evidence));
        }
        lines.join("\n")
    }
}

fn evidence(all: &[Evidence]) -> String {
    let header = ["ROUTE", "OLD FAILED/ALL", "NEW FAILED/ALL", "VERDICT"];
    let mut table = console::Table::new(&header);
    for one in all {
        let verdict = one.verdict.clone();
        table.row([one.route.clone(), one.old.text(), one.new.text(), verdict]);
    }
    table.text()
}

impl console::Show for List {
    fn table(&self) -> String {
        if self.0.is_empty() {
            return "no moves".to_owned();
        }
        let header = [
            "MOVE", "SERVICE", "FROM", "TO", "STATE", "SHARE", "DEADLINE", "REASON",
        ];
        let mut table = console::Table::new(&header);
        for one in &self.0 {
            table.row([
                one.id.clone(),
                one.service.clone(),
                one.from.clone(),
                one.to.clone(),
                one.state.to_owned(),
                one.share.to_string(),
                one.deadline.to_string(),
                one.reason.clone(),
            ]);
        }
        table.text()
    }
}

impl console::Show for Progress {
    fn table(&self) -> String {
        let Move {
            service,
            to,
            state,
            share,
            reason,
            ..
        } = &self.0;
        let requests: u64 = self.0.evidence.iter().map(|one| one.new.requests).sum();
        let failures: u64 = self.0.evidence.iter().map(|one| one.new.failures).sum();
        let line = format!("{service} {to} {share} {state}, {failures} of {requests} failed");
        if reason.is_empty() {
            line
        } else {
            format!("{line}: {reason}")
        }
    }
}
