"""Bytes and calls of usage reporting, from the sizes of its messages.

Run with `python -m measure.usage`. Counts the bytes of HTTP messages, records
and facts; headers of TCP and IP are not counted.
"""

import msgspec

from ebonystream._address import ServerAddress
from ebonystream._ids import (
    FencingToken,
    HostId,
    Incarnation,
    Offset,
    Seconds,
    WindowNumber,
    WorkspaceName,
)
from ebonystream.duty import DutyRecord
from ebonystream.gossip import DutyFacts, encode_counts
from ebonystream.http1 import encode_response
from ebonystream.platform import encode_duty_record, encode_usage_report
from ebonystream.usage import (
    CountsMessage,
    CountsReply,
    UsageSchedule,
    WindowClock,
    WindowCounts,
)

HOSTS = (100, 300)
ZONES = 3
WORKSPACES = 40
REQUESTS_PER_S = 6
WINDOW = Seconds(5)
LATE = Seconds(10)
HOUR_S = 3600
WINDOW_NUMBER = WindowNumber(353_445_120)
INCARNATION = Incarnation('1760000000000')
APPEND_HEAD = len(
    b'POST /-/log-append?topic=duty&part=0&at=1234567 HTTP/1.1\r\n'
    b'host: 10.200.0.80:8225\r\ncontent-length: 1234\r\n\r\n'
)
CALL_HEAD = len(
    b'POST /usage HTTP/1.1\r\nhost: 10.200.0.89:8225\r\n'
    b'ebonystream-duty-holder: e123\r\nebonystream-fencing-token: 1760000000'
    b'\r\ncontent-type: application/json\r\ncontent-length: 1234\r\n\r\n'
)


def name_workspace(number: int) -> WorkspaceName:
    """Return a name like those of the specification: `kaje80`."""
    return WorkspaceName(f'kaje{number:02d}')


def measure_counts(seen: int) -> int:
    """Return the bytes of one message with counts and of its reply.

    Args:
        seen: Number of workspaces in the message.
    """
    counts = {name_workspace(number): 1 for number in range(seen)}
    message = CountsMessage(
        host=HostId('e123'),
        incarnation=INCARNATION,
        sent_at=1_760_000_000.5,
        windows=(WindowCounts(WINDOW_NUMBER, counts),) if counts else (),
    )
    request = encode_counts(ServerAddress('10.128.12.123', 7101), message)
    reply = msgspec.msgpack.encode(CountsReply(True, Seconds(0.01)))
    return len(request) + len(encode_response(200, (), reply))


def measure_report(hosts: int) -> tuple[int, int]:
    """Return the bytes of one append and of one call to the service.

    Args:
        hosts: Number of hosts.
    """
    each = int(hosts * REQUESTS_PER_S * WINDOW / WORKSPACES)
    counts = {name_workspace(number): each for number in range(WORKSPACES)}
    report = encode_usage_report(WINDOW_NUMBER, counts)
    record = DutyRecord(
        HostId('e123'), INCARNATION, FencingToken(1_760_000_000), report
    )
    append = APPEND_HEAD + len(encode_duty_record(record))
    return append, CALL_HEAD + len(report.body)


def count_sends() -> int:
    """Return how often a host sends its counts in an hour."""
    schedule = UsageSchedule(WindowClock(WINDOW, 0), LATE)
    now: float = 0
    sends = 0
    while now < HOUR_S:
        now = schedule.get_next_send(now, 0)
        sends += 1
    return sends


def measure_facts() -> int:
    """Return the bytes that the duty adds to the facts of a host."""
    facts = DutyFacts(
        acting=False,
        unfit=False,
        holder=HostId('e123'),
        token=FencingToken(1_760_000_000),
        end=Offset(1_234_567),
        window=WINDOW_NUMBER,
        reported=WINDOW_NUMBER,
    )
    return len(msgspec.msgpack.encode(facts))


def main() -> None:
    """Print the figures."""
    seen = min(WORKSPACES, int(REQUESTS_PER_S * WINDOW / 2))
    windows = int(HOUR_S / WINDOW)
    for hosts in HOSTS:
        append, call = measure_report(hosts)
        sent = hosts * count_sends()
        total = sent * measure_counts(seen)
        print(
            f'{hosts} hosts: {windows} appends of {append} B and {windows} '
            f'calls of {call} B an hour; {sent} messages with counts, '
            f'{total / 1e6:.1f} MB, {total * (1 - 1 / ZONES) / 1e6:.1f} MB of '
            f'it between {ZONES} zones'
        )
    print(
        f'one message with {seen} workspaces and its reply: '
        f'{measure_counts(seen)} B; with none: {measure_counts(0)} B; facts: '
        f'{measure_facts()} B more for each host'
    )


if __name__ == '__main__':
    main()
