"""Clients of the endpoints (model engines and plain services), their monitoring and orders."""
