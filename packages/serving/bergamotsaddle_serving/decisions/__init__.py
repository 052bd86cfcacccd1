"""Decisions about requests under load, without input and output."""
