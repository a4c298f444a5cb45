"""Messages between the system's processes: Cap'n Proto over HTTP."""
