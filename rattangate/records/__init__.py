"""What the product keeps in the platform's store: bookings, configuration, audit, leases."""

from __future__ import annotations

# The table of the store that holds the product's own rows.
TABLE = "rattangate"
