"""Fingerprints that identify a request across its tries, at all boxes and under all ids."""

from __future__ import annotations

import hashlib

from springrock.forwarding.message import ClientRequest

FINGERPRINT_DIGITS = 32
"""The number of hexadecimal digits. Any two of a million requests have the same fingerprint with a
probability of 10^-26."""

_LOGGED_DIGITS = 12


class Fingerprint(str):
    """The digest of a request's caller, method, host, target and body.

    The request id, the deadline and the last event id are left out, as they differ between the
    tries of one request.
    """

    __slots__ = ()

    @classmethod
    def from_request(cls, request: ClientRequest) -> Fingerprint:
        """Return the fingerprint of a request, whose caller is identified by its key, if any."""
        digest = hashlib.blake2b(digest_size=FINGERPRINT_DIGITS // 2)
        head = (
            request.key_digest or b"",
            request.method.encode(),
            request.host.lower().encode(),
            request.target.encode(),
        )
        for part in head:
            # The length prefix makes the boundaries between the parts unambiguous.
            digest.update(len(part).to_bytes(4) + part)
        digest.update(request.body)
        return cls(digest.hexdigest())

    @property
    def short(self) -> str:
        """The start of the fingerprint for logs, long enough to find the tries of one request."""
        return self[:_LOGGED_DIGITS]
