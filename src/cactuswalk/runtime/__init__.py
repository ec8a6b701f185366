"""The one loop, the application object, and what turns effects into I/O."""
