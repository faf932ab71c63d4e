"""Requests, attempts and outcomes, without any wire protocol or scheduling decision."""
