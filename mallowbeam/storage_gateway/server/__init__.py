"""The storage gateway's network side: calls, attempts, discovery, upgrades, the admin endpoint, metrics.

State: `gateway.Gateway` owns the phase, pending calls and node addresses; `attempts.AttemptRunner` the
attempts in flight; `peer.PeerCoordinator` the link to the other process of an upgrade.  Called by the
frontends and subsystems; built by `application.py`.
"""
