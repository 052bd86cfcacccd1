"""Declarations, messages and error kinds that daemon, command line and tests share."""
