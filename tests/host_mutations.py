"""Mutations of the entry host on the users' platform."""

from server_mutations import Mutation

PLACEMENT = 'tests/test_placement.py'
CRASHES = 'tests/test_host_crashes.py'
COLD = 'tests/test_cold_share.py'
SCALE = 'tests/test_gossip_scale.py'
NOTICES = 'tests/test_server_notices.py'
GOSSIP = 'tests/test_gossip.py'
POSITIONS = 'tests/test_orders_positions.py'
READERS = 'tests/test_response_readers.py'

HOST_MUTATIONS = {
    'a retry is taken for a first request': Mutation(
        'dispatch/_first_request.py',
        'return Monotonic(request.deadline - longest * MEAN_FIRST_SHARE)',
        'return request.arrived_at',
        'tests/test_patience.py',
    ),
    'the longest timeout never decays': Mutation(
        'dispatch/_first_request.py',
        'LONGEST_TIMEOUT_DECAY = 0.998',
        'LONGEST_TIMEOUT_DECAY = 1.0',
        'tests/test_patience.py',
    ),
    'late requests are queued first': Mutation(
        'placement/_wait_queue.py',
        'is_late=waiter.expected_late,',
        'is_late=False,',
        PLACEMENT,
    ),
    'late requests take servers from requests on time': Mutation(
        'placement/_search.py',
        'spare_only = context.queues.has_request_on_time(\n'
        '        request.service, request.get_rank()\n    )',
        'spare_only = False',
        PLACEMENT,
    ),
    'a freed server that is no longer listed is selected': Mutation(
        'placement/_search.py',
        'usable = [freed] if is_usable and freed.server in allowed else []',
        'usable = [freed] if is_usable else []',
        PLACEMENT,
    ),
    'nesting is not bounded': Mutation(
        'platform/_errors.py',
        'if opening > MAX_NESTING and _is_too_deep(content):',
        'if False:',
        'tests/test_odd_records.py',
    ),
    'any status code is valid': Mutation(
        'http1/_statusline.py',
        'if not FIRST_STATUS <= status <= LAST_STATUS:',
        'if False:',
        READERS,
    ),
    'any version of HTTP is valid': Mutation(
        'http1/_statusline.py',
        'if version not in VERSIONS:',
        'if False:',
        READERS,
    ),
    'a response is queued after an error': Mutation(
        'http1/_collector.py',
        'if self.error is not None:\n            return',
        'if False:\n            return',
        READERS,
    ),
    'an informational response is the final one': Mutation(
        'http1/_collector.py',
        'self.on_message_begin()\n            return',
        'return',
        READERS,
    ),
    'a success that was not run is a refusal': Mutation(
        'platform/_responses.py',
        'if status < FIRST_ERROR_STATUS:',
        'if False:',
        'tests/test_platform_formats.py',
    ),
    'every host introduces a newcomer to all': Mutation(
        'gossip/_introduction.py',
        'if leader is not None and leader.host == table.local_host:',
        'if True:',
        SCALE,
    ),
    'no host introduces a newcomer to all': Mutation(
        'gossip/_introduction.py',
        'if leader is not None and leader.host == table.local_host:',
        'if False:',
        SCALE,
    ),
    'hosts that are heard of at second hand are replied to': Mutation(
        'gossip/_rounds.py',
        'if facts.address == received.sender and not is_met:',
        'if not is_met:',
        SCALE,
    ),
    'received bytes are kept until a garbage collection': Mutation(
        'http1/_collector.py',
        '        self.body.clear()\n\n    def build_message',
        '\n    def build_message',
        'tests/test_endless_responses.py',
    ),
    'an earlier verdict is not looked for': Mutation(
        'entryhost/_move_reports.py',
        'return is_overdue or parts.facts.is_leader(now)',
        'return is_overdue',
        'tests/test_move_reports.py',
    ),
    'probes are not limited': Mutation(
        'placement/_probe_budget.py',
        'granted = max(0, min(wanted, available))',
        'granted = wanted',
        'tests/test_probe_budget.py',
    ),
    'a late copy of a health check answers a request': Mutation(
        'platform/_responses.py',
        'return find_header(headers, ATTEMPT_ID) == attempt_id',
        'return find_header(headers, ATTEMPT_ID) in {None, attempt_id}',
        'tests/test_platform_formats.py',
    ),
    'an unreadable entry removes its server': Mutation(
        'roster/_roster.py',
        'self._replace_entries((*entries, *kept))',
        'self._replace_entries(entries)',
        NOTICES,
    ),
    'a server that has left is used again': Mutation(
        'roster/_roster.py',
        'self.departed[server_id] = server.entry',
        'continue',
        NOTICES,
    ),
    'a refusing server gets requests': Mutation(
        'roster/_server.py',
        'is_available = now >= max(self.avoid_until, self.refusing_until)',
        'is_available = now >= self.avoid_until',
        NOTICES,
    ),
    'an error ends a task': Mutation(
        'entryhost/_supervision.py',
        'record_failed_task(parts, name, error)',
        'raise error',
        'tests/test_supervision.py',
    ),
    'the memory of responses is not bounded': Mutation(
        'link/_buffers.py',
        'if is_full and self.held_bytes > equal_share:',
        'if False:',
        'tests/test_endless_responses.py',
    ),
    'a host sends its share of a cold server at any rate': Mutation(
        'entryhost/_cold_servers.py',
        'return sent < shares.count_usable(server.entry, total, now)',
        'return shares.count_usable(server.entry, total, now) > 0',
        COLD,
    ),
    'what another host has lost is used at once': Mutation(
        'placement/_cold_shares.py',
        'Monotonic(now + COLD_WINDOW) if share else now',
        'now',
        COLD,
    ),
    'a host that starts shares at once': Mutation(
        'entryhost/_cold_servers.py',
        'if facts.settled and not facts.leaving:',
        'if not facts.leaving:',
        COLD,
    ),
    'a host that is silent has no share': Mutation(
        'entryhost/_cold_servers.py',
        'SHARING_TIMEOUT = Seconds(20)',
        'SHARING_TIMEOUT = Seconds(1)',
        COLD,
    ),
    'a probed server may receive any request': Mutation(
        'placement/_search.py',
        'if context.may_receive(result.server)',
        'if result.server',
        PLACEMENT,
    ),
    'a cold server gets two requests at a time': Mutation(
        'placement/_selection.py',
        'return load.running + load.waiting + server.in_flight == 0',
        'return True',
        PLACEMENT,
    ),
    'a lost response is taken for a crash': Mutation(
        'entryhost/_crashes.py',
        'parts.interrupted_requests.pop_before(\n'
        '            result.server.entry.id, result.sent_at\n'
        '        )',
        'return',
        CRASHES,
    ),
    'one incarnation crashes twice': Mutation(
        'suspects/_table.py',
        'if other is crash:',
        'if False:',
        CRASHES,
    ),
    'searches go on after they are stopped': Mutation(
        'entryhost/_searches.py',
        'if searches.stopped:',
        'if False:',
        'tests/test_shutdown.py::test_stopped_searches',
    ),
    'a connection with a response to another request is used again': Mutation(
        'link/_exchange.py',
        'received.unmatched_count == 0 and reader.is_drained()',
        'reader.is_drained()',
        'tests/test_late_copies.py',
    ),
    'a connection with bytes after its response is used again': Mutation(
        'link/_exchange.py',
        'received.unmatched_count == 0 and reader.is_drained()',
        'received.unmatched_count == 0',
        'tests/test_late_copies.py',
    ),
    'simultaneous crashes are taken for a repeated one': Mutation(
        'suspects/_table.py',
        'earlier = earlier or other.crashed_at < sent_at',
        'earlier = True',
        CRASHES,
    ),
    'facts of an earlier incarnation are accepted': Mutation(
        'gossip/_table.py',
        'if not same_incarnation and is_earlier and not is_silent:',
        'if False:',
        GOSSIP,
    ),
    'older orders replace newer ones': Mutation(
        'orders/_orders.py',
        'listing.position < self.position',
        'listing.end < 0',
        GOSSIP,
    ),
    'positions are compared by their end alone': Mutation(
        'orders/_position.py',
        'era: StoreEra = StoreEra(0)',
        'era: StoreEra = attrs.field(default=StoreEra(0), order=False)',
        POSITIONS,
    ),
    'an outdated listing confirms the orders': Mutation(
        'orders/_orders.py',
        'return OrdersUpdate.OUTDATED',
        'self.confirmed_at = read_at; return OrdersUpdate.OUTDATED',
        POSITIONS,
    ),
    'a proof of other orders confirms these': Mutation(
        'orders/_orders.py',
        'if self.listing is None or newest != self.position:',
        'if self.listing is None:',
        POSITIONS,
    ),
    'a late request rejects an idle server': Mutation(
        'placement/_search.py',
        'allow_late=allow_late or is_plentiful,\n            spare_only=spare_only,',
        '',
        PLACEMENT,
    ),
    'the number of connections is not limited': Mutation(
        'ingress/_open_connections.py',
        'return self.open_count >= self.limit',
        'return False',
        'tests/test_ingress.py',
    ),
    'a request that may have run is retried': Mutation(
        'dispatch/_handler.py',
        'return progress.is_retryable() or attempt.is_not_run()',
        'return True',
        'tests/test_dispatch.py',
    ),
}
