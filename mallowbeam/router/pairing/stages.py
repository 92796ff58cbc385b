"""The stages of model servers, as the wire names them."""

PREFILL = "prefill"
DECODE = "decode"
