"""Decisions on overload: how requests wait, are refused, return and are placed.

The modules do no input or output and read no clock: the time is an argument. The
nodes (``briardock.mesh``) and the replay of loads drive the same code.
"""
