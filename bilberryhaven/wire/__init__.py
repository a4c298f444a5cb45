"""Messages between the system's own processes: Cap'n Proto over HTTP."""
