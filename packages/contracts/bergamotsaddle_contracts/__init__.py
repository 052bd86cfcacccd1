"""Declarations, messages and error kinds shared by daemon, command line and tests."""
