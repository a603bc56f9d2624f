"""The trust store of clients that speak plain HTTP."""

from __future__ import annotations

import ssl

# Trusts nobody, so that TLS is refused and no certificate file is unpacked to disk.
EMPTY_TRUST = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
