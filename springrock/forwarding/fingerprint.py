"""Fingerprints that identify a request, or a piece of it, at all boxes and under all ids."""

from __future__ import annotations

import hashlib

from springrock.forwarding.message import ClientRequest

FINGERPRINT_DIGITS = 32
"""The number of hexadecimal digits. Any two of a million requests have the same fingerprint with a
probability of 10^-26."""

_LOGGED_DIGITS = 12


class Fingerprint(str):
    """The digest of a request, or of a piece that other requests may have in common with it."""

    __slots__ = ()

    @classmethod
    def from_request(cls, request: ClientRequest) -> Fingerprint:
        """Return the fingerprint of a request's caller, method, host, target and body.

        The caller is identified by its key, if any. The request id, the deadline and the last event
        id are left out, as they differ between the tries of one request.
        """
        return cls.from_fields(
            request.key_digest or b"",
            request.method.encode(),
            request.host.lower().encode(),
            request.target.encode(),
            end=request.body,
        )

    @classmethod
    def from_fields(cls, *fields: bytes, end: bytes = b"") -> Fingerprint:
        """Return the fingerprint of some fields, of which the last may be long."""
        digest = hashlib.blake2b(digest_size=FINGERPRINT_DIGITS // 2)
        for field in fields:
            # The length prefix makes the boundaries between the fields unambiguous.
            digest.update(len(field).to_bytes(4) + field)
        digest.update(end)
        return cls(digest.hexdigest())

    @property
    def short(self) -> str:
        """The start of the fingerprint for logs, long enough to find the tries of one request."""
        return self[:_LOGGED_DIGITS]
