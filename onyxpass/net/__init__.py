"""HTTP/1.1 networking: the client front end, connections to replicas and endpoint discovery."""
