"""Scripts for demonstrations and tests; they are no part of the package."""
