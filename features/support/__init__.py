"""Fixtures that steps of several features share."""
