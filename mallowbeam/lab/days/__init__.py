"""Test days drawn from a seed: faults of any kind at any moment, for a deployment's site file.

It owns no state.  `mallowbeam lab days` calls it.  The words of the bench's own files stay as they are there:
`text` writes them, `site` reads them, and `kinds` lists the kinds of faults with their fields.
"""
