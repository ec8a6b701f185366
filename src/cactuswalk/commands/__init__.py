"""The installed commands."""
