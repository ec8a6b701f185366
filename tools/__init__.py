"""Measurement and checking tools; nothing here ships with the product."""
