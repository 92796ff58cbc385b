"""Fault injection: trials on real processes, random walks in simulated time, and their checkers.

It owns the processes, links and folders of a running trial; `mallowbeam lab faults` and tests call it.
"""
