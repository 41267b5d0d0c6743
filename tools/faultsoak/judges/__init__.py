"""Judges of a run, one for each rule; they see what stand-ins have seen."""
