"""Measures routing policies under load on a virtual-time event loop."""
