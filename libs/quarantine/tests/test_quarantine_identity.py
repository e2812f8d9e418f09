"""When two requests are the same."""

from berylwalk.quarantine import BodyHash, account_prefix, request_identity


def digest(*parts):
    """Return the digest of a body that came in parts."""
    body_hash = BodyHash()
    for part in parts:
        body_hash.add(part)
    return body_hash.digest()


def identity(account="a", method=b"POST", target=b"/x?y=1", body=b"body"):
    """Return the identity of a request."""
    return request_identity(account, method, target, digest(body))


class TestIdentity:
    """Account, method, target and body make it."""

    def test_a_return_is_the_same(self):
        """Nothing else is asked."""
        assert identity() == identity()

    def test_each_part_counts(self):
        """No two of these are alike."""
        others = [
            identity(account="b"),
            identity(account=None),
            identity(method=b"PUT"),
            identity(target=b"/x?y=2"),
            identity(body=b"other"),
        ]
        assert len({identity(), *others}) == 6

    def test_parts_do_not_run_into_each_other(self):
        """What ends one part can't be taken for the start of the next."""
        assert identity(method=b"A", target=b"/B") != identity(
            method=b"A/", target=b"B"
        )

    def test_body_is_hashed_as_it_comes(self):
        """However it is cut into parts."""
        assert digest(b"ab", b"c") == digest(b"a", b"", b"bc") == digest(b"abc")

    def test_account_shows(self):
        """All of an account share a part, and no other account does."""
        assert account_prefix(identity()) == account_prefix(identity(body=b"other"))
        assert account_prefix(identity()) != account_prefix(identity(account="b"))
