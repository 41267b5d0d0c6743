"""Runs the command line as a module."""

from ebonystream.cli import main

if __name__ == '__main__':
    main()
