"""Mutants of what keeps one key from two cells."""

from tools.mutant import Mutant

__all__ = ["CELL_MUTANTS"]

SHARING = "src/cactuswalk/state/sharing.py"
CELLS = "once_cells.feature"

CELL_MUTANTS = [
    Mutant(
        "an agent listens to the owner of another cell",
        "src/cactuswalk/state/node.py",
        "if kind in _WITHIN_CELL and message.cell != node.cell:",
        "if False:",
        CELLS,
    ),
    Mutant(
        "an owner takes submissions that its record does not hold",
        "src/cactuswalk/state/submissions.py",
        "    if not is_held_here(state, job, now):\n",
        "    if False:\n",
        CELLS,
    ),
    Mutant(
        "an entry does not follow an owner that holds nothing of a key",
        "src/cactuswalk/state/moving.py",
        "        _send_to_cell(state, pending, message.holder, now)\n",
        "        pass\n",
        CELLS,
    ),
    Mutant(
        "what is being ceded is held until the reply is known",
        SHARING,
        "return state.record if state.sharing.cession is None "
        "else plan_record(state, now)",
        "return state.record",
        CELLS,
    ),
    Mutant(
        "a cession is taken as often as it is told",
        "src/cactuswalk/decisions/sharing.py",
        "        if holding.serial > after\n",
        "",
        CELLS,
    ),
    Mutant(
        "a cession may begin before its holding",
        "src/cactuswalk/decisions/sharing.py",
        ", *(at + 1 for at in started_ms))",
        ")",
        CELLS,
    ),
    Mutant(
        "keys that are born already are ceded",
        SHARING,
        "        int(ahead * 1000),\n",
        "        -120_000,\n",
        CELLS,
    ),
    Mutant(
        "a new owner knows of no cession",
        "src/cactuswalk/state/candidate.py",
        "            write_id=write_id,\n            backed_up=False,\n",
        "            write_id=write_id,\n            backed_up=False,\n"
        "            holdings=[one for one in earlier.holdings if not one.until_ms],\n",
        CELLS,
    ),
    Mutant(
        "ceded slots are told of once",
        SHARING,
        "for one in _ceded_holdings(state) if not _is_taken(state, one)\n    }",
        "for one in ()\n    }",
        CELLS,
    ),
    Mutant(
        "each cell takes itself for the first holder",
        SHARING,
        "    if record.founder == life and not holds_some:",
        "    if not holds_some:",
        CELLS,
    ),
    Mutant(
        "a cell without workers keeps its slots",
        SHARING,
        "            state.send(address, SlotOffer(state.cell, service))\n",
        "            pass\n",
        CELLS,
    ),
    Mutant(
        "a minted key falls where it falls",
        "src/cactuswalk/state/callers.py",
        "    if event.minted:\n        mint_for_healthy_cell",
        "    if False:\n        mint_for_healthy_cell",
        CELLS,
    ),
    Mutant(
        "a key whose cell can get no owner is held back",
        "src/cactuswalk/state/waiting.py",
        "        and (view.record_unreadable or view.retired)\n",
        "        and False\n",
        CELLS,
    ),
    Mutant(
        "a retired cell's slots are left to nobody",
        "src/cactuswalk/decisions/sharing.py",
        "        holdings = cede(holdings, service, to, count, "
        "max(from_ms, *starts_ms))\n",
        "        pass\n",
        CELLS,
    ),
    Mutant(
        "a cell is retired without the operator's word",
        "src/cactuswalk/http/operators_cells.py",
        "if not hosts_are_off or cell == to:",
        "if cell == to:",
        CELLS,
    ),
]
