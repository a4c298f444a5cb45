"""Entry process: HTTP API, request handling and routing."""
