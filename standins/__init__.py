"""Stand-ins for systems outside cactuswalk, used by tests and the demo."""
