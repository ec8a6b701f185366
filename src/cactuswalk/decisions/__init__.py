"""Scheduling decisions, independent of network, clock and random source.

Import each module by its own name: the dispatch programs need only one of them, and
importing all of them would add a tenth of a second of CPU time to their start.
"""
