"""Claims: exclusive rights to dispatch a request."""

import datetime

from bilberryhaven import commands
from bilberryhaven import errors
from bilberryhaven.tables import claim

__all__ = ['CLAIM_RETENTION', 'ClaimRequest', 'MAX_CLAIMS']

# Time for which further claims of a request id are refused.
CLAIM_RETENTION = datetime.timedelta(hours=24)
MAX_CLAIMS = 500_000


class ClaimRequest(commands.Command, kw_only=True, frozen=True):
    """Claim a request that must run at most once, before its dispatch."""

    request_id: str
    workload: str
    holder: str
    at: datetime.datetime

    def apply(self, state):
        """Grant the claim to the first that requests it.

        Raises:
            RefusedError: The request is already claimed.
            OverloadError: The limit of stored claims is reached.
        """
        existing = state.claims.find(self.request_id)
        if existing is not None:
            raise errors.RefusedError(
                f'request was claimed by {existing.holder} at '
                f'{existing.at.isoformat()}',
                step='claim',
                peer=existing.holder,
                outcome=errors.Outcome.UNKNOWN,
                request_id=self.request_id,
            )
        _expire_claims(state, self.at)
        if len(state.claims) >= MAX_CLAIMS:
            raise errors.OverloadError(
                f'the limit of {MAX_CLAIMS} claims is reached', step='claim'
            )
        row = claim.Claim(
            request_id=self.request_id,
            workload=self.workload,
            holder=self.holder,
            at=self.at,
        )
        state.claims.put(row)
        return row


def _expire_claims(state, at):
    oldest = state.claims.find_first()
    while oldest is not None and oldest.at <= at - CLAIM_RETENTION:
        state.claims.remove(oldest.request_id)
        oldest = state.claims.find_first()
