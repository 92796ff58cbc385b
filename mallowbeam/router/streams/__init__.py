"""Events of a stream passed on and resumed."""
