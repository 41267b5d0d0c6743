"""Gossip between entry hosts, and sharing of state read from the store."""

from ebonystream.gossip._facts import Facts, MoveFacts, TroubledServer
from ebonystream.gossip._sharing import (
    AskShared,
    Known,
    Shared,
    SharedEntries,
    SharedOrders,
    make_ask_shared,
    make_sharing,
)
from ebonystream.gossip._socket import Datagrams, open_datagrams
from ebonystream.gossip._table import FactTable
from ebonystream.gossip._telling import greet, hear_peers, tell_peers

__all__ = (
    'AskShared',
    'Datagrams',
    'FactTable',
    'Facts',
    'Known',
    'MoveFacts',
    'Shared',
    'SharedEntries',
    'SharedOrders',
    'TroubledServer',
    'greet',
    'hear_peers',
    'make_ask_shared',
    'make_sharing',
    'open_datagrams',
    'tell_peers',
)
