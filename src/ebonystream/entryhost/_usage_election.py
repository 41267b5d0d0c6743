"""Who should hold the duty of reporting usage, as this host sees it."""

from ebonystream._ids import HostId, Monotonic, Seconds, WindowNumber
from ebonystream.duty import NO_TOKEN, Candidate, Role, elect_holder
from ebonystream.entryhost._parts import HostParts
from ebonystream.entryhost._usage import UsageReporting
from ebonystream.gossip import DutyFacts, HostFacts

MIN_RUN_TIME = Seconds(3)
"""Time after its start in which a host leaves the duty to others, in seconds:
it may not know its peers yet."""

MIN_KNOWN_HOSTS = 4
"""Number of known hosts from which a host may find itself cut off. With fewer
the loss of one host would look like it."""


def update_role(parts: HostParts, usage: UsageReporting) -> None:
    """Update who should hold the duty, and the role of this host.

    Args:
        parts: The state of the host.
        usage: The state of usage reporting.
    """
    now = parts.timers.now()
    own_facts = usage.make_facts(parts.timers.boot_now())
    candidates = _list_candidates(parts, own_facts, now)
    usage.elected = elect_holder(candidates)
    usage.deputy = elect_holder(
        [host for host in candidates if host.host != usage.elected]
    )
    usage.change_role(_select_role(parts, usage), parts.timers.boot_now())


def _select_role(parts: HostParts, usage: UsageReporting) -> Role:
    own = parts.settings.name
    run_time = parts.timers.now() - parts.started_at
    if run_time < MIN_RUN_TIME or is_cut_off(parts):
        return Role.NONE
    if usage.elected == own:
        return Role.HOLDER
    if usage.deputy == own and _is_overdue(parts, usage):
        return Role.STANDBY
    return Role.NONE


def is_cut_off(parts: HostParts) -> bool:
    """Return whether this host hears from less than half of the hosts it knows.

    Addresses a partition, and a freeze: such a host has the counts of few
    others, and another host may hold the duty. Of two halves, the one with the
    lowest name acts.

    Args:
        parts: The state of the host.
    """
    now = parts.timers.now()
    own = parts.settings.name
    alive = {own, *(facts.host for facts in parts.facts.list_alive(now))}
    peers = parts.facts.list_peers(now)
    known = {own, *(facts.host for facts in peers if not facts.leaving)}
    heard = len(alive & known)
    if len(known) < MIN_KNOWN_HOSTS or 2 * heard > len(known):
        return False
    return 2 * heard < len(known) or min(known) not in alive


def _is_overdue(parts: HostParts, usage: UsageReporting) -> bool:
    """Return whether the holder of the duty seems to be lost."""
    now = usage.schedule.clock.read(parts.timers.boot_now())
    reported = usage.duty.sightings.newest.reported
    return usage.schedule.is_overdue(WindowNumber(reported + 1), now)


def _list_candidates(
    parts: HostParts, own_facts: DutyFacts, now: Monotonic
) -> list[Candidate]:
    alive = parts.facts.list_alive(now)
    zones = {facts.zone for facts in alive}
    found = [parts.facts.find_leader(zone, now) for zone in sorted(zones)]
    leaders = {leader.host for leader in found if leader is not None}
    return [
        _make_candidate(parts, facts, own_facts, leaders) for facts in alive
    ]


def _make_candidate(
    parts: HostParts,
    facts: HostFacts,
    own_facts: DutyFacts,
    leaders: set[HostId],
) -> Candidate:
    is_own = facts.host == parts.settings.name
    duty = own_facts if is_own else facts.duty
    return Candidate(
        host=facts.host,
        leads_zone=facts.host in leaders,
        leaving=parts.leaving.is_set() if is_own else facts.leaving,
        acting=duty is not None and duty.acting,
        unfit=duty is None or duty.unfit,
        token=duty.token if duty else NO_TOKEN,
        has_token=duty is not None and duty.holder == facts.host,
    )
