"""Plays loads against policies of placing, in virtual time and seeded."""
