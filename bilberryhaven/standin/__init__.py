"""Stand-in backend server; implements the API in docs/backend-server.md."""
