"""Reducers: functions that take an event, update state and return effects."""
