"""The command line: one module for each group of sub-commands, and the helpers that they share.

It keeps no state: it reads files and calls a gateway, a control plane or a trial of `mallowbeam.lab`.
`mallowbeam.__main__` calls it; neither the gateway nor a role of the router fleet imports it.
"""
