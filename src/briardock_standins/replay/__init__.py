"""Replay of load patterns in simulated time, on the decisions of the product."""
