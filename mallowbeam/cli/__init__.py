"""The command line: thin, one module for each group of sub-commands.  The gateway itself loads none of it."""
