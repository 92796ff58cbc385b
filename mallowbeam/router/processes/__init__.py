"""Code that every role's process shares: settings file, logging, metrics page, signals and exit codes.

State: the settings in force (`RoleContext`), read from the file that `MALLOWBEAM_NODE_FILE` names.
Callers: the roles of `control_plane` and `data_plane`; the command line uses the table of error codes.
"""
