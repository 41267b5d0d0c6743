"""The command line: run an entry host, and operate a running system."""

from ebonystream.cli._app import app

__all__ = ('app', 'main')


def main() -> None:
    """Run the command line."""
    app()
