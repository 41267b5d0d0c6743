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
from server_mutations import SERVER_MUTATIONS, Mutation

ROOT = Path(__file__).parent.parent
TESTS_FAILED = 1

pytestmark = pytest.mark.mutations


MUTATIONS = {
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
    'a leaving owner gives up labels that ran': Mutation(
        'ownership/_owner.py',
        'max(since, self.ledger.ceiling + 1)',
        'since',
        'tests/test_once_everywhere.py',
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
}


EVERY = MUTATIONS | SERVER_MUTATIONS


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
