"""Measures what control costs against the size of what is controlled.

`make slopes` prints one JSON object: for each quantity its measured points,
the fixed cost, the slope and their standard errors.
"""
