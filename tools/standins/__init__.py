"""Stand-ins for the platform and the backend servers, for tests and trials.

This package is not part of the product, and the product does not import it.
"""
