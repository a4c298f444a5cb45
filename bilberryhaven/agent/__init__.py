"""Agent: admits work to the backend server beside it and reports on it."""
