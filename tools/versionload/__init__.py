"""Simulation of version moves without a network, and tables of its results."""

from versionload.simulation import Load, MoveResult, simulate

__all__ = ('Load', 'MoveResult', 'simulate')
