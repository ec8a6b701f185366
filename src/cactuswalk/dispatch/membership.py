"""Which entries an agent works with, and which of them it is told of.

Load pattern: with hundreds of hosts every pair of entry and agent that exchange
reports costs both of them, busy or not, and their number grows with the product of
both fleets. Processor time that callers need goes into reports that nobody uses, and
the bytes between data centres are paid for.

So an agent reports to its home entries alone: those of its own data centre, and a few
elsewhere where the data centre has too few. The choice follows from the directory and
from names, so that a host that comes or goes moves only its own share, and each entry
is as often chosen as any other. An entry whose home agents are full asks others for
room (``overflow``).
"""

import hashlib
from collections.abc import Iterable, Mapping

import msgspec

__all__ = [
    "FORGET_ENTRY_SECONDS",
    "MAX_HOME_ENTRIES",
    "MIN_LOCAL_ENTRIES",
    "Member",
    "choose_home_entries",
    "digest_members",
    "select_candidates",
]

# An agent's room is shared by at most so many entries: each of them hears of the
# others' starts a little late, and two that choose the same room meet there.
MAX_HOME_ENTRIES = 8

# With so many entries in its own data centre an agent needs none elsewhere.
MIN_LOCAL_ENTRIES = 4


# An entry that nobody names is forgotten when it has been silent for so long. Until
# then what it told of others is the way back to entries that all ended at the same
# moment while the store was away.
FORGET_ENTRY_SECONDS = 20.0


class Member(msgspec.Struct, array_like=True, frozen=True, order=True):
    """An entry, as others are told of it.

    :param data_centre: empty while it is not known.
    """

    address: str
    data_centre: str


def choose_home_entries(
    directory: Mapping[str, str], data_centre: str, agent: str, silent: set[str]
) -> list[str]:
    """Return the entries that an agent reports to, the first choice in front.

    Silent ones are reported to as well, since one that comes back learns of its
    agents in no other way, but another one is taken in the place of each.

    :param directory: data centre by address.
    :param agent: its name.
    :param silent: entries that have not been heard for a while.
    """
    near = [address for address, centre in directory.items() if centre == data_centre]
    far = [address for address, centre in directory.items() if centre != data_centre]
    home, live = _take_live(_ranked(near, agent), silent, MAX_HOME_ENTRIES)
    if live >= MIN_LOCAL_ENTRIES:
        return home
    return home + _take_live(_ranked(far, agent), silent, MAX_HOME_ENTRIES - live)[0]


def select_candidates(
    members: Iterable[Member], data_centre: str, agent: str
) -> list[Member]:
    """Return the members that an agent may choose its home entries from.

    :param data_centre: the agent's.
    :param agent: its address, by which agents elsewhere are spread evenly.
    """
    members = list(members)
    near = [member for member in members if member.data_centre == data_centre]
    by_address = {member.address: member for member in members}
    far = [member.address for member in members if member.data_centre != data_centre]
    return near + [
        by_address[address] for address in _ranked(far, agent)[:MAX_HOME_ENTRIES]
    ]


def digest_members(members: Iterable[Member]) -> int:
    """Return a number that two equal sets of members share."""
    text = msgspec.msgpack.encode(sorted(members))
    return int.from_bytes(hashlib.blake2b(text, digest_size=6).digest())


def _ranked(addresses: list[str], name: str) -> list[str]:
    """Return addresses in an order of a name's own (rendezvous hashing)."""
    return sorted(addresses, key=lambda address: _weight(name, address))


def _weight(name: str, address: str) -> bytes:
    return hashlib.blake2b(f"{name} {address}".encode(), digest_size=8).digest()


def _take_live(ranked: list[str], silent: set[str], most: int) -> tuple[list[str], int]:
    """Return the first addresses with so many live ones, and how many live there are.

    At most as many silent ones are kept as live ones are wanted.
    """
    taken: list[str] = []
    live = 0
    for address in ranked:
        if live == most or len(taken) == 2 * most:
            break
        taken.append(address)
        live += address not in silent
    return taken, live
