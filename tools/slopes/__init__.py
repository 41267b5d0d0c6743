"""Measures how the cost of the control plane grows with the system's size.

`make slopes` prints one JSON object: for each quantity its measured points,
the fixed cost, the slope and their standard errors.
"""
