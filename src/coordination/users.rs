//! Submitting, asking and cancelling.

use super::pipelines::{NewParts, new_record};
use super::shard::Job;
use super::*;
use crate::bookkeeping::records::{self, EndRecord, LiveRecord, to_value};
use crate::protocol::peers::SPEAKS_WAITING;
use crate::protocol::state::Change;
use crate::protocol::users::{BadJob, JobState, JobView};

/// A look into the records for a job that is not in memory here.
pub(super) struct Lookup {
    asker: Asker,
    job: JobId,
    then: Then,
    /// `live` was not there; now `end` is read. In that order a job that ends meanwhile is seen.
    at_end: bool,
    /// When the read of `live` was sent.
    sent: Time,
}

/// For how long a record that was read counts, at the most: far shorter than the newest ends are kept in memory.
const FRESH: Span = Span::millis(10_000);

pub(super) enum Then {
    Poll,
    /// Told by the records alone, whoever holds the job.
    Walk,
    Cancel,
    Forecast,
    /// A submission that can't be taken, unless it is the retry of an accepted one.
    Refuse(Reply),
    /// A submission whose job is recorded already.
    Known,
}

/// The tasks of a new job that may be started before its record is written again.
const FIRST_STARTS: u32 = super::shard::LOOKAHEAD;

pub(super) fn view(id: &JobId, state: JobState, done: u32, running: u32) -> Reply {
    Reply::json(200, &JobView::new(id, state, done, running))
}

pub(super) fn final_view(id: &JobId, end: &EndRecord) -> Reply {
    let state = match end.state {
        Final::Done => JobState::Done,
        Final::Cancelled => JobState::Cancelled,
    };
    Reply::json(200, &JobView { withdrawn_with: end.cause.clone(), ..JobView::new(id, state, end.done, 0) })
}

/// What a user may be told of the state of a live job, if anything may be told.
pub(super) fn live_state(job: &Job) -> Option<JobState> {
    // While a record of its end is on the way, another node may have read that already. One that is
    // done but waits for its turn to be recorded is still told as running.
    let may_be_read = job.unsure || job.end_outstanding || job.ending.is_some() && job.writing;
    if may_be_read || job.ending == Some(Final::Cancelled) {
        return None;
    }
    let runs = !job.running.is_empty() || job.ending.is_some();
    Some(if runs { JobState::Running } else { JobState::Queued })
}

fn live_view(job: &Job) -> Reply {
    match live_state(job) {
        Some(state) => view(&job.spec.id, state, job.done.len(), job.running.len() as u32),
        None => Reply::busy("its record is being written"),
    }
}

impl Controller {
    /// The shard among those held here that has the job in memory.
    pub(super) fn shard_with(&self, job: &JobId) -> Option<ShardId> {
        self.shards.values().find(|shard| shard.is_active() && shard.has(job)).map(|shard| shard.id)
    }

    pub(super) fn look_up(&mut self, asker: Asker, job: JobId, then: Then) {
        // Reads for users must not eat up what leases and records need.
        if !self.requests.take(self.now, 0.0) {
            return self.reply(asker, Reply::busy("too many questions"));
        }
        let request = StateCall::Get(records::live_key(&job));
        let lookup = Lookup { asker, job, then, at_end: false, sent: self.now };
        self.call_state(request, StateWork::Lookup(Box::new(lookup)));
    }

    pub(super) fn looked_up(&mut self, lookup: Lookup, answer: Result<StateAnswer, CallError>) {
        let Lookup { asker, job, then, at_end, sent } = lookup;
        match answer {
            Ok(StateAnswer::Found(entry)) if at_end => {
                let Ok(end) = serde_json::from_value::<EndRecord>(entry.value) else {
                    return self.reply(asker, Reply::busy("its record can't be read"));
                };
                self.reply(asker, final_view(&job, &end));
                self.ended.insert(job, end);
            }
            Ok(StateAnswer::Found(entry)) => {
                let Ok(record) = serde_json::from_value::<LiveRecord>(entry.value) else {
                    return self.reply(asker, Reply::busy("its record can't be read"));
                };
                self.job_homes.insert(job.clone(), record.decided_in());
                self.found_live(asker, record, entry.version, then, sent);
            }
            Ok(StateAnswer::Missing) if !at_end => {
                let request = StateCall::Get(records::end_key(&job));
                let lookup = Lookup { asker, job, then, at_end: true, sent };
                self.call_state(request, StateWork::Lookup(Box::new(lookup)));
            }
            Ok(StateAnswer::Missing) => {
                self.job_homes.remove(&job);
                let reply = match then {
                    Then::Refuse(reply) => reply,
                    Then::Known => Reply::busy("try again"),
                    Then::Poll | Then::Walk | Then::Cancel | Then::Forecast => Reply::error(404, "no such job"),
                };
                self.reply(asker, reply);
            }
            _ => self.reply(asker, Reply::busy("state not reachable")),
        }
    }

    /// The record of a job that was not in memory says that it is live.
    fn found_live(&mut self, asker: Asker, record: LiveRecord, version: Revision, then: Then, sent: Time) {
        let (id, shard_id) = (record.job.id.clone(), record.decided_in());
        if let Some(end) = self.ended.jobs.get(&id) {
            // It has ended since the record was read.
            let reply = final_view(&id, end);
            return self.reply(asker, reply);
        }
        if matches!(then, Then::Walk) {
            return self.walk(asker, &record);
        }
        if self.decides(shard_id) && self.shards.get(&shard_id).is_some_and(|shard| shard.is_active()) {
            // An acceptance whose answer was lost.
            if !self.take_in_read(shard_id, record, version, sent, "found in the records") {
                return self.look_up(asker, id, then);
            }
            return match then {
                Then::Cancel => self.cancel_here(asker, shard_id, id),
                Then::Forecast => self.forecast_here(asker, shard_id, id),
                _ => self.poll_here(asker, shard_id, id),
            };
        }
        match then {
            Then::Cancel => self.pass_on(asker, shard_id, PeerAsk::Cancel(id)),
            Then::Forecast => self.pass_on(asker, shard_id, PeerAsk::Forecast(id)),
            _ if record.is_waiting() => self.walk(asker, &record),
            _ => {
                let done = crate::bookkeeping::ranges::RangeSet::parse(&record.done, record.job.tasks);
                let done = done.map_or(0, |done| done.len());
                let state = if done > 0 { JobState::Running } else { JobState::Queued };
                self.reply(asker, view(&id, state, done, 0));
            }
        }
    }

    /// Takes in a job that is not in memory here, as its record was when a request sent at that time was answered. Gives
    /// back whether that told how the job stands.
    ///
    /// It was written under this claim, or it would have been loaded, so nothing of it has been started. But what was
    /// read may be outdated: an answer may take long, and wait for the claim to be seen standing. The job may have
    /// become known in another way since, and have ended, or have ended before the claim: taken in once more it
    /// would be started after its user was told that it is over.
    fn take_in_read(
        &mut self,
        shard_id: ShardId,
        record: LiveRecord,
        version: Revision,
        sent: Time,
        how: &str,
    ) -> bool {
        let now = self.now;
        let has_ended = self.ended.jobs.contains_key(&record.job.id);
        let Some(shard) = self.shards.get_mut(&shard_id) else { return false };
        if has_ended || shard.has(&record.job.id) {
            return true;
        }
        let is_fresh = shard.read_at.is_some_and(|read_at| sent >= read_at) && now.since(sent) < FRESH;
        if is_fresh {
            log::info!("job {} {how}", record.job.id);
            shard.take_in(record, version, now);
        }
        is_fresh
    }

    /// Where a job should be, if anywhere.
    fn home_of_job(&self, job: &JobId) -> Option<ShardId> {
        self.job_homes.get(job).copied().or(self.only_shard())
    }

    /// Lets the shard's holder answer.
    pub(super) fn pass_on(&mut self, asker: Asker, shard: ShardId, ask: PeerAsk) {
        let Asker::Local(id) = asker else {
            return self.reply(asker, Reply::busy("not held here"));
        };
        match self.live_holder(shard) {
            Some(to) => {
                self.next_call += 1;
                let number = self.next_call;
                let (what, timeout) = match &ask {
                    PeerAsk::Submit(spec) | PeerAsk::SubmitWaiting(spec) => {
                        (Passed::Submission(spec.clone()), SUBMIT_TIMEOUT)
                    }
                    PeerAsk::Poll(job) => (Passed::Poll(job.clone()), FORWARD_TIMEOUT),
                    PeerAsk::Cancel(job) | PeerAsk::Forecast(job) => (Passed::Question(job.clone()), FORWARD_TIMEOUT),
                    PeerAsk::Report(_) => (Passed::Report, FORWARD_TIMEOUT),
                };
                self.forwarded.insert(number, Forwarded { ask: id, until: self.now + timeout, what });
                self.out.push(Action::Send { to, message: PeerMessage::Ask { number, shard, ask } });
            }
            None => match ask {
                PeerAsk::Submit(spec) | PeerAsk::SubmitWaiting(spec) => self.submit_from_afar(asker, *spec),
                PeerAsk::Report(_) => self.reply(asker, worker_protocol::elsewhere(None)),
                _ => self.reply(asker, Reply::busy("its shard is changing hands")),
            },
        }
    }

    /// The other node that holds a shard, if it was heard of lately.
    pub(super) fn live_holder(&self, shard: ShardId) -> Option<NodeLabel> {
        let holder = self.holder_of(shard)?;
        let peer = self.members.peer(holder)?;
        peer.is_heard(self.now).then(|| holder.clone())
    }

    pub(super) fn poll(&mut self, asker: Asker, job: JobId) {
        self.ask_holder(asker, job, Self::poll_here, PeerAsk::Poll, Then::Poll);
    }

    /// A question about a job: answered here if it is in memory, else by its shard's holder, else from the
    /// records.
    fn ask_holder(
        &mut self,
        asker: Asker,
        job: JobId,
        here: fn(&mut Self, Asker, ShardId, JobId),
        ask: fn(JobId) -> PeerAsk,
        then: Then,
    ) {
        if let Some(reply) = self.ended_view(&job) {
            return self.reply(asker, reply);
        }
        if let Some(shard) = self.shard_with(&job) {
            return here(self, asker, shard, job);
        }
        match self.home_of_job(&job) {
            Some(shard) if !self.shards.contains_key(&shard) && self.live_holder(shard).is_some() => {
                self.pass_on(asker, shard, ask(job))
            }
            _ => self.look_up(asker, job, then),
        }
    }

    pub(super) fn poll_here(&mut self, asker: Asker, shard: ShardId, job: JobId) {
        if let Some(reply) = self.ended_view(&job) {
            return self.reply(asker, reply);
        }
        if !self.tells(shard) {
            return self.reply(asker, Reply::busy("no fresh state"));
        }
        let held = self.shards.get(&shard);
        match held.and_then(|shard| shard.jobs.get(&job)) {
            Some(job) => self.reply(asker, live_view(job)),
            None if held.is_some_and(|shard| shard.has(&job)) => self.waiting_view(asker, shard, job),
            None => self.look_up(asker, job, Then::Poll),
        }
    }

    /// A job's forecast, as its shard's holder has it; of one that is over, its state.
    pub(super) fn forecast(&mut self, asker: Asker, job: JobId) {
        if self.forecasts.is_none() {
            return self.reply(asker, Reply::error(404, "forecasts are off"));
        }
        self.ask_holder(asker, job, Self::forecast_here, PeerAsk::Forecast, Then::Forecast);
    }

    pub(super) fn forecast_here(&mut self, asker: Asker, shard: ShardId, job: JobId) {
        if self.forecasts.is_none() {
            return self.reply(asker, Reply::error(404, "forecasts are off here"));
        }
        let waits = self.shards.get(&shard).is_some_and(|shard| shard.pipelines.contains(&job));
        if self.ended.jobs.contains_key(&job) || waits {
            return self.poll_here(asker, shard, job);
        }
        if !self.tells(shard) {
            return self.reply(asker, Reply::busy("no fresh state"));
        }
        match self.shards.get(&shard).is_some_and(|shard| shard.jobs.contains_key(&job)) {
            true => self.forecast_live(asker, shard, &job),
            false => self.look_up(asker, job, Then::Forecast),
        }
    }

    pub(super) fn cancel(&mut self, asker: Asker, job: JobId) {
        if let Some(reply) = self.ended_view(&job) {
            return self.reply(asker, reply);
        }
        if let Some(shard) = self.shard_with(&job) {
            return self.cancel_here(asker, shard, job);
        }
        match self.job_homes.get(&job).copied() {
            Some(shard) if !self.shards.contains_key(&shard) => self.pass_on(asker, shard, PeerAsk::Cancel(job)),
            _ => self.look_up(asker, job, Then::Cancel),
        }
    }

    pub(super) fn cancel_here(&mut self, asker: Asker, shard_id: ShardId, id: JobId) {
        if let Some(reply) = self.ended_view(&id) {
            return self.reply(asker, reply);
        }
        let (now, decides) = (self.now, self.decides(shard_id));
        let Some(shard) = self.shards.get_mut(&shard_id).filter(|shard| shard.is_active()) else {
            return self.reply(asker, Reply::busy("not held here"));
        };
        // Nothing that its tasks still do is of use to anybody: they are stopped, by whatever right.
        if let Some(job) = shard.jobs.get_mut(&id)
            && job.ending.is_none()
        {
            job.ending = Some(Final::Cancelled);
            self.stop_unstarted(shard_id, &id);
        }
        if !decides {
            return self.reply(asker, Reply::busy("no right to"));
        }
        let Some(shard) = self.shards.get_mut(&shard_id) else {
            return self.reply(asker, Reply::busy("not held here"));
        };
        let waits = shard.overlap.as_ref().is_some_and(|overlap| !overlap.may_record_cancelled(now));
        if shard.pipelines.contains(&id) {
            return self.cancel_waiting(asker, shard_id, id, waits);
        }
        let Some(job) = shard.jobs.get_mut(&id) else { return self.look_up(asker, id, Then::Cancel) };
        if waits {
            return self.reply(asker, Reply::busy("its former holder may not know yet that it was replaced"));
        }
        job.cancel_askers.push(asker);
        self.write_end(shard_id, &id);
    }

    /// A submission that is not valid.
    pub(super) fn refuse(&mut self, asker: Asker, bad: BadJob) {
        let reply = Reply::error(400, &bad.why);
        match bad.id {
            Some(id) => self.known_or(asker, id, reply),
            None => self.reply(asker, reply),
        }
    }

    /// Refuses a submission for good, unless its job was accepted before.
    pub(super) fn known_or(&mut self, asker: Asker, id: JobId, refusal: Reply) {
        if let Some(reply) = self.ended_view(&id) {
            return self.reply(asker, reply);
        }
        match self.shard_with(&id) {
            Some(shard) => self.poll_here(asker, shard, id),
            None => self.look_up(asker, id, Then::Refuse(refusal)),
        }
    }

    pub(super) fn submit(&mut self, asker: Asker, spec: JobSpec) {
        let id = spec.id.clone();
        if let Some(reply) = self.ended_view(&id) {
            return self.reply(asker, reply);
        }
        if let Some(shard) = self.shard_with(&id) {
            return self.poll_here(asker, shard, id);
        }
        if self.cloud.catalog.is_none() {
            return self.reply(asker, Reply::busy("machine types not known yet"));
        }
        if let Err(why) = self.can_ever_run(&spec) {
            return self.known_or(asker, id, Reply::error(422, why));
        }
        match self.shard_for(&spec) {
            Some(shard) if self.shards.get(&shard).is_some_and(|mine| mine.is_active()) => {
                self.submit_here(asker, shard, spec)
            }
            Some(shard) if self.shards.contains_key(&shard) => self.submit_from_afar(asker, spec),
            Some(shard) => {
                self.job_homes.insert(id, shard);
                if spec.prerequisites.is_empty() {
                    return self.pass_on(asker, shard, PeerAsk::Submit(Box::new(spec)));
                }
                // An older version would take it for a job that waits for nobody.
                let holder = self.holder_of(shard).and_then(|holder| self.members.peer(holder));
                match holder.is_some_and(|peer| peer.word.speaks >= SPEAKS_WAITING) {
                    true => self.pass_on(asker, shard, PeerAsk::SubmitWaiting(Box::new(spec))),
                    false => self.submit_from_afar(asker, spec),
                }
            }
            None => self.reply(asker, Reply::busy("no shard to put it in")),
        }
    }

    fn can_ever_run(&self, spec: &JobSpec) -> Result<(), &'static str> {
        let Some(limits) = self.cfg.teams.get(&spec.team) else { return Err("unknown team") };
        let types = self.cloud.catalog.iter().flatten();
        let fits = |kind: &MachineType| {
            spec.allows_type(&kind.name)
                && spec.needs.fits_in(&kind.room)
                && spec.zone.as_ref().is_none_or(|zone| kind.zones.contains(zone))
        };
        if !types.into_iter().any(fits) {
            return Err("fits no allowed machine type");
        }
        let count = if spec.kind == JobKind::Service { u64::from(spec.tasks) } else { 1 };
        let over = |need: Amount, most: Option<Amount>| most.is_some_and(|most| need.0 * count > most.0);
        if over(spec.needs.cpus, limits.cpus_max) || over(spec.needs.gpus, limits.gpus_max) {
            return Err("needs more than the team's limit");
        }
        Ok(())
    }

    /// A team's jobs all go to one shard. A limited team's quota is kept in one place that way;
    /// and all jobs of a team can use all machines that work for it, while machines that are
    /// partly full could not follow the work from shard to shard.
    fn shard_for(&self, spec: &JobSpec) -> Option<ShardId> {
        let place = self.cfg.teams.keys().position(|team| *team == spec.team)?;
        Some(ShardId(place as u32 % self.cfg.team_shards()))
    }

    pub(super) fn submit_here(&mut self, asker: Asker, shard_id: ShardId, spec: JobSpec) {
        let id = spec.id.clone();
        if let Some(reply) = self.ended_view(&id) {
            return self.reply(asker, reply);
        }
        if self.shards.get(&shard_id).is_some_and(|shard| shard.is_active() && shard.has(&id)) {
            return self.poll_here(asker, shard_id, id);
        }
        match spec.prerequisites.is_empty() {
            true => self.accept_here(asker, shard_id, spec),
            false => self.check_needs(asker, shard_id, spec, false),
        }
    }

    /// Accepts a job that is new here and all of whose needs were accepted.
    pub(super) fn accept_here(&mut self, asker: Asker, shard_id: ShardId, spec: JobSpec) {
        let entitled = self.decides(shard_id);
        let Some(shard) = self.shards.get(&shard_id).filter(|shard| shard.is_active() && entitled) else {
            return self.reply(asker, Reply::busy("the shard is not ready"));
        };
        if shard.has(&spec.id) {
            // It came twice, and the other was quicker.
            return self.poll_here(asker, shard_id, spec.id);
        }
        let claim = shard.claim;
        self.write_accept(asker, shard_id, claim, spec, false);
    }

    /// What is told of a job that is known here to have ended.
    fn ended_view(&self, id: &JobId) -> Option<Reply> {
        self.ended.jobs.get(id).map(|end| final_view(id, end))
    }

    /// Accepts a job for a shard whose holder can't be asked: it is between two holders, or the
    /// network between the nodes is down. The record is bound to the shard's key just as it stands,
    /// held or not; whoever holds the shard next loads it, and who holds it now finds the note.
    pub(super) fn submit_from_afar(&mut self, asker: Asker, spec: JobSpec) {
        let Some(shard) = self.shard_for(&spec) else {
            return self.reply(asker, Reply::busy("no shard to put it in"));
        };
        match spec.prerequisites.is_empty() {
            true => self.accept_from_afar(asker, shard, spec),
            false => self.check_needs(asker, shard, spec, true),
        }
    }

    pub(super) fn accept_from_afar(&mut self, asker: Asker, shard: ShardId, spec: JobSpec) {
        let Some(view) = self.members.holding(shard).filter(|_| self.hold.is_some()) else {
            return self.reply(asker, Reply::busy("no fresh state"));
        };
        let version = if view.holder.is_some() { view.claim } else { Revision(0) };
        self.write_accept(asker, shard, version, spec, true);
    }

    fn write_accept(&mut self, asker: Asker, shard: ShardId, claim: Revision, spec: JobSpec, from_afar: bool) {
        let id = spec.id.clone();
        if let Some(askers) = self.accepting.get_mut(&id) {
            askers.push(asker);
            return;
        }
        let untouched = spec.tasks.min(FIRST_STARTS);
        let mut record = new_record(shard, spec, self.day_ms, untouched);
        let most = self.cfg.value_bytes.saturating_sub(records::LATER_BYTES);
        let mut left = Vec::new();
        if to_value(&record).to_string().len() > most {
            let needs = std::mem::take(&mut record.job.prerequisites);
            left = (0..).zip(records::parts_of(&needs, self.cfg.value_bytes)).collect();
            record.parts = left.len() as u32;
        }
        if to_value(&record).to_string().len() > most {
            return self.reply(asker, Reply::error(400, "larger than can be recorded"));
        }
        self.accepting.insert(id, vec![asker]);
        self.write_parts(NewParts { shard, claim, record: Box::new(record), from_afar, left });
    }

    /// Commits a new job's record. Whatever of its needs lies in other records is there.
    pub(super) fn commit_accept(&mut self, shard: ShardId, claim: Revision, record: Box<LiveRecord>, from_afar: bool) {
        let id = record.job.id.clone();
        let key = records::live_key(&id);
        let conditions =
            vec![(records::shard_key(shard), claim), (key.clone(), Revision(0)), (records::end_key(&id), Revision(0))];
        let mut changes = vec![Change::Put { key, value: to_value(&record), hold: None }];
        if from_afar {
            let value = serde_json::json!({});
            changes.push(Change::Put { key: records::note_key(shard, &id), value, hold: None });
        }
        self.call_state(StateCall::Commit { conditions, changes }, StateWork::Accept { shard, claim, record });
    }

    /// A job that another node accepted for one of this node's shards.
    pub(super) fn note_seen(&mut self, note: &str, version: Revision) {
        let Some((shard_id, job)) = records::parse_note(note) else { return };
        let Some(shard) = self.shards.get(&shard_id).filter(|shard| shard.is_active()) else { return };
        if !self.decides(shard_id) || self.notes.contains(note) {
            return;
        }
        let claim = shard.claim;
        self.notes.insert(note.to_string());
        if shard.has(&job) || self.ended.jobs.contains_key(&job) {
            return self.remove_note(shard_id, claim, note.to_string(), version);
        }
        let work = StateWork::ReadNoted { shard: shard_id, claim, note: note.to_string(), version, sent: self.now };
        self.call_state(StateCall::Get(records::live_key(&job)), work);
    }

    pub(super) fn noted_read(
        &mut self,
        shard_id: ShardId,
        claim: Revision,
        note: String,
        version: Revision,
        sent: Time,
        answer: Result<StateAnswer, CallError>,
    ) {
        if self.shard_under(shard_id, claim).is_none() {
            self.notes.remove(&note);
            return;
        }
        let is_settled = match answer {
            Ok(StateAnswer::Found(entry)) => match serde_json::from_value::<LiveRecord>(entry.value) {
                Ok(record) if record.decided_in() == shard_id => {
                    self.take_in_read(shard_id, record, entry.version, sent, "was accepted by another node")
                }
                _ => true,
            },
            // It has ended.
            Ok(StateAnswer::Missing) => true,
            _ => false,
        };
        if !is_settled {
            // It is seen again.
            self.notes.remove(&note);
            return;
        }
        self.remove_note(shard_id, claim, note, version);
    }

    fn remove_note(&mut self, shard: ShardId, claim: Revision, note: String, version: Revision) {
        let conditions = vec![(records::shard_key(shard), claim), (note.clone(), version)];
        let request = StateCall::Commit { conditions, changes: vec![Change::Delete(note.clone())] };
        // Whatever comes of it: a note that is still there is seen again.
        self.call_state(request, StateWork::RemoveNote { note });
    }

    /// Tells of a job by what is known of its end, or by the records.
    fn poll_recorded(&mut self, asker: Asker, id: &JobId) {
        match self.ended_view(id) {
            Some(reply) => self.reply(asker, reply),
            None => self.look_up(asker, id.clone(), Then::Walk),
        }
    }

    pub(super) fn accept_answered(
        &mut self,
        shard_id: ShardId,
        claim: Revision,
        record: LiveRecord,
        answer: Result<StateAnswer, CallError>,
    ) {
        let id = record.job.id.clone();
        let askers = self.accepting.remove(&id).unwrap_or_default();
        match answer {
            Ok(StateAnswer::Committed(version)) => {
                let (now, waits) = (self.now, record.is_waiting());
                // It may have been found in the records before this answer came, and have ended.
                let has_ended = self.ended.jobs.contains_key(&id);
                if let Some(shard) = self.shard_under(shard_id, claim)
                    && !has_ended
                    && !shard.has(&id)
                {
                    shard.take_in(record, version, now);
                }
                let mut askers = askers.into_iter();
                if !waits
                    && !has_ended
                    && let Some(first) = askers.next()
                {
                    // Durable, whoever holds the shard by now.
                    self.reply(first, Reply { status: 201, ..view(&id, JobState::Queued, 0, 0) });
                }
                // Who asked later may know more by now: others may have told that it is over. And a job that it
                // needs may have been cancelled: then so is this one, from the start.
                for asker in askers {
                    match self.shards.get(&shard_id).is_some_and(|shard| shard.has(&id)) {
                        true => self.poll_here(asker, shard_id, id.clone()),
                        false => self.poll_recorded(asker, &id),
                    }
                }
            }
            Ok(StateAnswer::Conflict(failed)) if failed.contains(&records::shard_key(shard_id)) => {
                if self.shard_under(shard_id, claim).is_some() {
                    self.drop_shard(shard_id, "the claim is another's");
                }
                for asker in askers {
                    self.reply(asker, Reply::busy("the shard is changing hands"));
                }
            }
            Ok(StateAnswer::Conflict(_)) => {
                for asker in askers {
                    self.look_up(asker, id.clone(), Then::Known);
                }
            }
            // It may be recorded or not; the retry finds out.
            _ => {
                for asker in askers {
                    self.reply(asker, Reply::busy("state not reachable"));
                }
            }
        }
    }
}
