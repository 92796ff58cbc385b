"""The operator's configuration: its schema, validation, versions and incremental updates.

State: the replicated part of it, `versions.ConfigurationVersions` (the current version, the accepted ones and
rejected commands). Callers: the control plane (parsing, versions, updates), gateways (model, updates) and the
command line (parsing).
"""
