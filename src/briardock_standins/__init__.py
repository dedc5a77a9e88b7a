"""Stand-ins for the platform, targets, callers and the network, for tests."""
