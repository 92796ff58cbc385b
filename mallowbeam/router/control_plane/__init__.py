"""The control-plane role: members that replicate configuration, instances and leases, and feed gateways.

State: the replicated state machine (configurations, retirements, leases) and, soft, the instance table.
Callers: `mallowbeam.__main__` starts `role`; the simulation builds members with `member_builder`.
"""
