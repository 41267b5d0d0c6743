"""Measures the policy under load, on a loop of events in virtual time."""
