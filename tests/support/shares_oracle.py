"""Weighted max-min by linear programs, as docs/shares.md states it: an oracle for the filling."""

from __future__ import annotations

import numpy as np
from scipy.optimize import linprog

from mallowbeam.storage_gateway.coordination.shares.max_min_fairness import Network


def lexicographic(net: Network, demand: dict[int, int]) -> dict[int, float]:
    """The two programs after one another: what reserves keep, then the rest by weight."""
    demand = {flow: asked for flow, asked in demand.items() if asked > 0}
    count = len(net.nodes)
    caps = [r if limit is None else min(r, limit) for r, limit in zip(net.reserves, net.limits, strict=True)]
    reserved = {flow: asked for flow, asked in demand.items() if net.reserves[flow // count]}
    floors = _rounds(net, reserved, {}, net.reserves, caps)
    return _rounds(net, demand, floors, net.weights, net.limits)


def _rounds(net, demand, floors, paces, limits):
    """Raise the least level as far as it goes; fix whom a dual price shows to be stopped; again."""
    flows, count = sorted(demand), len(net.nodes)
    if not flows:
        return {}
    rows, bounds = [], []
    for place, cap in enumerate(net.nodes):
        rows.append([float(flow % count == place) for flow in flows])
        bounds.append(cap / 1000)
    for place, cap in enumerate(net.zones):
        if cap is not None:
            rows.append([float(net.zone_of[flow % count] == place) for flow in flows])
            bounds.append(cap / 1000)
    for place, cap in enumerate(limits):
        if cap is not None:
            rows.append([float(flow // count == place) for flow in flows])
            bounds.append(cap / 1000)
    links = np.hstack([np.array(rows), np.zeros((len(rows), 1))])
    pace = np.array([paces[flow // count] / 1000 for flow in flows])
    fixed: dict[int, float] = {}
    while len(fixed) < len(flows):
        free = [at for at in range(len(flows)) if at not in fixed]
        above = np.zeros((len(free), len(flows) + 1))
        for row, at in enumerate(free):
            above[row, at], above[row, -1] = -1.0, pace[at]  # level * pace <= rate
        box = [
            (fixed[at] - 1e-7, fixed[at] + 1e-7)
            if at in fixed
            else (max(floors.get(flow, 0) / 1000 - 1e-7, 0), demand[flow] / 1000)
            for at, flow in enumerate(flows)
        ]
        told = linprog(
            np.append(np.zeros(len(flows)), -1.0),
            np.vstack([links, above]),
            np.append(np.array(bounds) + 1e-6, np.zeros(len(free))),
            bounds=[*box, (0, None)],
            method="highs",
        )
        assert told.status == 0, told.message
        prices = told.ineqlin.marginals[len(rows) :]
        stopped = [at for row, at in enumerate(free) if prices[row] < -1e-9]
        assert stopped, "a bounded program has a price"
        for at in stopped:
            fixed[at] = float(told.x[-1] * pace[at])
    return {flow: fixed[at] * 1000 for at, flow in enumerate(flows)}
