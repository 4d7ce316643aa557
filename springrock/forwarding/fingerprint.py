"""What tells a request from all others, by whichever box and under whatever id it comes again."""

from __future__ import annotations

import hashlib

from springrock.forwarding.message import ClientRequest

_BYTES = 16
"""Two requests of a million have the same one by a chance of under 10^-26."""

_SHOWN_BYTES = 6


class Fingerprint(bytes):
    """The digest of a request's caller, method, host, target and body.

    Ids, deadlines and where a stream is taken up are not in it, as they differ from try to try.
    """

    @classmethod
    def from_request(cls, request: ClientRequest) -> Fingerprint:
        """Return the fingerprint of a request; its caller is known by its key, if it sent one."""
        digest = hashlib.blake2b(digest_size=_BYTES)
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
        return cls(digest.digest())

    @property
    def shown(self) -> str:
        """What of it a log shows: enough to find the tries of one request."""
        return self[:_SHOWN_BYTES].hex()
