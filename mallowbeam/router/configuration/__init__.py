"""The operator's configuration: schemas, versions, compare-and-set, what a change alters."""
