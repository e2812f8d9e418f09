"""Identities of requests across retries."""

from berylwalk.quarantine import BodyHash, account_prefix, request_identity


def digest(*parts):
    """Return the digest of a body that arrives in chunks."""
    body_hash = BodyHash()
    for part in parts:
        body_hash.add(part)
    return body_hash.digest()


def identity(account="a", method=b"POST", target=b"/x?y=1", body=b"body"):
    """Return the identity of a request."""
    return request_identity(account, method, target, digest(body))


class TestIdentity:
    """Identities are made of account, method, target and body."""

    def test_retry_has_the_same_identity(self):
        """Equal account, method, target and body must give one identity."""
        assert identity() == identity()

    def test_each_part_makes_a_difference(self):
        """Requests that differ in one part must not share an identity."""
        others = [
            identity(account="b"),
            identity(account=None),
            identity(method=b"PUT"),
            identity(target=b"/x?y=2"),
            identity(body=b"other"),
        ]
        assert len({identity(), *others}) == 6

    def test_parts_are_delimited(self):
        """Bytes moved from one part to the next must change the identity."""
        assert identity(method=b"A", target=b"/B") != identity(
            method=b"A/", target=b"B"
        )

    def test_body_hash_is_independent_of_chunks(self):
        """A retry whose body arrives in other chunks must get the same hash."""
        assert digest(b"ab", b"c") == digest(b"a", b"", b"bc") == digest(b"abc")

    def test_account_prefix_identifies_the_account(self):
        """Bounds per account rely on a prefix that no other account shares."""
        assert account_prefix(identity()) == account_prefix(identity(body=b"other"))
        assert account_prefix(identity()) != account_prefix(identity(account="b"))
