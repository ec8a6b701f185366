"""INI settings, checked whole at start."""
