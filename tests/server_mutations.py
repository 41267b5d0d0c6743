"""Broken mechanisms of what backend servers bear; see `test_mutations`."""

import attrs


@attrs.frozen
class Mutation:
    """One broken mechanism.

    Attributes:
        module: The file below `src/ebonystream`.
        old: A text that stands in it exactly once.
        new: What replaces the text.
        test: The tests that must fail, as pytest selects them.
    """

    module: str
    old: str
    new: str
    test: str


RUNS = 'tests/test_server_runs.py::test_cold_servers_get_one_call_at_a_time'
RULES = 'tests/test_server_rules.py'

SERVER_MUTATIONS = {
    'cold servers are used as warm ones': Mutation(
        'backend/_warmth.py',
        'return self.phase in STARTING',
        'return False',
        RUNS,
    ),
    'a cold start is not told to peers': Mutation(
        'backend/_standing.py', 'in standings:', 'in ():', RUNS
    ),
    'a new sponsor does not wait': Mutation(
        'backend/_sponsor.py',
        'HANDOVER = Seconds(2)',
        'HANDOVER = Seconds(0)',
        RULES,
    ),
    'calls of other hosts are not counted': Mutation(
        'backend/_cold.py',
        'in_hand = server.in_flight + rules.count_elsewhere(server.id)\n    return in_hand < ',
        'in_hand = server.in_flight\n    return in_hand < ',
        RULES,
    ),
    'a draining server is not left alone': Mutation(
        'backend/_warmth.py',
        'self._enter(ServerPhase.DRAINING, now)',
        'return',
        RUNS,
    ),
    'a peer talks a draining server back': Mutation(
        'backend/_warmth.py',
        'if warmth.phase is ServerPhase.DRAINING:\n        return True',
        'if warmth.phase is None:\n        return True',
        RULES,
    ),
    'time grows what a server bears': Mutation(
        'backend/_growth.py',
        'if self.answers < ANSWERS_PER_STEP:',
        'if False:',
        RULES,
    ),
    'a new run is not seen': Mutation(
        'backend/_boots.py',
        'return BootNews.RESTARTED',
        'return BootNews.SAME',
        RUNS,
    ),
    'a lost connection tells nothing': Mutation(
        'backend/_learning.py', 'if attempt.kind in LOST:', 'if False:', RULES
    ),
}
