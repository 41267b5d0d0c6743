"""Figures that only grow, one for each set of labels."""

from collections import Counter

import attrs

Labels = tuple[str, ...]
"""The values of the labels of one series, in the order of their names."""


@attrs.define
class Counts:
    """What was counted under one name.

    Attributes:
        name: The name of the metric.
        doc: What it tells.
        labels: The names of its labels.
        series: The count for each set of label values.
    """

    name: str
    doc: str
    labels: Labels
    series: Counter[Labels] = attrs.field(factory=Counter)

    def add(self, *labels: str) -> None:
        """Count one.

        Args:
            labels: The values of its labels, in the order of their names.
        """
        self.series[labels] += 1
