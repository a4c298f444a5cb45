"""Control plane of the leader: sessions, leases, change feed and API."""
