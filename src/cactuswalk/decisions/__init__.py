"""Decisions under load, without network, clock or randomness of their own.

Each module is imported by its own name: the dispatch programs need one of them, and
would start a tenth of a second of processor time later with all.
"""
