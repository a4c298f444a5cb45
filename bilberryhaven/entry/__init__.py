"""The caller-facing role: request core, routing and HTTP."""
