"""Placement: selects the backend server for a request, or none."""

from ebonystream.placement._asking import Ask, make_ask
from ebonystream.placement._choice import Setting, choose_offer
from ebonystream.placement._estimate import WorkTimes
from ebonystream.placement._finding import Finder, FindRoom, make_find_room
from ebonystream.placement._line import WaitingLines
from ebonystream.placement._offer import NoRoom, Offer, Sighting
from ebonystream.placement._wanted import Wanted

__all__ = (
    'Ask',
    'FindRoom',
    'Finder',
    'NoRoom',
    'Offer',
    'Setting',
    'Sighting',
    'WaitingLines',
    'Wanted',
    'WorkTimes',
    'choose_offer',
    'make_ask',
    'make_find_room',
)
