"""The role on core machines: API, consensus, registry and feed joined; I/O and no decisions."""
