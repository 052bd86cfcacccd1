"""Stand-ins for the platform, replicas and consumers of the cases under ``review``."""
