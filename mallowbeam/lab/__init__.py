"""Trials and measurements on stand-ins and on files.

It owns the processes and folders of a running trial.  `mallowbeam lab` and the tests call it; neither the
gateway nor a role of the router fleet imports it.
"""
