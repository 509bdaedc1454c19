"""Experiments on the scheduling policy, its baselines, and load runs."""
