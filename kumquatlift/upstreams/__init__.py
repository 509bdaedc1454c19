"""Announcements of runners, the client that calls them, and a stand-in for tests."""
