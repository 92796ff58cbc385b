"""What a gateway learns of instances from its own exchanges."""
