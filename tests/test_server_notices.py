"""Servers that are leaving or refuse requests get no more from this host."""

from types import SimpleNamespace

import attrs
import pytest
from platform_samples import make_entry, make_known, make_request, make_route
from test_gossip import make_facts
from test_placement import REQUEST
from test_platform_formats import CODEC, make_message

from ebonystream.dispatch import Attempt
from ebonystream.entryhost._gossip import _list_leaving_servers
from ebonystream.entryhost._observers import _update_server
from ebonystream.gossip import LeavingServer
from ebonystream.placement import (
    Candidate,
    ProbeResult,
    ProcessingTimes,
    SelectionCriteria,
    select_server,
)
from ebonystream.placement._probe import apply_report
from ebonystream.roster import (
    EntryState,
    LoadReport,
    Roster,
    ServerNotice,
)

LEAVING = {'server_leaving': 1}
SEALED = {'ebonystream_response_seal': 's'}
REFUSED = {'ebonystream_not_executed': 1}


@pytest.mark.parametrize(
    ('status', 'headers', 'leaving', 'retry_after'),
    [
        (200, SEALED, False, None),
        (200, {**SEALED, **LEAVING}, True, None),
        (500, {**SEALED, **LEAVING}, True, None),
        (421, LEAVING, True, None),
        (503, {**REFUSED, **LEAVING, 'retry_after': 2}, True, 2),
        (200, {'server_leaving': 0}, False, None),
        (200, {'server_leaving': 'soon'}, False, None),
        (503, {**REFUSED, 'retry_after': '1.25'}, False, 1.25),
        (503, {'retry_after': 3}, False, 3),
        (503, {**REFUSED, 'retry_after': 0}, False, 0),
        # Only a refusal says when to come back.
        (429, {**REFUSED, 'retry_after': 3}, False, None),
        (200, {**SEALED, 'retry_after': 3}, False, None),
        # An odd value says nothing.
        (503, {'retry_after': '-1'}, False, None),
        (503, {'retry_after': 'nan'}, False, None),
        (503, {'retry_after': 'inf'}, False, None),
        (503, {'retry_after': '1e3'}, False, None),
        (503, {'retry_after': '9' * 400}, False, None),
        (503, {'retry_after': 'Wed, 21 Oct 2026 07:28:00 GMT'}, False, None),
    ],
)
@pytest.mark.parametrize('of_probe', [False, True])
def test_notices_in_responses(status, headers, leaving, retry_after, of_probe):
    message = make_message(status, **headers)
    decode = CODEC.decode_health_response if of_probe else CODEC.decode_response
    notice = decode(message).notice
    assert (notice.is_leaving, notice.retry_after) == (leaving, retry_after)


@pytest.mark.parametrize(
    ('notices', 'unusable', 'usable'),
    [
        ([(0, ServerNotice(retry_after=2))], [0, 1.9], [2, 9]),
        # A shorter refusal does not end a longer one.
        (
            [
                (0, ServerNotice(retry_after=2)),
                (1, ServerNotice(retry_after=0)),
            ],
            [1.9],
            [2],
        ),
        (
            [
                (0, ServerNotice(retry_after=2)),
                (1, ServerNotice(retry_after=3)),
            ],
            [3.9],
            [4],
        ),
        # A huge one is bounded.
        ([(0, ServerNotice(retry_after=10**9))], [59], [60]),
        ([(0, ServerNotice(is_leaving=True))], [0, 9, 10**6], []),
        ([(0, ServerNotice(is_leaving=True)), (1, ServerNotice())], [9], []),
        ([(0, ServerNotice())], [], [0]),
    ],
)
def test_time_without_requests(notices, unusable, usable):
    server = make_known('i-1')
    for now, notice in notices:
        server.update_from_notice(notice, float(now))
    assert not any(server.is_usable(float(now)) for now in unusable)
    assert all(server.is_usable(float(now)) for now in usable)


@pytest.mark.parametrize(
    ('headers', 'status', 'logged'),
    [
        ({**SEALED, **LEAVING}, 200, 1),
        ({**SEALED, **LEAVING}, 500, 1),
        ({**REFUSED, 'retry_after': 2}, 503, 1),
        ({**REFUSED}, 503, 0),
    ],
)
def test_a_response_to_a_request_is_heeded(headers, status, logged):
    lines = []
    host = SimpleNamespace(
        timers=SimpleNamespace(now=lambda: 5.0),
        processing_times=ProcessingTimes(),
        log_event=lambda event, **fields: lines.append((event, fields)),
    )
    server = make_known('i-1')
    attempt = Attempt(
        candidate=Candidate(
            probe_result=ProbeResult(server, None, 4.0),
            expected_latency=0.1,
            slowdown=1,
            probe_count=1,
            has_free_slot=True,
        ),
        response=CODEC.decode_response(make_message(status, **headers)),
        failure=None,
        duration=0.1,
    )
    for _ in range(2):
        _update_server(host, make_request(), make_route(), attempt)
    assert server.is_usable(5.0) is not bool(logged)
    assert [event for event, _ in lines] == ['server_notice'] * logged


@pytest.mark.parametrize(
    ('headers', 'status', 'usable'),
    [
        ({}, 200, True),
        (LEAVING, 200, False),
        ({'retry_after': 2}, 503, False),
    ],
)
def test_a_response_to_a_probe_is_heeded(headers, status, usable):
    server = make_known('i-1')
    report = CODEC.decode_health_response(make_message(status, **headers))
    apply_report(server, report, 1.0)
    assert server.is_usable(2.9) is usable


@pytest.mark.parametrize(
    ('notice', 'selected'),
    [
        (ServerNotice(), True),
        (ServerNotice(is_leaving=True), False),
        (ServerNotice(retry_after=1), False),
    ],
)
def test_a_notice_overrules_an_earlier_probe(notice, selected):
    """It arrived while the request waited for the probe's batch."""
    server = make_known('i-1')
    report = CODEC.decode_health_response(
        make_message(ebonystream_server_load='0,0,2')
    )
    result = ProbeResult(server, report, 1.0)
    server.update_from_notice(notice, 1.001)
    criteria = SelectionCriteria(processing_time=0.2, zone='a', now=1.01)
    request = attrs.evolve(
        REQUEST, first_requested_at=1.0, arrived_at=1.0, deadline=3.0
    )
    assert (
        isinstance(select_server(request, [result], criteria), Candidate)
        is selected
    )


ENTRY = make_entry('i-1')
RESTARTED = attrs.evolve(ENTRY, started=2000)
MOVED = attrs.evolve(ENTRY, at=attrs.evolve(ENTRY.at, port=81))


@pytest.mark.parametrize(
    ('listings', 'usable'),
    [
        ([[ENTRY]], False),
        # An older listing that still has the entry arrives late.
        ([[], [ENTRY]], False),
        ([[], [ENTRY], [], [ENTRY]], False),
        # Another run of the server is used.
        ([[RESTARTED]], True),
        ([[], [RESTARTED]], True),
        ([[], [MOVED]], True),
    ],
)
def test_leaving_survives_older_listings(listings, usable):
    roster = Roster()
    roster.apply_listing([ENTRY], 0.0)
    notice = ServerNotice(is_leaving=True)
    roster.servers['i-1'].update_from_notice(notice, 1.0)
    for number, listing in enumerate(listings):
        roster.apply_listing(listing, 2.0 + number)
    assert roster.servers['i-1'].is_usable(9.0) is usable


def test_departed_servers_are_forgotten_in_the_end():
    roster = Roster()
    for number in range(3000):
        entry = make_entry(f'i-{number}', state=EntryState.LEAVING)
        roster.apply_listing([entry], float(number))
    assert len(roster.departed) <= 1000


@pytest.mark.parametrize(
    ('listings', 'known'),
    [
        ([([ENTRY], []), ([], ['i-1'])], True),
        ([([ENTRY], []), ([], ['i-1']), ([], ['i-1'])], True),
        ([([ENTRY], []), ([], ['i-1']), ([], [])], False),
        ([([], ['i-1'])], False),
    ],
)
def test_an_entry_that_turns_odd_says_nothing_new(listings, known):
    roster = Roster()
    for number, (entries, unreadable) in enumerate(listings):
        roster.apply_listing(entries, float(number), unreadable=unreadable)
    assert ('i-1' in roster.servers) is known
    assert (ENTRY in roster.entries) is known


@pytest.mark.parametrize(
    ('server', 'started', 'usable'),
    [('i-1', 1000, False), ('i-1', 2000, True), ('i-9', 1000, True)],
)
def test_peers_tell_which_servers_are_leaving(server, started, usable):
    teller, listener = Roster(), Roster()
    for roster in (teller, listener):
        roster.apply_listing([ENTRY, make_entry('i-2')], 0.0)
    listener.mark_leaving(server, started)
    assert listener.servers['i-1'].is_usable(1.0) is usable
    teller.servers['i-1'].leaving = True
    told = _list_leaving_servers(SimpleNamespace(roster=teller))
    assert told == (LeavingServer('i-1', 1000),)
    facts = make_facts(leaving_servers=told)
    assert facts.leaving_servers == told


@pytest.mark.parametrize('load', ['0,0,2', None])
def test_a_probe_without_a_notice_changes_nothing(load):
    message = make_message(
        **({'ebonystream_server_load': load} if load else {})
    )
    report = CODEC.decode_health_response(message)
    expected = load and LoadReport(running=0, waiting=0, slots=2, pace=1)
    assert report.load == expected
    assert report.notice == ServerNotice()
