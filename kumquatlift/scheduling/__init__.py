"""Assigns slots of upstreams: demands, grants, placement and run time estimates."""
