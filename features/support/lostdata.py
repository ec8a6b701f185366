"""Random orders in which the service loses its data and processes are replaced."""

import random

from features.support.bag import Bag, small_cell
from features.support.judge import violations

__all__ = ["LostData"]

AGENTS = 5
FAULT_SECONDS = 5.0
# Longer than the longest freeze, deadline and takeover together.
SETTLE_SECONDS = 16.0


class LostData:
    """A cell under load whose record is lost while owner and agents have faults.

    :ivar faults: what happens, by time.
    """

    def __init__(self, seed: int) -> None:
        self.generator = random.Random(seed)
        self.bag: Bag = small_cell(AGENTS, seed=seed)
        self.bag.fate = self.choose_delays
        self.loss = self.generator.choice((0.0, 0.02, 0.1))
        self.jobs: list = []
        self.faults: list[tuple[float, str]] = []

    def play(self) -> None:
        span = self.generator.uniform
        self.at(0.0, "lose_data")
        self.at(span(0.0, 3.0), "replace_agent")
        self.at(span(-1.0, 4.0), "freeze_owner")
        for name, chance in (
            ("replace_agent", 0.5),
            ("replace_owner", 0.3),
            ("replace_entry", 0.2),
            ("lose_data", 0.2),
            ("service_troubles", 0.5),
            ("isolate_owner", 0.3),
        ):
            if self.generator.random() < chance:
                self.at(span(-1.0, FAULT_SECONDS), name)
        for _ in range(30):
            self.at(span(-1.5, FAULT_SECONDS + 2.0), "submit")
        start = self.bag.now + 1.5
        for at, name in sorted(self.faults):
            self.bag.run(max(0.0, start + at - self.bag.now))
            getattr(self, name)()
        self.bag.run(3.0)
        self.bag.cut.clear()
        self.bag.key_value.down = False
        self.bag.run(SETTLE_SECONDS)

    def at(self, seconds: float, name: str) -> None:
        self.faults.append((seconds, name))

    def find_violations(self) -> list[str]:
        """Return a sentence for each broken promise."""
        return violations(self.bag)

    # Faults.

    def choose_delays(self, sender, receiver, message) -> list[float]:
        if self.generator.random() < self.loss:
            return []
        delays = [0.0005 + self.generator.random() * 0.002]
        if self.generator.random() < self.loss:
            delays.append(self.generator.random() * 3)
        return delays

    def lose_data(self) -> None:
        self.bag.key_value.values.clear()
        if self.generator.random() < 0.3:
            # Its revisions begin anew; whoever has seen the earlier ones refuses it.
            self.bag.key_value.refused_by = set(self.bag.processes)

    def replace_agent(self) -> None:
        owner = self.bag.owner()
        names = [f"worker-{number}" for number in range(AGENTS)]
        self.replace(
            self.generator.choice(
                [name for name in names if owner is None or name != owner.name]
            )
        )

    def replace_owner(self) -> None:
        owner = self.bag.owner()
        if owner is not None:
            self.replace(owner.name)

    def replace(self, name: str) -> None:
        self.bag.kill(name)
        self.bag.run(self.generator.choice((0.0, 0.05, 0.5, 1.5)))
        self.bag.add_agent(name)

    def replace_entry(self) -> None:
        self.bag.kill("entry-1")
        self.bag.add_entry("entry-1")

    def freeze_owner(self) -> None:
        owner = self.bag.owner()
        if owner is not None:
            self.bag.freeze(owner.name, self.generator.uniform(0.1, 3.0))

    def isolate_owner(self) -> None:
        owner = self.bag.owner()
        if owner is not None:
            self.bag.cut_off(owner.name, self.generator.random() < 0.5)

    def service_troubles(self) -> None:
        service = self.bag.key_value
        if self.generator.random() < 0.5:
            service.down = not service.down
        else:
            service.lose_replies += 1

    def submit(self) -> None:
        entry = self.generator.choice(("entry-0", "entry-1"))
        if self.jobs and self.generator.random() < 0.4:
            job = self.generator.choice(self.jobs)
        else:
            tasks = self.generator.choice((1, 1, 3, 20))
            job = self.bag.job(
                tasks=tasks, duration_ms=self.generator.choice((50, 300, 1000))
            )
            self.jobs.append(job)
        self.bag.submit(entry, job, self.generator.choice((800, 3000, 8000)))
