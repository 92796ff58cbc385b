"""What many gateways decide together; never loaded where the operators' file leaves it off."""
