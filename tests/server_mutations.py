"""Mutations of the rules on backend servers; see `test_mutations`."""

import attrs


@attrs.frozen
class Mutation:
    """One mutation of the source, and the tests that must detect it.

    Attributes:
        module: Path of the file, relative to `src/ebonystream`.
        old: Text that occurs in the file exactly once.
        new: The replacement.
        test: The tests that must fail, as a pytest argument.
    """

    module: str
    old: str
    new: str
    test: str


RUNS = 'tests/test_server_runs.py::test_cold_servers_get_one_call_at_a_time'
CRASHES = 'tests/test_crash_rules.py'
CRASH_RUNS = 'tests/test_crash_runs.py'
VERSIONS = 'tests/test_version_rules.py'
PAIRS = 'tests/test_paired_faults.py::test_bounds_hold_under_two_faults'
RULES = 'tests/test_server_rules.py'

SERVER_MUTATIONS = {
    'cold servers get calls like warm ones': Mutation(
        'backend/_lifecycle.py',
        'return self.phase in STARTING_PHASES',
        'return False',
        RUNS,
    ),
    'cold starts of peers are not merged': Mutation(
        'backend/_standing.py', 'in standings:', 'in ():', RUNS
    ),
    'a new sponsor does not wait': Mutation(
        'backend/_sponsor.py',
        'HANDOVER_WAIT = Seconds(2)',
        'HANDOVER_WAIT = Seconds(0)',
        RULES,
    ),
    'calls of other hosts do not count towards the limit': Mutation(
        'backend/_cold.py',
        'in_flight = server.in_flight + rules.count_in_flight_elsewhere(server.id)\n    return in_flight < ',
        'in_flight = server.in_flight\n    return in_flight < ',
        RULES,
    ),
    'a draining server gets new calls': Mutation(
        'backend/_lifecycle.py',
        'self._enter(ServerPhase.DRAINING, now)',
        'return',
        RUNS,
    ),
    'a peer ends the draining of a server': Mutation(
        'backend/_lifecycle.py',
        'if lifecycle.phase is ServerPhase.DRAINING:\n        return True',
        'if lifecycle.phase is None:\n        return True',
        RULES,
    ),
    'the limit is raised after each answer': Mutation(
        'backend/_ramp_up.py',
        'return False\n        if self.limit',
        'self.responses = 0\n        if self.limit',
        RULES,
    ),
    'a new boot id is not detected': Mutation(
        'backend/_boots.py',
        'return BootChange.RESTARTED',
        'return BootChange.SAME',
        RUNS,
    ),
    'connection failures are ignored': Mutation(
        'backend/_learning.py',
        'if attempt.kind in CONNECTION_FAILURES:',
        'if False:',
        RULES,
    ),
    'a suspect does not run alone': Mutation(
        'crash/_in_flight.py',
        'return any(running.is_suspect',
        'return None in (running.is_suspect',
        CRASHES,
    ),
    'an answer clears nobody': Mutation(
        'crash/_rules.py',
        'rules.suspects.clear(compute_call_fingerprint(ended.call))',
        'return',
        CRASHES,
    ),
    'innocent calls beside it are refused': Mutation(
        'suspects/_table.py',
        'return _intersect_suspects(crashes) == {fingerprint}',
        'return True',
        CRASHES,
    ),
    'one fault at two servers is proof': Mutation(
        'suspects/_table.py', 'is not Suspicion.REPEATED:', 'is None:', CRASHES
    ),
    'a mass failure is proof': Mutation(
        'suspects/_table.py',
        'return unrelated < MASS_FAILURE_CRASHES',
        'return True',
        CRASHES,
    ),
    'a run that answers has ended': Mutation(
        'crash/_rules.py',
        'crash.retract(rules.timers.now())',
        'return',
        CRASHES,
    ),
    'nobody is refused': Mutation(
        'suspects/_table.py',
        'if not any(self._is_proof(crash, fingerprint) for crash in crashes):',
        'if crashes:',
        CRASH_RUNS,
    ),
    'crashes are not told to peers while servers drain': Mutation(
        'suspects/_notes.py',
        'for encoded in notes:',
        'for encoded in ():',
        f'{PAIRS}[crash-drain-0]',
    ),
    'crashes are not told to peers': Mutation(
        'suspects/_notes.py',
        'for encoded in notes:',
        'for encoded in ():',
        CRASH_RUNS,
    ),
    'a stopped version still receives calls': Mutation(
        'version/_rules.py',
        'if progress.stop_reason is not None:\n        return False\n    if _is_drawn_for_new',
        'if _is_drawn_for_new',
        VERSIONS,
    ),
    'a rolled back version receives calls again': Mutation(
        'version/_rules.py',
        'if traffic.view.is_rolled_back(server.service, server.version):\n            return False',
        'if None:\n            return False',
        VERSIONS,
    ),
    'a new version receives calls without a move': Mutation(
        'version/_rules.py',
        'if current is None or server.version == current:',
        'if True:',
        VERSIONS,
    ),
    'stopped moves of peers are ignored': Mutation(
        'version/_evidence.py',
        'for stopped_move in stopped:',
        'for stopped_move in ():',
        VERSIONS,
    ),
    'evidence of peers is ignored': Mutation(
        'version/_evidence.py',
        'progress is not None\n                and len(',
        'len(())\n                and len(',
        VERSIONS,
    ),
    'earlier good results hide a late fault': Mutation(
        'version/_sequential.py', 'max(0, log_wealth)', 'log_wealth', VERSIONS
    ),
    'the share grows with time alone': Mutation(
        'version/_stages.py',
        'if self.groups >= GROUPS_PER_STAGE:',
        'if True:',
        VERSIONS,
    ),
    'the bets are not fair': Mutation(
        'version/_sequential.py',
        'fraction * odds if hit',
        '2 * fraction * odds if hit',
        VERSIONS,
    ),
    'a move is complete after its first route': Mutation(
        'version/_progress.py',
        'return all(route.stage.is_last for',
        'return any(route.stage.is_last for',
        VERSIONS,
    ),
}
