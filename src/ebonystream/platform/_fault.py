"""What the platform's messages can be faulty in."""


class FormatError(ValueError):
    """A message of the platform is not what its format says."""
