"""Reducers: events in, state and effects out."""
