"""Membership of the entry processes, maintained by gossip over UDP."""
