"""Entry point of the entry host on the users' platform."""

from ebonystream.entryhost._root import run_entry_host

if __name__ == '__main__':
    run_entry_host()
