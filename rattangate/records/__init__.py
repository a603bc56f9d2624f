"""Records in the platform's store: bookings, configuration versions, audit trail and leases."""

from __future__ import annotations

# The store's table for the rows of this product.
TABLE = "rattangate"
