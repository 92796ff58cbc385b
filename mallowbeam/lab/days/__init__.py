"""Test days drawn from a seed: troubles of any kind, at any moment, for a deployment's site file."""
