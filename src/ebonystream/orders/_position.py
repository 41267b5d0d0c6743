"""Positions in the stream of orders, across returns of the store."""

import attrs

from ebonystream._ids import Offset, StoreEra


@attrs.frozen(order=True)
class OrdersPosition:
    """How far a host or the store has the orders.

    Positions are ordered by the era first: after a return of the store from an
    older copy, its offsets are given out again.

    Attributes:
        era: Era of the store that the orders were read in.
        end: Offset of the next order.
    """

    era: StoreEra = StoreEra(0)
    end: Offset = Offset(0)


FIRST_POSITION = OrdersPosition()
"""Position before the first order."""
