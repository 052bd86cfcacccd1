"""Serves callers of a platform that can only be read."""
