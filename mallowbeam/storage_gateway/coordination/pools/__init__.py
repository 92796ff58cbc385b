"""The pool language: how the operators divide a storage node's connections over gateways and tenants.

Owns one gateway's counts of open and borrowed connections (`borrowing.py`); all else are pure functions of a
text, the fleet and the agreed facts.  Nothing calls it yet but its tests (docs/pools.md, "Open").
"""
