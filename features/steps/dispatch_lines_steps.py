"""Steps that compare the log lines of a random day with what its workers did."""

import collections
from unittest import mock

from behave import given, then

from cactuswalk.dispatch.agentevents import RunEnd
from cactuswalk.dispatch.entryevents import ConfigurationRead
from cactuswalk.dispatch.routing import Queues
from features.support.fleet import SimulatedWorker
from features.support.fleetscript import RandomDay

DAY_SECONDS = 8

ENDED = {
    "a run has ended",
    "a run of an earlier incarnation has ended",
    "stops a run of an earlier incarnation",
    "a task runs again",
}
ANSWERED = {"a job is answered", "refuses a job"}


class Observed:
    """A random day, and what its workers did, recorded independently of the logs."""

    def __init__(self, seed):
        self.ends = []
        self.incarnations = set()
        finish, start = SimulatedWorker.finish, SimulatedWorker.start

        def note_end(worker, run, how, at):
            self.ends.append((run.key, how))
            finish(worker, run, how, at)

        def note_start(worker, effect, sent_at, now):
            self.incarnations.add(worker.identifier)
            return start(worker, effect, sent_at, now)

        with (
            mock.patch.object(SimulatedWorker, "finish", note_end),
            mock.patch.object(SimulatedWorker, "start", note_start),
        ):
            self.day = RandomDay(seed)
            self.day.play(DAY_SECONDS)
        fleet = self.day.fleet
        for name in fleet.entry_names:
            fleet.deliver(name, ConfigurationRead(Queues(2, fleet.queues, 1 << 20)))
        self.said = [
            (name, effect.sentence, effect.fields) for _, name, effect in fleet.lines
        ]

    def jobs_of(self, sentences):
        return collections.Counter(
            fields["job"] for _, sentence, fields in self.said if sentence in sentences
        )

    def was_done_for_a_dead_entry(self, key):
        """Return whether all runs of a task succeeded and its job was resubmitted.

        The entry that would have logged the first run's end was killed before. The
        caller submits the job again at an entry that does not know the first run.
        """
        ends = {how for ended, how in self.ends if ended == key}
        calls = [call for call in self.day.calls if call[2] == key.job]
        return ends == {RunEnd.DONE} and len(calls) > 1


@given(
    "the logs of random days {first:d} to {last:d}, and a new configuration after each"
)
def step_days(context, first, last):
    context.days = [Observed(seed) for seed in range(first, last + 1)]


@then("each refused or unfinished job has a log line with the reason")
def step_answers(context):
    found = 0
    for observed in context.days:
        reasons = {
            fields["job"]
            for _, sentence, fields in observed.said
            if sentence in ANSWERED and fields["reason"]
        }
        for waiter, _, identifier, *_ in observed.day.calls:
            answer = observed.day.fleet.answers.get(waiter)
            if answer is None or answer[1].verdict.value == "completed":
                continue
            found += 1
            assert identifier in reasons, identifier
    assert found > 20, found


@then("each refusal for lack of capacity logs the known capacity and its age")
def step_room(context):
    refused = [
        fields
        for observed in context.days
        for _, sentence, fields in observed.said
        if sentence == "a job is answered" and fields["reason"] == "no capacity in time"
    ]
    assert len(refused) > 20, len(refused)
    names = {"open_workers", "free_cpu", "most_free_cpu", "oldest_report"}
    assert all(names <= fields.keys() for fields in refused)


@then("each run that did not succeed has a log line")
def step_ends(context):
    found = 0
    for observed in context.days:
        lines = observed.jobs_of(ENDED)
        for key, how in observed.ends:
            if how is RunEnd.DONE:
                continue
            found += 1
            assert lines[key.job], (key, how)
    assert found > 50, found


@then("each further run of a task has a log line")
def step_further(context):
    found = 0
    for observed in context.days:
        lines = observed.jobs_of(ENDED)
        starts = collections.Counter(key for _, key, _, _ in observed.day.fleet.starts)
        for key, count in starts.items():
            if count > 1:
                found += 1
                assert lines[key.job] or observed.was_done_for_a_dead_entry(key), key
    assert found > 50, found


@then("each incarnation of a worker that ran tasks has a log line")
def step_lives(context):
    for observed in context.days:
        met = {
            fields["worker"]
            for _, sentence, fields in observed.said
            if sentence == "found a worker"
        }
        assert observed.incarnations <= met, observed.incarnations - met


@then("each entry has a log line about the new configuration")
def step_configuration(context):
    for observed in context.days:
        told = {
            name
            for name, sentence, fields in observed.said
            if sentence == "a configuration is in force" and fields["version"] == 2
        }
        fleet = observed.day.fleet
        assert told == set(fleet.entry_names) - fleet.dead, told
