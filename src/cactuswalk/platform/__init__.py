"""Adapter to the platform: the only package that knows its names and protocols.

The cells use the key-value service through ``keyvalue``, the dispatch programs the
metadata store through ``metadata``. A process imports only the one that it uses.
"""
