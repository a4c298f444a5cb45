"""Agent: admits work to one backend server and reports its state."""
