"""Weighted max-min by linear programs, as docs/shares.md states it: an oracle for the filling."""

from __future__ import annotations

import numpy as np
from scipy.optimize import linprog

from mallowbeam.storage_gateway.coordination.shares.max_min_fairness import Network


def solve_max_min(net: Network, demand: dict[int, int]) -> dict[int, float]:
    """Solve the two programs in turn: first the reserves, then the rest by weight."""
    demand = {flow: requested for flow, requested in demand.items() if requested > 0}
    node_count = len(net.nodes)
    reserve_limits = [
        r if limit is None else min(r, limit) for r, limit in zip(net.reserves, net.limits, strict=True)
    ]
    reserved = {flow: requested for flow, requested in demand.items() if net.reserves[flow // node_count]}
    floors = _fill(net, reserved, {}, net.reserves, reserve_limits)
    return _fill(net, demand, floors, net.weights, net.limits)


def _fill(net, demand, floors, weights, limits):
    """Maximize the lowest level, fix the flows that a dual price shows to be bounded, and repeat."""
    flows, node_count = sorted(demand), len(net.nodes)
    if not flows:
        return {}
    rows, bounds = [], []
    for position, bound in enumerate(net.nodes):
        rows.append([float(flow % node_count == position) for flow in flows])
        bounds.append(bound / 1000)
    for position, bound in enumerate(net.zones):
        if bound is not None:
            rows.append([float(net.zone_of[flow % node_count] == position) for flow in flows])
            bounds.append(bound / 1000)
    for position, bound in enumerate(limits):
        if bound is not None:
            rows.append([float(flow // node_count == position) for flow in flows])
            bounds.append(bound / 1000)
    links = np.hstack([np.array(rows), np.zeros((len(rows), 1))])
    flow_weights = np.array([weights[flow // node_count] / 1000 for flow in flows])
    fixed: dict[int, float] = {}
    while len(fixed) < len(flows):
        free = [at for at in range(len(flows)) if at not in fixed]
        level_rows = np.zeros((len(free), len(flows) + 1))
        for row, at in enumerate(free):
            level_rows[row, at], level_rows[row, -1] = -1.0, flow_weights[at]  # level * weight <= rate
        rate_bounds = [
            (fixed[at] - 1e-7, fixed[at] + 1e-7)
            if at in fixed
            else (max(floors.get(flow, 0) / 1000 - 1e-7, 0), demand[flow] / 1000)
            for at, flow in enumerate(flows)
        ]
        solution = linprog(
            np.append(np.zeros(len(flows)), -1.0),
            np.vstack([links, level_rows]),
            np.append(np.array(bounds) + 1e-6, np.zeros(len(free))),
            bounds=[*rate_bounds, (0, None)],
            method="highs",
        )
        assert solution.status == 0, solution.message
        dual_prices = solution.ineqlin.marginals[len(rows) :]
        saturated = [at for row, at in enumerate(free) if dual_prices[row] < -1e-9]
        assert saturated, "a bounded program has a nonzero dual price"
        for at in saturated:
            fixed[at] = float(solution.x[-1] * flow_weights[at])
    return {flow: fixed[at] * 1000 for at, flow in enumerate(flows)}
