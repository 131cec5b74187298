"""A bounded cache of verified tokens, keyed by the hash of the token; free of I/O.

Any thread may verify. The lock guards the order and the size of the cache. A lookup and the removal
of one token need no lock: each is one atomic operation of a dictionary.
"""

import hashlib
import threading
from collections import OrderedDict

from stepstream.identity.errors import TokenError
from stepstream.identity.key_set import KeySet
from stepstream.identity.tokens import Claims, TokenRules, check_size, check_times, verify_token


class CachingTokenVerifier:
    """Verifies tokens; the signature of a cached token is not verified again.

    Everything else is checked at each use: a cached token is valid only while its key is in the
    current key set and usable, and while its own times are valid. A new key set starts with an
    empty cache.
    """

    def __init__(self, key_set: KeySet, rules: TokenRules, max_tokens: int) -> None:
        self.key_set = key_set
        self.rules = rules
        self.max_tokens = max_tokens
        self.cached_claims: OrderedDict[bytes, Claims] = OrderedDict()
        self.hit_count = 0
        self.miss_count = 0
        self.latest_time = 0.0  # latest time seen, in Unix seconds
        self.lock = threading.Lock()  # guards the order and size of `cached_claims`

    def with_key_set(
        self, key_set: KeySet, rules: TokenRules, max_tokens: int
    ) -> "CachingTokenVerifier":
        """Return a verifier for a new key set, with an empty cache and the same latest time."""
        verifier = CachingTokenVerifier(key_set, rules, max_tokens)
        verifier.latest_time = self.latest_time
        return verifier

    def advance_clock(self, now: float) -> float:
        """Return `now`, or the latest time seen if the clock stepped back.

        Guards against an expired token or certificate that becomes valid again.
        """
        self.latest_time = now = max(now, self.latest_time)
        return now

    def verify(self, token: bytes, now: float) -> Claims:
        """Return the claims of a token at the Unix time `now`; raise `TokenError`."""
        now = self.advance_clock(now)
        check_size(token, self.rules)
        digest = hashlib.sha256(token).digest()
        claims = self.cached_claims.get(digest)
        if claims is None:
            self.miss_count += 1
            claims = verify_token(token, self.key_set, self.rules, now)
            self._store(digest, claims)
            return claims
        self.hit_count += 1
        try:
            self.key_set.find(claims.key_id).check_usable(now)
            check_times(claims, self.rules, now)
        except TokenError:
            self.cached_claims.pop(digest, None)
            raise
        return claims

    def _store(self, digest: bytes, claims: Claims) -> None:
        with self.lock:
            self.cached_claims[digest] = claims
            while len(self.cached_claims) > self.max_tokens:
                self.cached_claims.popitem(last=False)  # the oldest
