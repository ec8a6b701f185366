"""The signals that ask a process to stop."""

import signal

__all__ = ["STOP_SIGNALS"]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
