"""The daemon of an entry instance."""
