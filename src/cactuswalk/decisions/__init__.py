"""Decisions under load, without network, clock or randomness of their own."""
