"""The role on edge machines: routes, requests, attempts and budgets joined; I/O and no decisions."""
