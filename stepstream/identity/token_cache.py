"""A bounded cache of verified tokens, by the hash of their text; free of I/O.

Owns the cached claims and the latest time that was seen. Any thread may verify: the lock guards the
order and the size of the table. A lookup and the removal of one token need none: each is one atomic
operation of a dictionary.
"""

import hashlib
import threading
from collections import OrderedDict

from stepstream.identity.errors import TokenError
from stepstream.identity.key_set import KeySet
from stepstream.identity.tokens import Claims, TokenRules, check_size, check_times, verify_token


class CachingTokenVerifier:
    """Verifies tokens, and the signature of each only once while it is cached.

    Everything else is checked at each use: a cached token is good only while its key is in the
    present key set, unrevoked, and its own times hold. A new key set starts with an empty cache.
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

    def replaced(
        self, key_set: KeySet, rules: TokenRules, max_tokens: int
    ) -> "CachingTokenVerifier":
        """Return a verifier with an empty cache for a new key set; it keeps the latest time."""
        verifier = CachingTokenVerifier(key_set, rules, max_tokens)
        verifier.latest_time = self.latest_time
        return verifier

    def advance_clock(self, now: float) -> float:
        """Return `now`, or the latest time seen if the clock stepped back.

        Guards what has expired from being good again.
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
