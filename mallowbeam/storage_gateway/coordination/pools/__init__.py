"""The pool language, in which operators divide a storage node's connections over gateways and tenants.

`borrowing.py` counts one gateway's open and borrowed connections; all other modules are pure functions of a
text, the fleet and the agreed facts.  Only tests use this package so far (docs/pools.md, "Open").
"""
