"""Placement: which backend server a request is sent to, and when none is."""

from ebonystream.placement._asking import Ask, make_ask
from ebonystream.placement._estimate import WorkTimes
from ebonystream.placement._finding import (
    Finder,
    FindRoom,
    Wanted,
    make_find_room,
)
from ebonystream.placement._offer import NoRoom, Offer, Sighting

__all__ = (
    'Ask',
    'FindRoom',
    'Finder',
    'NoRoom',
    'Offer',
    'Sighting',
    'Wanted',
    'WorkTimes',
    'make_ask',
    'make_find_room',
)
