"""What the states of the entry's and the agent's reducers have in common."""

import math

from cactuswalk.dispatch.effects import Effect, Observe, Say, SendMessage
from cactuswalk.dispatch.loadpolicy import DEFAULT_LOAD_POLICY
from cactuswalk.dispatch.messages import Message

__all__ = ["ReducerState"]


class ReducerState:
    """Collects the effects of an event, until the reducer returns them.

    :ivar policy: the decisions under load that the settings switch on.
    :ivar started_at: when the process started; infinite if that is not measured.
    :ivar phases: the phases of its start that it has reached.
    :ivar ticked_at: when the periodic timer fired last.
    :ivar logs_debug: whether lines of the level ``debug`` are written.
    :ivar pauses: number of late ticks that have not been logged; ``longest_pause`` in
        seconds.
    """

    def __init__(self) -> None:
        self.effects: list[Effect] = []
        self.policy = DEFAULT_LOAD_POLICY
        self.started_at = math.inf
        self.phases: set[str] = set()
        self.ticked_at = math.inf
        self.logs_debug = True
        self.pauses = 0
        self.longest_pause = 0.0
        self.pause_logged_at = -math.inf

    def take_effects(self) -> list[Effect]:
        """Return the collected effects, and collect anew."""
        effects, self.effects = self.effects, []
        return effects

    def send(self, address: str, message: Message) -> None:
        """Send a message to a process."""
        self.effects.append(SendMessage(address, message))

    def say(self, sentence: str, **fields: object) -> None:
        """Write a log line: a sentence and the values that led to it."""
        self.effects.append(Say(sentence, fields))

    def say_debug(self, sentence: str, **fields: object) -> None:
        """Write a log line at the level ``debug``, if such lines are written."""
        if self.logs_debug:
            self.effects.append(Say(sentence, fields, "debug"))

    def reach_phase(self, phase: str, now: float) -> None:
        """Log and measure when a phase of the start is reached for the first time."""
        if phase in self.phases or self.started_at == math.inf:
            return
        self.phases.add(phase)
        seconds = round(now - self.started_at, 3)
        self.say("has reached a phase of its start", phase=phase, seconds=seconds)
        self.observe("startup_seconds", phase, seconds)

    def observe(self, name: str, label: str = "", seconds: float | None = None) -> None:
        """Count an event, or record a duration."""
        self.effects.append(Observe(name, label, seconds))
