"""The platform's wire, HTTP/1.1: clients in front, replicas behind, discovery beside."""
