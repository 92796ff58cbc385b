"""The network side: framing, connections to nodes, discovery, and the gateway that joins them."""
