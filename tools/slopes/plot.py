"""Plots measured points with their fitted lines."""

from collections.abc import Sequence
from pathlib import Path

import matplotlib as mpl
import numpy as np
from matplotlib import pyplot as plt

from slopes.fit import Line

COLUMNS = 4
PANEL_INCHES = 3.2


def plot_lines(lines: Sequence[Line], path: Path) -> None:
    """Draw one panel for each quantity.

    Args:
        lines: The fitted lines of the quantities.
        path: The image file to write; its suffix determines the format.
    """
    mpl.use('Agg')
    rows = -(-len(lines) // COLUMNS)
    figure, panels = plt.subplots(
        rows,
        COLUMNS,
        figsize=(COLUMNS * PANEL_INCHES, rows * PANEL_INCHES),
        layout='constrained',
    )
    for panel in panels.flat:
        panel.set_visible(False)
    for panel, line in zip(panels.flat, lines, strict=False):
        panel.set_visible(True)
        sizes = np.array(line.sizes)
        panel.plot(sizes, line.points, 'o')
        panel.plot(sizes, line.fixed + line.slope * sizes)
        panel.set_title(line.quantity, fontsize='small')
        panel.set_xlabel(line.against)
        panel.set_ylabel(line.unit)
    figure.savefig(path)
