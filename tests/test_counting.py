"""Labeled counters and histograms, as exposed on the metrics page."""

import pytest

from ebonystream.counting import (
    BUCKET_BOUNDS_SECONDS,
    LabeledCounter,
    LabeledHistogram,
)
from ebonystream.metrics import MetricsPage


def render(*, counts=(), latencies=()):
    page = MetricsPage()
    for counter in counts:
        page.add_labeled_counter(counter)
    for histogram in latencies:
        page.add_labeled_histogram(histogram)
    text, _ = page.render()
    return text.decode()


@pytest.mark.parametrize(
    ('added', 'lines'),
    [
        ([], []),
        ([('a', 'x')], ['calls{end="x",kind="a"} 1']),
        (
            [('a', 'x'), ('b', 'x'), ('a', 'x')],
            ['calls{end="x",kind="a"} 2', 'calls{end="x",kind="b"} 1'],
        ),
    ],
)
def test_counts(added, lines):
    counts = LabeledCounter('calls', 'Calls.', ('kind', 'end'))
    for labels in added:
        counts.increment(*labels)
    page_text = render(counts=[counts])
    assert [line for line in page_text.splitlines() if line[:1] != '#'] == lines


@pytest.mark.parametrize(
    ('added', 'cumulative_counts', 'total'),
    [
        ([0.01], {0.01: 1, 2.0: 1}, 0.01),
        ([0.011], {0.01: 0, 0.02: 1, 2.0: 1}, 0.011),
        ([0.3, 0.7, 0.7], {0.2: 0, 0.3: 1, 0.5: 1, 0.8: 3}, 1.7),
        ([9.0], {bound: 0 for bound in BUCKET_BOUNDS_SECONDS}, 9.0),
    ],
)
def test_latencies(added, cumulative_counts, total):
    latencies = LabeledHistogram('took', 'Took.', ('kind',))
    for latency in added:
        latencies.observe(latency, 'a')
    page_text = render(latencies=[latencies])
    for bound, count in cumulative_counts.items():
        assert f'took_bucket{{kind="a",le="{bound}"}} {count}' in page_text
    assert f'took_bucket{{kind="a",le="+Inf"}} {len(added)}' in page_text
    assert f'took_count{{kind="a"}} {len(added)}' in page_text
    assert f'took_sum{{kind="a"}} {total}' in page_text
