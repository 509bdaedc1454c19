"""The configuration document and the replicated register that holds it."""
