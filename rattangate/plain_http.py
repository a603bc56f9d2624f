"""The TLS trust store of HTTP clients that never use TLS."""

from __future__ import annotations

import ssl

# Without trusted certificates, TLS connections fail and no CA bundle is unpacked to disk.
EMPTY_TRUST_STORE = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
