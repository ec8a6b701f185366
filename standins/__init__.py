"""Stand-ins for systems outside the product, used by tests and the demo."""
