"""A small specification of the core protocol, searched by a model checker."""
