"""Tests of operator rights."""

from verbenapost.coordination.rights import (
    OperatorRegistry,
    OperatorToken,
    Role,
    digest_token,
)
from verbenapost.protocol.errors import ErrorKind


class TestOperatorRegistry:
    def setup_method(self):
        digest = digest_token('open sesame')
        self.registry = OperatorRegistry(
            [
                OperatorToken('kim', digest, '/teams/shop', Role.WRITE),
                OperatorToken('kim', digest, '/', Role.READ),
            ]
        )

    def test_bindings_of_a_token_are_combined(self):
        rights = self.registry.authenticate('open sesame').unwrap()
        assert rights.allow('/teams/shop', Role.WRITE)
        assert rights.allow('/platform', Role.READ)
        assert not rights.allow('/platform', Role.WRITE)
        assert not rights.allow('/teams/shops', Role.WRITE)

    def test_unknown_tokens_are_refused(self):
        failure = self.registry.authenticate('sesame').err()
        assert failure.kind is ErrorKind.UNAUTHENTICATED
