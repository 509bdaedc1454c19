"""The administration API and the console for operators."""
