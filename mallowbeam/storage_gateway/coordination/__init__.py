"""Coordination of the storage gateways of one fleet: policy, maintenance and quota shares over a Raft log.

Owns the replicated states and this gateway's lease on them; its files are in the setting `policy.folder`.
Opened by `application.py` (`status_pages.open_policy`), and never loaded where the operators' file leaves it
off.
"""
