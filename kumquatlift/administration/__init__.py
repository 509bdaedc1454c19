"""The operators' API and console."""
