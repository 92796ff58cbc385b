"""Ablation: the same days with and without each mechanism of the decisions, compared in pairs.

It owns the work trees of its variants and the file of results.  `mallowbeam lab ablate` calls it.
"""
