"""The roster: joins, departures, restarts, and outages of the store."""

import attrs
import pytest

from ebonystream._address import ServerAddress
from ebonystream.roster import EntryState, Roster, ServerEntry

ENTRY = ServerEntry(
    id='i-1',
    at=ServerAddress('10.0.0.1', 80),
    service='records',
    zone='a',
    version='v1',
    slots=2,
    state=EntryState.SERVING,
    cold=0,
    started=1000,
)
OTHER = attrs.evolve(ENTRY, id='i-2', at=ServerAddress('10.0.0.2', 80))
LEAVING = attrs.evolve(ENTRY, state=EntryState.LEAVING)
RESTARTED = attrs.evolve(ENTRY, started=2000, cold=3)
MOVED = attrs.evolve(ENTRY, at=ServerAddress('10.0.0.7', 80))


@pytest.mark.parametrize(
    ('listings', 'joined', 'left', 'leaving', 'usable'),
    [
        ([[ENTRY]], ['i-1'], [], [], ['i-1']),
        ([[ENTRY], [ENTRY]], [], [], [], ['i-1']),
        ([[ENTRY], [ENTRY, OTHER]], ['i-2'], [], [], ['i-1', 'i-2']),
        ([[ENTRY, OTHER], [OTHER]], [], ['i-1'], [], ['i-2']),
        ([[ENTRY], [LEAVING]], [], [], ['i-1'], []),
        ([[ENTRY], [LEAVING], [LEAVING]], [], [], [], []),
        ([[ENTRY], [LEAVING], [ENTRY]], [], [], [], []),
        ([[ENTRY], [RESTARTED]], ['i-1'], [], [], ['i-1']),
        ([[LEAVING], [RESTARTED]], ['i-1'], [], [], ['i-1']),
        ([[ENTRY], [MOVED]], ['i-1'], [], [], ['i-1']),
    ],
)
def test_listings(listings, joined, left, leaving, usable):
    roster = Roster()
    for number, listing in enumerate(listings):
        change = roster.apply_listing(listing, float(number))
    assert list(change.joined) == joined
    assert list(change.left) == left
    assert list(change.leaving) == leaving
    servers = roster.list_servers('records')
    assert [
        server.entry.id for server in servers if server.is_usable(9)
    ] == usable


@pytest.mark.parametrize(('read_at', 'known'), [(4.9, True), (5.0, False)])
def test_a_late_listing_does_not_undo_a_newer_one(read_at, known):
    roster = Roster()
    roster.apply_listing([ENTRY, OTHER], 5.0)
    change = roster.apply_listing([ENTRY], read_at)
    assert (change.left == ()) is known
    assert (OTHER.id in roster.servers) is known
    assert roster.last_listed_at == 5.0


@pytest.mark.parametrize(
    ('back_after', 'known'), [(0.5, True), (2, True), (2.5, False)]
)
def test_lapsed_entries_are_kept_after_an_outage(back_after, known):
    roster = Roster()
    roster.apply_listing([ENTRY, OTHER], 0.0)
    roster.record_outage(10.0)
    roster.apply_listing([OTHER], 10 + back_after)
    assert ('i-1' in roster.servers) is known


@pytest.mark.parametrize(
    ('listings', 'revision'),
    [
        ([[ENTRY, OTHER], [OTHER, ENTRY]], 1),
        ([[ENTRY], [ENTRY, OTHER]], 2),
        ([[ENTRY], [LEAVING]], 2),
        ([[ENTRY], [], [ENTRY]], 3),
    ],
)
def test_revision_counts_changes(listings, revision):
    roster = Roster()
    for listing in listings:
        roster.apply_listing(listing, 0.0)
    assert roster.revision == revision


def test_warm_up_lasts_as_long_as_reported():
    roster = Roster()
    roster.apply_listing([RESTARTED], 5.0)
    server = roster.servers['i-1']
    assert server.is_cold(7.9)
    assert not server.is_cold(8.1)


@pytest.mark.parametrize(
    ('own', 'reported', 'at', 'least', 'most'),
    [
        (0, 0, 0, 0, 0),
        (2, 0, 0, 2, 2),
        (2, 0, 3, 0.99, 1.01),
        (0, 2, 0, 1.39, 1.41),
        (1, 1, 30, 0, 0.01),
    ],
)
def test_failures_decay(own, reported, at, least, most):
    roster = Roster()
    roster.apply_listing([ENTRY], 0.0)
    server = roster.servers['i-1']
    if own:
        server.record_failure(0.0, own)
    if reported:
        server.record_reported_failures('edge-2', reported, 0.0)
    assert least <= server.get_all_failures(float(at)) <= most


@pytest.mark.parametrize(
    ('entries', 'reported', 'cold', 'confirmed'),
    [
        # By the entry's remaining time, the time of the report, and now 12.
        ([(0.0, 10.0)], None, False, False),
        ([(3.0, 10.0)], None, True, False),
        ([(3.0, 8.0)], None, False, False),
        # An entry may be old; the server itself knows better.
        ([(3.0, 10.0)], (0.0, 11.0), False, True),
        ([(3.0, 10.0)], (2.0, 11.0), True, True),
        # It turned cold again; an entry that counts down says nothing new.
        ([(0.0, 10.0), (3.0, 11.5)], (0.0, 11.0), True, False),
        ([(3.0, 9.0), (1.5, 11.0)], (0.0, 10.0), False, True),
    ],
)
def test_cold_entries(entries, reported, cold, confirmed):
    # Guards against requests at any rate to servers that turned cold again.
    roster = Roster()
    steps = [(at, left, roster_update) for left, at in entries]
    if reported is not None:
        steps.append((reported[1], reported[0], report_update))
    for at, left, update in sorted(steps, key=lambda step: step[0]):
        update(roster, left, at)
    server = roster.servers['i-1']
    assert server.is_cold(12.0) is cold
    assert server.cold_confirmed is confirmed


def roster_update(roster, left, at):
    roster.apply_listing([attrs.evolve(ENTRY, cold=left)], at)


def report_update(roster, left, at):
    roster.servers['i-1'].update_cold_until(left, at)
