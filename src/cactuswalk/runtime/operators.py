"""Connects the operators' HTTP interface to the state of an entry."""

import asyncio
import itertools
import time

from cactuswalk.http.operators import OperatorsInterface
from cactuswalk.http.operators_store import ConfigurationKeys
from cactuswalk.messages import ConfigurationUpdate
from cactuswalk.model import Job, TaskSpec
from cactuswalk.model.configuration import JobTemplate
from cactuswalk.model.holding import SLOT_COUNT, count_open_slots
from cactuswalk.observations import Log, Part
from cactuswalk.runtime.application import Application
from cactuswalk.state.configuration import NodesInForce, count_in_force
from cactuswalk.state.effects import ReplyExplanation
from cactuswalk.state.entry import EntryState
from cactuswalk.state.events import ConfigurationChanged, ExplainRequested
from cactuswalk.state.listening import is_silent

__all__ = ["OperatorsAdapter"]


class OperatorsAdapter:
    """Answers requests of the operators' interface from an entry's state.

    :param operators: names of operators, by the SHA-256 of their tokens.
    """

    def __init__(
        self, name: str, operators: dict[str, str], application: Application
    ) -> None:
        self.name = name
        self.operators = operators
        self.application = application
        self.serial = itertools.count(1)
        self.waiters: dict[str, asyncio.Future] = {}
        application.effect_handlers[ReplyExplanation] = self._resolve_explanation

    def interface(
        self, state: EntryState, keys: ConfigurationKeys
    ) -> OperatorsInterface:
        """Return the callables and data that the HTTP interface needs."""
        return OperatorsInterface(
            keys=keys,
            replica=state.sync.replica,
            operators=self.operators,
            publish=self.publish,
            status=lambda: self.status(state),
            explain=lambda query: self.explain(state, query),
            in_force=lambda revision: in_force(state, revision),
            wall_ms=lambda: int(time.time() * 1000),
            is_heard=lambda cell: _is_heard(state, cell),
            log=self.log,
        )

    def publish(self, update: ConfigurationUpdate) -> None:
        """Pass changes of the configuration to the reducer."""
        self.application.feed(ConfigurationChanged(update))

    def log(self, sentence: str, fields: dict[str, object]) -> None:
        """Write a log line of the part "configuration"."""
        self.application.write_log(Log(Part.CONFIGURATION, sentence, fields))

    def status(self, state: EntryState) -> dict[str, object]:
        """Return this entry's view of the system."""
        now = time.monotonic()
        replica = state.sync.replica
        cells = [_cell_status(view, now) for view in state.cells.values()]
        return {
            "entry": self.name,
            "stopping": state.stopping,
            "waiting": len(state.pending),
            "configuration": {
                "revision": replica.revision,
                "objects": sum(bool(item.value) for item in replica.objects.values()),
                "nodes in force": _format_in_force(in_force(state, replica.revision)),
            },
            "cells": cells,
        }

    async def explain(self, state: EntryState, query: dict[str, str]) -> object:
        """Ask the owners which workers could take a job now."""
        request = f"explain-{next(self.serial)}"
        future = asyncio.get_running_loop().create_future()
        self.waiters[request] = future
        try:
            self.application.feed(ExplainRequested(request, _build_job(state, query)))
            cells = await future
        finally:
            self.waiters.pop(request, None)
        verdicts = [
            {"worker": row.worker, "fits": row.fits, "verdict": row.verdict}
            for cell in cells
            for row in cell.verdicts
        ]
        fitting = sum(row["fits"] for row in verdicts)
        summary = f"{fitting} of {len(verdicts)} workers could take it now."
        if not cells:
            summary = "No cell owner for this service has answered."
        return {"workers": verdicts, "summary": summary}

    def _resolve_explanation(self, effect: ReplyExplanation) -> None:
        future = self.waiters.get(effect.request)
        if future is not None and not future.done():
            future.set_result(effect.cells)


def in_force(state: EntryState, revision: int) -> NodesInForce:
    """Count the nodes of all known cells on which a revision is in force."""
    return count_in_force(revision, state.held.values())


def _format_in_force(found: NodesInForce) -> str:
    return f"{found.nodes_in_force} of {found.nodes}"


def _cell_status(view, now: float) -> dict[str, object]:
    report = view.report
    return {
        "cell": view.cell,
        "owner": view.owner or "not known",
        "epoch": view.epoch,
        "last report": f"{now - view.stamp_at:.1f} s ago" if report else "none",
        "workers": len(view.workers),
        "free slots": sum(report.free_slots.values()) if report else 0,
        "queued": sum(report.queued.values()) if report else 0,
        "holds": _format_shares(view),
    }


def _is_heard(state: EntryState, cell: str) -> bool:
    view = state.cells.get(cell)
    if view is None or not view.owner:
        return False
    return not is_silent(view, state.timing.confirm, time.monotonic())


def _format_shares(view) -> str:
    """Format the share of each service's slots that a cell holds for new keys."""
    services = sorted({holding.service for holding in view.holdings})
    shares = [
        f"{count_open_slots(view.holdings, service)}/{SLOT_COUNT} of {service}"
        for service in services
    ]
    return ", ".join(shares) or "nothing"


def _build_job(state: EntryState, query: dict[str, str]) -> Job:
    """Build the job that a query describes, with defaults from its template."""
    template = state.sync.replica.get("job", query.get("template", ""))
    if not isinstance(template, JobTemplate):
        template = JobTemplate(name="none")
    selectors = [template.selector, query.get("selector", "")]
    task = TaskSpec(
        b"",
        template.duration_ms,
        int(query.get("memory_mb", 0)) or template.memory_mb,
        int(query.get("accelerators", 0)) or template.accelerators,
    )
    return Job(
        "explain",
        b"",
        query.get("service", "") or template.service,
        query.get("team", ""),
        [task],
        selector=",".join(part for part in selectors if part),
    )
