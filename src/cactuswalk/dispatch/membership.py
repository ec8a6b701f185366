"""The choice of the entries that an agent works with, or may choose from.

Load pattern: with hundreds of hosts, each pair of entry and agent that exchanges
reports costs both of them processor time, busy or idle, and the number of pairs grows
with the product of both fleets. Traffic between data centres is also paid for.

So an agent reports to its home entries alone: a few in its own data centre, and in
others if there are too few. They are chosen by rendezvous hashing over the
directory: a host that joins or leaves moves only its own share, and all entries are
chosen equally often. An entry whose home agents are full asks others for free capacity
(``overflow``).
"""

import hashlib
from collections.abc import Iterable, Mapping

import msgspec

__all__ = [
    "FORGET_ENTRY_SECONDS",
    "MAX_HOME_ENTRIES",
    "Member",
    "choose_home_entries",
    "digest_members",
    "select_candidates",
]

# Entries that share an agent. Each pair exchanges messages all the time, and entries
# that learn of each other's starts with a delay choose the same free capacity. With
# three, two can stop or stall at once before an agent has none.
MAX_HOME_ENTRIES = 3

# Entries in other data centres on the list that an agent gets: enough if all
# entries in its own are gone, and some of these too.
MAX_FAR_CANDIDATES = 8

# A silent entry that neither the store nor the settings name is forgotten after this.
# Until then agents can still find entries that were all restarted at once while the
# store was unavailable.
FORGET_ENTRY_SECONDS = 20.0


class Member(msgspec.Struct, array_like=True, frozen=True, order=True):
    """An entry, as advertised to other processes.

    :param data_centre: empty while unknown.
    """

    address: str
    data_centre: str


def choose_home_entries(
    directory: Mapping[str, str], data_centre: str, agent: str, silent: set[str]
) -> list[str]:
    """Return the entries that an agent reports to, the first choice first.

    Silent entries are included, since one that comes back learns of its agents only
    by their reports, but each is backed up by one more live entry.

    :param directory: data centre by address.
    :param agent: its name.
    :param silent: entries that don't count as live.
    """
    near = [address for address, centre in directory.items() if centre == data_centre]
    far = [address for address, centre in directory.items() if centre != data_centre]
    home, live = _take_live(_ranked(near, agent), silent, MAX_HOME_ENTRIES)
    if live == MAX_HOME_ENTRIES:
        return home
    return home + _take_live(_ranked(far, agent), silent, MAX_HOME_ENTRIES - live)[0]


def select_candidates(
    members: Iterable[Member], data_centre: str, agent: str
) -> list[Member]:
    """Return the members that an agent may choose its home entries from.

    :param data_centre: the agent's.
    :param agent: its address, which selects the members in other data centres.
    """
    members = list(members)
    near = [member for member in members if member.data_centre == data_centre]
    by_address = {member.address: member for member in members}
    far = [member.address for member in members if member.data_centre != data_centre]
    return near + [
        by_address[address] for address in _ranked(far, agent)[:MAX_FAR_CANDIDATES]
    ]


def digest_members(members: Iterable[Member]) -> int:
    """Return a 48-bit hash that is equal for equal sets of members."""
    text = msgspec.msgpack.encode(sorted(members))
    return int.from_bytes(hashlib.blake2b(text, digest_size=6).digest())


def _ranked(addresses: list[str], name: str) -> list[str]:
    """Return addresses in the order of a name's rendezvous hashes."""
    return sorted(addresses, key=lambda address: _weight(name, address))


def _weight(name: str, address: str) -> bytes:
    return hashlib.blake2b(f"{name} {address}".encode(), digest_size=8).digest()


def _take_live(ranked: list[str], silent: set[str], most: int) -> tuple[list[str], int]:
    """Return addresses until ``most`` of them are live, and the number of live ones.

    At most ``2 * most`` addresses are returned, silent ones included.
    """
    taken: list[str] = []
    live = 0
    for address in ranked:
        if live == most or len(taken) == 2 * most:
            break
        taken.append(address)
        live += address not in silent
    return taken, live
