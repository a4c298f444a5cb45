"""Stand-in backend server."""
