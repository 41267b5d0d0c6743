"""Runs of the real programs on the real clock, judged from outside."""
