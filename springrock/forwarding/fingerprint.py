"""What tells a request from all others, by whichever box and under whatever id it comes again."""

from __future__ import annotations

import hashlib

from springrock.forwarding.message import ClientRequest

DIGITS = 32
"""Hexadecimal ones. Two of a million requests have the same fingerprint by a chance of 10^-26."""

_SHOWN_DIGITS = 12


class Fingerprint(str):
    """The digest of a request's caller, method, host, target and body.

    Ids, deadlines and where a stream is taken up are not in it, as they differ from try to try.
    """

    __slots__ = ()

    @classmethod
    def from_request(cls, request: ClientRequest) -> Fingerprint:
        """Return the fingerprint of a request; its caller is known by its key, if it sent one."""
        digest = hashlib.blake2b(digest_size=DIGITS // 2)
        head = (
            request.key_digest or b"",
            request.method.encode(),
            request.host.lower().encode(),
            request.target.encode(),
        )
        for part in head:
            # The length keeps what one part ends with apart from what the next begins with.
            digest.update(len(part).to_bytes(4) + part)
        digest.update(request.body)
        return cls(digest.hexdigest())

    @property
    def shown(self) -> str:
        """What of it a log shows: enough to find the tries of one request."""
        return self[:_SHOWN_DIGITS]
