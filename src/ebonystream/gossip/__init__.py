"""Gossip between entry hosts, and sharing of state read from the store."""

from ebonystream.gossip._counts import (
    SendCounts,
    encode_counts,
    make_counts_handler,
    make_send_counts,
)
from ebonystream.gossip._facts import (
    DutyFacts,
    FailingServer,
    HostFacts,
    LeavingServer,
    MoveFacts,
    RankDemandFacts,
)
from ebonystream.gossip._joining import HostRegistry, Joining, join_hosts
from ebonystream.gossip._registration import (
    RegisteredHost,
    select_contacts,
)
from ebonystream.gossip._rounds import receive_gossip, send_gossip
from ebonystream.gossip._shared import (
    FetchShared,
    make_fetch_shared,
    make_shared_handler,
)
from ebonystream.gossip._shared_state import (
    SharedEntries,
    SharedOrders,
    SharedRequest,
    SharedResponse,
)
from ebonystream.gossip._socket import GossipSocket, open_gossip_socket
from ebonystream.gossip._table import HostFactTable, copy_fact_table

__all__ = (
    'SendCounts',
    'encode_counts',
    'make_counts_handler',
    'make_send_counts',
    'DutyFacts',
    'FetchShared',
    'GossipSocket',
    'HostFactTable',
    'copy_fact_table',
    'HostFacts',
    'RegisteredHost',
    'select_contacts',
    'SharedRequest',
    'MoveFacts',
    'SharedResponse',
    'SharedEntries',
    'SharedOrders',
    'FailingServer',
    'LeavingServer',
    'HostRegistry',
    'Joining',
    'join_hosts',
    'receive_gossip',
    'make_fetch_shared',
    'make_shared_handler',
    'open_gossip_socket',
    'send_gossip',
    'RankDemandFacts',
)
