"""Simulates placement policies under load in virtual time, from a seed."""
