"""Trials and measurements, on stand-ins and on files; nothing here is loaded by a gateway."""
