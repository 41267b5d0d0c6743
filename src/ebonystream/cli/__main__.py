"""Entry point of `python -m ebonystream.cli`."""

from ebonystream.cli import main

if __name__ == '__main__':
    main()
