"""The leader's work: sessions, leases, change feed and API."""
