"""Broken mechanisms of the entry host on the users' platform."""

from server_mutations import Mutation

PLACEMENT = 'tests/test_placement.py'
CRASHES = 'tests/test_host_crashes.py'
GOSSIP = 'tests/test_gossip.py'

HOST_MUTATIONS = {
    'who came back is taken for new': Mutation(
        'dispatch/_first_request.py',
        'return Monotonic(request.deadline - longest * MEAN_FIRST_SHARE)',
        'return request.arrived',
        'tests/test_patience.py',
    ),
    'much time is never forgotten': Mutation(
        'dispatch/_first_request.py',
        'LONGEST_TIMEOUT_DECAY = 0.998',
        'LONGEST_TIMEOUT_DECAY = 1.0',
        'tests/test_patience.py',
    ),
    'late requests go first': Mutation(
        'placement/_wait_queue.py',
        'return waiter.expected_late, request.route.rank, request.get_target_time()',
        'return False, request.route.rank, request.get_target_time()',
        PLACEMENT,
    ),
    'late requests take what others want': Mutation(
        'placement/_search.py',
        'spare = context.queues.has_request_on_time(request.service)',
        'spare = False',
        PLACEMENT,
    ),
    'a freed server goes where it may not': Mutation(
        'placement/_search.py',
        'usable = [freed] if freed.server in allowed else []',
        'usable = [freed]',
        PLACEMENT,
    ),
    'a cold server gets two at a time': Mutation(
        'placement/_selection.py',
        'return load.running + load.waiting + server.in_flight == 0',
        'return True',
        PLACEMENT,
    ),
    'a lost answer is taken for a crash': Mutation(
        'entryhost/_crashes.py',
        'parts.cuts.pop_before(sighting.server.entry.id, sighting.sent_at)',
        'return',
        CRASHES,
    ),
    'one run ends twice': Mutation(
        'entryhost/_crashes.py',
        'is_suspected(fingerprint, excluding=crash)',
        'is_suspected(fingerprint)',
        CRASHES,
    ),
    'an old run of a host is believed': Mutation(
        'gossip/_table.py',
        'if not same_run and earlier and not silent:',
        'if False:',
        GOSSIP,
    ),
    'orders go back': Mutation(
        'orders/_orders.py',
        'listing.end <= self.end',
        'listing.end < 0',
        GOSSIP,
    ),
    'a late request leaves an idle server': Mutation(
        'placement/_search.py',
        'return _select(context, request, results, late=allowed, spare=spare)',
        'return _select(context, request, results)',
        PLACEMENT,
    ),
    'connections are not bounded': Mutation(
        'ingress/_open_connections.py',
        'return self.open_count >= self.limit',
        'return False',
        'tests/test_ingress.py',
    ),
    'a request that may have run is sent again': Mutation(
        'dispatch/_handler.py',
        'return progress.is_retryable() or attempt.is_not_run()',
        'return True',
        'tests/test_dispatch.py',
    ),
}
