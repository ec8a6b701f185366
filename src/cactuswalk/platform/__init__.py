"""What the platform calls things, and how it is spoken to: this package alone knows.

``keyvalue`` is the cells' view of the store, ``metadata`` the dispatch programs';
neither is loaded by a process that has no use for it.
"""
