"""Which instance reads a prompt and which decodes; prefix affinity; handles."""
