"""The stages of model servers, by their names on the wire."""

PREFILL = "prefill"
DECODE = "decode"
