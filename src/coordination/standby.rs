//! Replacing a holder that is lost before its claim has run out, and being replaced: the calls for what
//! `crowstall_standby` decides. Why nothing breaks while two nodes believe to hold a shard is in
//! `docs/standby.md`.

use super::pipelines::WaitingWrite;
use super::*;
use crate::bookkeeping::records::{self, LastRecord, PulseRecord, to_value};
use crate::protocol::cloud::CloudAnswer;
use crate::protocol::state::Change;
use crowstall_standby::suspicion::Signs;
use crowstall_standby::{Check, Own, Sign, Step, Suspicion, Terms};

/// A holder that some node has not heard for so long shows in the state service that it lives.
const PARTED: Span = Span::millis(550);
/// How often it does so: once is enough for as long as anybody waits before replacing it.
const PULSE: Span = Span::millis(900);
/// A beat's word on the state service is fresh for so long.
const FRESH: Span = Span::millis(800);

/// What was read or confirmed under a claim, and counts only once the claim was seen to stand after it: the
/// shard may be another's by then, and what stands in the records that one's.
pub(super) struct Parked {
    pub shard: ShardId,
    pub claim: Revision,
    pub at: Time,
    pub what: Finding,
}

pub(super) enum Finding {
    State(StateWork, Result<StateAnswer, CallError>),
    Cloud(CloudWork, Result<CloudAnswer, CallError>),
}

/// What this node makes of the others' claims and of its own standing.
pub(super) struct Standby {
    terms: Option<Terms>,
    patience: (Span, Span),
    own: Own,
    suspicions: BTreeMap<NodeLabel, Suspicion>,
    probes: HashMap<CallNo, NodeLabel>,
    /// Where holders listen, as their records say.
    fronts: BTreeMap<NodeLabel, SocketAddrV4>,
    parked: Vec<Parked>,
    /// Shards whose key is being read to see whether the claim stands.
    confirming: HashSet<ShardId>,
    last_pulse: Time,
    /// The longest pause between two ticks since the last claim.
    longest_pause: Span,
}

impl Standby {
    pub fn new(cfg: &Settings) -> Standby {
        let own = &cfg.own.standby;
        let terms = Terms { decides_ms: cfg.own.claim_life.as_millis(), tells_ms: own.tells.as_millis() };
        Standby {
            terms: own.enabled.then_some(terms),
            patience: (own.patience, cfg.own.claim_life.max(own.patience)),
            own: Own::default(),
            suspicions: BTreeMap::new(),
            probes: HashMap::new(),
            fronts: BTreeMap::new(),
            parked: Vec::new(),
            confirming: HashSet::new(),
            last_pulse: Time::ZERO,
            longest_pause: Span::ZERO,
        }
    }

    /// By which terms this node's claims may be replaced early.
    pub fn terms(&self) -> Option<Terms> {
        self.terms
    }

    pub fn listens(&mut self, node: &NodeLabel, front: Option<SocketAddrV4>) {
        if let Some(front) = front {
            self.fronts.insert(node.clone(), front);
        }
    }

    pub fn beat(&mut self, node: &NodeLabel, now: Time) {
        let (least, most) = self.patience;
        self.suspicions.entry(node.clone()).or_insert_with(|| Suspicion::new(least, most)).beat(now);
    }

    pub fn state_answered(&mut self, now: Time) {
        self.own.state_answered(now);
    }

    pub fn state_quiet(&self, now: Time) -> Span {
        self.own.state_quiet(now)
    }

    pub fn probed(&mut self, call: CallNo, alive: bool) {
        if let Some(node) = self.probes.remove(&call)
            && let Some(suspicion) = self.suspicions.get_mut(&node)
        {
            suspicion.answered(alive);
        }
    }

    /// A claim begins: from here on pauses of this process count.
    pub fn claimed(&mut self) {
        self.longest_pause = Span::ZERO;
    }

    fn ticked(&mut self, now: Time, pause: Span) {
        self.own.ticked(now);
        self.longest_pause = self.longest_pause.max(pause);
    }

    /// What waits for a shard's claim to be seen standing at that time or later, or for its end.
    fn unpark(&mut self, shard: ShardId, ready: impl Fn(&Parked) -> bool) -> Vec<Parked> {
        let all = std::mem::take(&mut self.parked);
        let (out, left) = all.into_iter().partition(|parked| parked.shard == shard && ready(parked));
        self.parked = left;
        out
    }
}

impl StateWork {
    /// The claim whose standing was a condition of it, if it was a transaction of a holder.
    fn is_under(&self) -> Option<(ShardId, Revision)> {
        match self {
            StateWork::Accept { shard, claim, .. }
            | StateWork::Job { shard, claim, .. }
            | StateWork::Waiting { shard, claim, .. }
            | StateWork::Adopt { shard, claim, .. }
            | StateWork::Forget { shard, claim, .. }
            | StateWork::Move { shard, claim, .. }
            | StateWork::SettleLimits { shard, claim, .. }
            | StateWork::Pulse { shard, claim } => Some((*shard, *claim)),
            _ => None,
        }
    }
}

impl Controller {
    /// What this node was given by the state service stands, and so does the claim on the shard.
    pub(super) fn decides(&self, shard: ShardId) -> bool {
        self.entitled() && self.shards.get(&shard).is_some_and(|shard| shard.decides(self.now))
    }

    /// The same for what users are told from memory.
    pub(super) fn tells(&self, shard: ShardId) -> bool {
        self.decides(shard) && self.shards.get(&shard).is_some_and(|shard| shard.right.tells(self.now))
    }

    /// Workers' leases are renewed for a grace after the end of the right, see `grace`.
    pub(super) fn may_renew(&self, shard: ShardId) -> bool {
        let (Some(hold), Some(shard)) = (&self.hold, self.shards.get(&shard)) else { return false };
        let ends = [shard.right.decides_until(), shard.giving_up].into_iter().flatten();
        self.now < ends.fold(hold.right_until, Time::min) + self.grace()
    }

    /// Notes what an answer of the state service says of this node and of its claims. Gives back what is not to be
    /// put aside.
    pub(super) fn screen(
        &mut self,
        sent: Time,
        work: StateWork,
        answer: Result<StateAnswer, CallError>,
    ) -> Option<(StateWork, Result<StateAnswer, CallError>)> {
        if matches!(answer, Ok(_) | Err(CallError::Refused { over_limit: true })) {
            self.standby.state_answered(self.now);
        }
        if let (Ok(StateAnswer::Committed(_)), Some((shard, claim))) = (&answer, work.is_under()) {
            self.claim_stood(shard, claim, sent);
        }
        let held = match (&work, &answer) {
            (StateWork::ReadNoted { shard, claim, .. }, Ok(StateAnswer::Found(_)))
            | (StateWork::Job { shard, claim, work: ledger::JobWrite::Reread, .. }, Ok(StateAnswer::Found(_)))
            | (StateWork::Waiting { shard, claim, work: WaitingWrite::Reread, .. }, Ok(StateAnswer::Found(_)))
            | (StateWork::FetchMachine { shard, claim }, Ok(StateAnswer::Found(_))) => Some((*shard, *claim)),
            (StateWork::Lookup(_), Ok(StateAnswer::Found(entry))) if entry.key.starts_with(records::LIVE) => {
                let shard = entry.value.get("home").or_else(|| entry.value.get("shard"));
                let shard = shard.and_then(serde_json::Value::as_u64);
                let shard = shard.and_then(|shard| self.shards.get(&ShardId(shard as u32)));
                shard.map(|shard| (shard.id, shard.claim))
            }
            _ => None,
        };
        match held {
            Some((shard, claim)) if !self.stood_now(shard, claim) => {
                self.park(shard, claim, Finding::State(work, answer));
                None
            }
            _ => Some((work, answer)),
        }
    }

    /// Whether what is read at this moment counts at once: the shard is held, and nobody can have replaced this
    /// node without its having noticed; or it is not held under that claim any more, which the reader will see.
    fn stood_now(&mut self, shard: ShardId, claim: Revision) -> bool {
        let now = self.now;
        self.shard_under(shard, claim).is_none_or(|shard| shard.right.stood_at(now))
    }

    /// Puts a deletion that the cloud has confirmed aside, until it is certain that what is concluded from it is
    /// still this node's to conclude: what ran there might be started anew by two nodes.
    pub(super) fn screen_deletion(
        &mut self,
        work: CloudWork,
        answer: Result<CloudAnswer, CallError>,
    ) -> Option<(CloudWork, Result<CloudAnswer, CallError>)> {
        match &work {
            CloudWork::Delete { shard, claim, .. } if answer.is_ok() && !self.stood_now(*shard, *claim) => {
                let (shard, claim) = (*shard, *claim);
                self.park(shard, claim, Finding::Cloud(work, answer));
                None
            }
            _ => Some((work, answer)),
        }
    }

    fn park(&mut self, shard: ShardId, claim: Revision, what: Finding) {
        self.standby.parked.push(Parked { shard, claim, at: self.now, what });
        self.ask_claim(shard);
    }

    /// Reads the shard's key, to see whether the claim still stands.
    pub(super) fn ask_claim(&mut self, shard: ShardId) {
        let Some(claim) = self.shards.get(&shard).map(|shard| shard.claim) else { return };
        if self.standby.confirming.insert(shard) {
            let work = StateWork::Confirm { shard, claim };
            self.call_state(StateCall::Get(records::shard_key(shard)), work);
        }
    }

    pub(super) fn claim_read(
        &mut self,
        shard: ShardId,
        claim: Revision,
        sent: Time,
        answer: Result<StateAnswer, CallError>,
    ) {
        self.standby.confirming.remove(&shard);
        match answer {
            Ok(StateAnswer::Found(entry)) if entry.version == claim => self.claim_stood(shard, claim, sent),
            // Takes note of the newer claim, and lets go.
            Ok(StateAnswer::Found(entry)) => self.shard_seen(shard, &entry, sent),
            _ => {}
        }
    }

    /// The shard's key was at this claim when a question sent at that time was answered.
    pub(super) fn claim_stood(&mut self, id: ShardId, claim: Revision, sent: Time) {
        let Some(shard) = self.shard_under(id, claim) else { return };
        shard.right.confirm(sent);
        let ready = self.standby.unpark(id, |parked| parked.claim != claim || parked.at <= sent);
        self.resume(ready);
        self.begin_serving(id);
        // Something was read since, and the question was asked before it.
        if self.standby.parked.iter().any(|parked| parked.shard == id) {
            self.ask_claim(id);
        }
    }

    fn resume(&mut self, parked: Vec<Parked>) {
        for Parked { what, .. } in parked {
            match what {
                Finding::State(work, answer) => self.state_done(work, answer),
                Finding::Cloud(work, answer) => self.cloud_done(work, answer),
            }
        }
    }

    /// A shard was let go: what was put aside for it is answered as it is for a node that does not hold it.
    pub(super) fn resume_dropped(&mut self, id: ShardId) {
        let left = self.standby.unpark(id, |_| true);
        self.resume(left);
    }

    pub(super) fn standby_tick(&mut self, pause: Span) {
        let now = self.now;
        self.standby.ticked(now, pause);
        if self.standby.terms.is_none() {
            return;
        }
        let waiting: Vec<ShardId> = self.standby.parked.iter().map(|parked| parked.shard).collect();
        waiting.into_iter().for_each(|shard| self.ask_claim(shard));
        self.show_pulse();
        self.suspect_holders();
    }

    /// While some node may not hear this one, it shows in the state service that it lives.
    fn show_pulse(&mut self) {
        let now = self.now;
        let due = now.since(self.standby.last_pulse) >= PULSE;
        if !due || !self.entitled() || !self.members.is_parted(now, PARTED) {
            return;
        }
        // One is enough: whoever replaces this node looks at all the shards that it holds.
        let Some(shard) = self.shards.values().next() else { return };
        let (id, claim, key) = (shard.id, shard.claim, records::pulse_key(shard.id));
        self.standby.last_pulse = now;
        let record = to_value(&PulseRecord { node: self.cfg.label.clone() });
        let request = StateCall::Commit {
            conditions: vec![(records::shard_key(id), claim), (key.clone(), self.members.pulse_version(id))],
            changes: vec![Change::Put { key, value: record, hold: None }],
        };
        self.call_state(request, StateWork::Pulse { shard: id, claim });
    }

    pub(super) fn pulse_shown(&mut self, shard: ShardId, answer: Result<StateAnswer, CallError>) {
        if let Ok(StateAnswer::Committed(version)) = answer {
            self.members.pulse(shard, version, self.now);
        }
    }

    fn suspect_holders(&mut self) {
        let now = self.now;
        if !self.entitled() || self.reluctant() {
            return;
        }
        let holders: Vec<NodeLabel> = self.members.peers().map(|(node, _)| node.clone()).collect();
        for node in holders {
            let held: Vec<ShardId> = self.members.held_by(&node).map(|(shard, _)| shard).collect();
            let Some(alive) = self.members.alive(&node, now) else { continue };
            let wrong = held.iter().filter_map(|shard| self.members.holding(*shard));
            let wrong = wrong.map(|holding| holding.wrong_suspicions(now)).max().unwrap_or(0);
            if held.is_empty() || held.iter().any(|shard| self.claiming(*shard)) {
                continue;
            }
            let peer = self.members.peer(&node).filter(|peer| now.since(peer.seen) < FRESH);
            let signs = Signs {
                alive,
                state_quiet: peer.map(|peer| peer.word.state_quiet),
                alone: self.members.heard(now).all(|(other, _)| *other == node),
                rank: self.members.rank(&node, now),
                wrong,
            };
            let Some(suspicion) = self.standby.suspicions.get_mut(&node) else { continue };
            match suspicion.step(now, &signs, &self.standby.own) {
                Step::Nothing => {}
                Step::Ask => self.probe(&node),
                Step::Fence(sign) => {
                    let span = match sign {
                        Sign::Silence => now.since(alive),
                        Sign::StateLost => signs.state_quiet.unwrap_or_default(),
                    };
                    self.fence(&node, held, sign, span)
                }
            }
        }
    }

    /// Asks a holder directly, at the address at which users and workers reach it.
    fn probe(&mut self, node: &NodeLabel) {
        let call = self.call_no();
        match self.standby.fronts.get(node).copied() {
            Some(addr) => {
                log::debug!("{node} is asked whether it is there");
                self.standby.probes.insert(call, node.clone());
                self.out.push(Action::Probe { call, addr });
            }
            // Nobody knows where: then the question counts as unanswered when its time is over.
            None => log::debug!("{node} can't be asked"),
        }
    }

    /// Replaces the claims of a holder that is lost. If it shows itself meanwhile, its pulse has another version.
    fn fence(&mut self, node: &NodeLabel, held: Vec<ShardId>, sign: Sign, span: Span) {
        let pulses: Vec<(String, Revision)> =
            held.iter().map(|shard| (records::pulse_key(*shard), self.members.pulse_version(*shard))).collect();
        for shard in held {
            let Some(holding) = self.members.holding(shard) else { continue };
            let (Some(terms), claim) = (holding.terms, holding.claim) else { continue };
            let ms = span.as_millis();
            log::warn!(
                "shard {shard}: its holder {node} is {sign} (for {ms} ms) and is replaced before its claim {claim} ends"
            );
            let life = holding.life;
            self.claim(shard, claim, How::Fenced { node: node.clone(), life, terms, pulses: pulses.clone() });
        }
    }

    /// Whether the checks before the first decision under a claim hold, now that all records have been read. A
    /// failed one is named, and what it waits for is asked for.
    pub(super) fn checks_hold(&mut self, id: ShardId) -> bool {
        let now = self.now;
        let left = self.hold.as_ref().map_or(Span::ZERO, |hold| hold.right_until.since(now));
        let (pause, catalog) = (self.standby.longest_pause, self.cloud.catalog.is_some());
        let Some(shard) = self.shards.get_mut(&id) else { return false };
        let Some(read_at) = shard.read_at else { return false };
        let facts = crowstall_standby::Facts {
            claim_stands: shard.right.stood_at(read_at),
            right_left: shard.right.decides_until().map_or(left, |until| until.since(now).min(left)),
            longest_pause: pause,
            same_limits: shard.same_limits,
            catalog,
        };
        let missing = shard.checklist.missing(now, &facts);
        if missing.contains(&Check::Pace) {
            // Whatever may have happened meanwhile shows in the claim.
            shard.read_at = Some(now);
            self.standby.longest_pause = Span::ZERO;
        }
        if !missing.is_empty() {
            let names: Vec<String> = missing.iter().map(Check::to_string).collect();
            log::debug!("shard {id}: nothing is decided before it holds that {}", names.join(", "));
            self.ask_claim(id);
        } else if let Some(shard) = self.shards.get(&id) {
            let times = shard.checklist.times().map(|(check, took)| match took {
                Some(took) => format!("{check}: {} ms", took.as_millis()),
                None => format!("{check}: no"),
            });
            log::info!("shard {id} checked: {}", times.collect::<Vec<_>>().join("; "));
        }
        missing.is_empty()
    }
}

/// How a claim comes about.
pub(super) enum How {
    /// Nobody holds the shard.
    Free,
    /// It takes this node's own claim over, its own from before it was started anew if `former`.
    Own { former: bool },
    /// Its holder is replaced before its claim has run out.
    Fenced { node: NodeLabel, life: u64, terms: Terms, pulses: Vec<(String, Revision)> },
}

impl How {
    /// Whom the claim replaces early, and what both have to wait for.
    pub fn replaces(&self) -> Option<(Terms, (NodeLabel, u64))> {
        match self {
            How::Fenced { node, life, terms, .. } => Some((*terms, (node.clone(), *life))),
            _ => None,
        }
    }
}

/// What a claim leaves to the next one, as last read.
pub(super) fn waits_for(last: &LastRecord, how: &How) -> Option<Terms> {
    match (how.replaces(), last.overlap) {
        (Some((terms, _)), Some(before)) => Some(terms.or_longer(before)),
        (Some((terms, _)), None) => Some(terms),
        (None, before) => before,
    }
}
