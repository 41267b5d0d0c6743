"""Counters with labels."""

from collections import Counter

import attrs

Labels = tuple[str, ...]
"""Label names, or label values of one series in the order of the names."""


@attrs.define
class LabeledCounter:
    """A counter with labels.

    Attributes:
        name: Name of the metric.
        doc: Help text of the metric.
        label_names: Names of the labels.
        series: The count of each set of label values.
    """

    name: str
    doc: str
    label_names: Labels
    series: Counter[Labels] = attrs.field(factory=Counter)

    def increment(self, *labels: str) -> None:
        """Increment the count of a set of label values by one.

        Args:
            labels: The label values, in the order of the label names.
        """
        self.series[labels] += 1
