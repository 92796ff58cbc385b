"""The control-plane role: members that replicate configuration, instances and leases, and feed gateways.

The members form one Raft group. State: the replicated state machine (configurations, retirements, leases)
and the instance table, which is soft state rebuilt from heartbeats and gossip.
Callers: `mallowbeam.__main__` starts `role`; the simulation builds members with `member_builder`.
"""
