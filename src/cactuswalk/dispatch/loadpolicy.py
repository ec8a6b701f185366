"""The decisions under load that a deployment's settings switch on.

Each of them replaces a simpler rule, which applies where the settings don't name it.
"""

import msgspec

__all__ = ["DEFAULT_LOAD_POLICY", "LoadPolicy"]


class LoadPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Which decisions under load are in force at a process.

    :param divides_room: an agent whose room is scarce divides it among the entries that
        have tasks waiting, instead of reporting all of it to each.
    :param predicts_admission: an entry admits a job only if it predicts room for all of
        its tasks in time, instead of letting it wait for a share of its slack.
    :param measures_headroom: the room that less urgent tasks leave free follows the
        measured demand of more urgent ones, instead of a constant share.
    :param serves_late: a job that can't be on time any more is run while there is room
        to spare, instead of being refused.
    :param shares_evacuated: entries offer agents to those of an evacuated data centre
        also while jobs wait, instead of agents with free room only.
    :param places_by_end: a task goes where it is expected to end in time, and slow
        workers get the tasks that have time.
    """

    divides_room: bool = False
    predicts_admission: bool = False
    measures_headroom: bool = False
    serves_late: bool = False
    shares_evacuated: bool = False
    places_by_end: bool = False


DEFAULT_LOAD_POLICY = LoadPolicy()
