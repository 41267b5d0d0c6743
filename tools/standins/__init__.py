"""Small stand-ins for the platform and the back ends, for tests and trials.

Nothing here belongs to the product, and the product imports none of it.
"""
