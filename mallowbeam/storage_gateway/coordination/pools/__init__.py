"""The pool language: grammar, types, checks, and the split into whole connections."""
