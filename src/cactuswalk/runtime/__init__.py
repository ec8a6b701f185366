"""The processes: event loop, application object, and the I/O behind effects."""
