"""Stand-in backend server: speaks the protocol of docs/backend-server.md."""
