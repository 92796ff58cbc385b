"""What every role starts with: settings, logging, signals, error codes."""
