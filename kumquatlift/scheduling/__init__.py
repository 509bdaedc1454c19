"""Slots of upstreams: demands, grants, placement and what is learned of run times."""
