"""A dispatcher for sub-second tasks across two fleets."""

__all__ = ["__version__"]

__version__ = "0.1.0"
