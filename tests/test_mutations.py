"""Each proof can fail: a mechanism is broken in a copy, and its test goes red.

Each row names a text of the product, what replaces it in a scratch copy, and
the test that must then fail. The product itself is never changed.
"""

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest
from host_mutations import HOST_MUTATIONS
from server_mutations import SERVER_MUTATIONS, Mutation

ROOT = Path(__file__).parent.parent
TESTS_FAILED = 1

pytestmark = pytest.mark.mutations


MUTATIONS = {
    'a snapshot is requested without delay': Mutation(
        'membership/_snapshots.py',
        'return now - self.since >= BEHIND_AFTER',
        'return True',
        'tests/test_snapshots.py::test_lag',
    ),
    'a snapshot may decrease the offset': Mutation(
        'membership/_snapshots.py',
        'assert state.get_next() >= before, (',
        'assert state.get_next() is not None, (',
        'tests/test_snapshots.py::test_a_decreasing_offset_is_asserted',
    ),
    'a client with another key may connect': Mutation(
        'peer/_zap.py',
        'if hmac.compare_digest(credentials, public_key):',
        'if credentials:',
        'tests/test_zmq_transport.py::test_unauthorized_clients_are_disconnected',
    ),
    'another host may respond': Mutation(
        'peer/_questions.py',
        'return same_type and sender == question.host',
        'return same_type',
        'tests/test_exchange.py::test_only_a_matching_response_is_accepted',
    ),
    'responses to an earlier incarnation are accepted': Mutation(
        'peer/_exchange.py',
        'if envelope.recipient == self.incarnation:',
        'if envelope:',
        'tests/test_exchange.py::test_drops',
    ),
    'an incarnation is confirmed without proof': Mutation(
        'membership/_hearing.py',
        'return hearing.echo >= candidate.proof',
        'return True',
        'tests/test_membership.py::test_state_of_one_peer',
    ),
    'an echo of an earlier heartbeat is proof': Mutation(
        'membership/_hearing.py',
        'proof=hearing.sent + 1',
        'proof=0',
        'tests/test_membership.py::test_state_of_one_peer',
    ),
    'a proof stays valid after the next incarnation': Mutation(
        'membership/_member.py',
        'self.candidates.clear()',
        'self.candidates.pop(heartbeat.incarnation)',
        'tests/test_membership.py::test_state_of_one_peer',
    ),
    'heartbeats are accepted in any order': Mutation(
        'membership/_hearing.py',
        'heartbeat.sequence <= _find_last_sequence(member, heartbeat)',
        'heartbeat.sequence < 0',
        'tests/test_membership_faults.py::test_any_mix_of_faults',
    ),
    'loads of another revision are restored': Mutation(
        'membership/_telling.py',
        'if newest.revision != heartbeat.revision:',
        'if newest.revision < 0:',
        'tests/test_telling.py::test_omitted_loads_are_restored',
    ),
    'loads of another incarnation are restored': Mutation(
        'membership/_telling.py',
        'newest.incarnation != heartbeat.incarnation',
        'not newest.incarnation',
        'tests/test_telling.py::test_omitted_loads_are_restored',
    ),
    'loads that the receiver lacks are omitted': Mutation(
        'membership/_telling.py',
        'if newest.known != heartbeat.revision:',
        'if newest.known is None:',
        'tests/test_telling.py::test_only_correct_loads_are_accepted',
    ),
    'a revision number is reused for other loads': Mutation(
        'membership/_telling.py',
        'if loads != self.loads or self.revision == UNNUMBERED:',
        'if self.revision == UNNUMBERED:',
        'tests/test_telling.py::test_only_correct_loads_are_accepted',
    ),
    'an incarnation that is gone is confirmed again': Mutation(
        'membership/_hearing.py',
        'if heartbeat.incarnation in hearing.tombstones:',
        'if not heartbeat.incarnation:',
        'tests/test_membership.py::test_state_of_one_peer',
    ),
    'a peer that receives nothing is reachable': Mutation(
        'membership/_member.py',
        'if now - echoed_at > pace.silence + pace.period:',
        'if not now:',
        'tests/test_membership_faults.py::test_partition_between_two_hosts',
    ),
    'a pause of the local host makes peers unreachable': Mutation(
        'membership/_membership.py',
        'member.excuse(now)',
        'member.excuse(member.excused_at)',
        'tests/test_membership.py::test_state_of_one_peer',
    ),
    'the later claim wins': Mutation(
        'ownership/_intervals.py',
        'free = list(self._find_free(new))',
        'self.sorted = []\n        free = [new]',
        'tests/test_ownership_grants.py::test_only_its_owner_ends_ownership',
    ),
    'anyone can release': Mutation(
        'ownership/_intervals.py',
        'if interval.owner != owner or interval.until <= since:',
        'if interval.until <= since:',
        'tests/test_ownership_grants.py::test_only_its_owner_ends_ownership',
    ),
    'a late reader trusts what it sees': Mutation(
        'ownership/_grants.py',
        'max(self.blind_until, record.at + MAX_AHEAD_MS)',
        'self.blind_until',
        'tests/test_ownership_grants.py::'
        'test_a_late_reader_agrees_where_it_answers',
    ),
    'claims may reach far ahead': Mutation(
        'ownership/_grants.py',
        ' and span.until <= at + MAX_AHEAD_MS',
        '',
        'tests/test_ownership_grants.py::test_fold',
    ),
    'a cut attempt is tried again': Mutation(
        'ownership/_owner.py',
        'if attempt.kind in MAY_HAVE_RUN:\n            break',
        'if attempt.kind in MAY_HAVE_RUN:\n            continue',
        'tests/test_ownership_ledger.py',
    ),
    'a key that was not run is not burned': Mutation(
        'ownership/_ledger.py',
        'entry.done.set()',
        'entry.done.set()\n        self.entries.pop(entry.key)',
        'tests/test_ownership_ledger.py',
    ),
    'the same key takes another request': Mutation(
        'ownership/_ledger.py',
        'if entry.digest != digest:',
        'if False:',
        'tests/test_ownership_ledger.py',
    ),
    'a key below the floor begins again': Mutation(
        'ownership/_ledger.py',
        'if read_label(key) < self.floor:\n                raise',
        'if False:\n                raise',
        'tests/test_ownership_ledger.py',
    ),
    'labels that were given up still run': Mutation(
        'ownership/_owner.py',
        'if owner == self.incarnation and self._gave_up(label):',
        'if False:',
        'tests/test_ownership_ledger.py',
    ),
    'a key is begun after the last call ended': Mutation(
        'ownership/_owner.py',
        'if owner.closed:',
        'if owner.closed is None:',
        'tests/test_ownership_ledger.py',
    ),
    'a leaving owner gives up labels that ran': Mutation(
        'ownership/_owner.py',
        'max(since, self.ledger.ceiling + 1)',
        'since',
        'tests/test_ownership_ledger.py',
    ),
    'an owner that is held loses its labels to others': Mutation(
        'ownership/_intervals.py',
        'free = list(self._find_free(new))',
        'self.cut_all(new.start)\n        free = [new]\n\n'
        '    def cut_all(self, since: EpochMs) -> None:\n'
        '        """Drop whatever others own."""\n'
        '        self.sorted = [\n'
        '            one for one in self.sorted if one.until <= since\n'
        '        ]\n\n'
        '    def unused(self, new: Interval) -> None:\n'
        '        """Keep the lines that follow in a function."""\n'
        '        free: list[Interval] = []',
        'tests/test_once_everywhere.py',
    ),
    'a caller that leaves cancels its call': Mutation(
        'ownership/_owner.py',
        'owner.running.start_soon(_execute, owner, call, entry)',
        'owner.running.start_soon(_execute, owner, call, entry)\n'
        '        owner.running.cancel_scope.deadline = 0.05',
        'tests/test_ownership_ledger.py',
    ),
    'a probe takes nothing out of its budget': Mutation(
        'probe/_budget.py',
        'self.next_at[server] = Monotonic(now + spacing)',
        'self.next_at[server] = now',
        'tests/test_probe.py::test_cost_is_never_beyond_the_budget',
    ),
    'probes are spaced by their cost alone': Mutation(
        'probe/_budget.py',
        'max(1, self.cost_ms / self.budget_ms)',
        'self.cost_ms / MS_PER_SECOND',
        'tests/test_probe.py::test_cost_is_never_beyond_the_budget',
    ),
    'a connection is kept after a call that was given up': Mutation(
        'upstream/_exchange.py',
        'if answer is None or not answer.keep_alive:\n'
        '            await trio.aclose_forcefully(stream)',
        'if answer is None:\n'
        '            await pool.give_back(server.at, stream)',
        'tests/test_upstream.py::test_no_late_answer_reaches_another_call',
    ),
}


EVERY = MUTATIONS | SERVER_MUTATIONS | HOST_MUTATIONS


@pytest.mark.parametrize('mutation', EVERY.values(), ids=EVERY.keys())
def test_the_proof_goes_red(mutation, tmp_path):
    shutil.copytree(ROOT / 'src', tmp_path / 'src')
    broken = tmp_path / 'src' / 'ebonystream' / mutation.module
    text = broken.read_text()
    assert text.count(mutation.old) == 1
    broken.write_text(text.replace(mutation.old, mutation.new))
    run = subprocess.run(
        [
            *(sys.executable, '-m', 'pytest', '-x', mutation.test),
            *('-o', f'pythonpath={tmp_path / "src"} tools'),
        ],
        cwd=ROOT,
        env={**os.environ, 'PYTHONPATH': f'{tmp_path / "src"}:tools'},
        capture_output=True,
        text=True,
        check=False,
    )
    assert run.returncode == TESTS_FAILED, run.stdout
