"""The composition root, which assembles the parts of an entry host."""

from ebonystream.composition._root import run_entry_host

__all__ = ('run_entry_host',)
