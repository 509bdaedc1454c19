"""Simulations of the scheduling policy and of baseline policies, and load runs."""
