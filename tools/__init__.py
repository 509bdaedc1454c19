"""Scripts for demonstrations and tests; they are not part of the package."""
