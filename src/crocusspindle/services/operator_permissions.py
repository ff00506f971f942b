"""Check the permissions of principals at the operator port."""

import hashlib
import hmac
from collections.abc import Sequence
from typing import Final

from crocusspindle.errors import Finding
from crocusspindle.services.operator_api import TicketSummary, Touch, TouchKind
from crocusspindle.settings_schema import Principal, Role

SOURCE: Final = "ticket"


def find_principal(principals: Sequence[Principal], key: str) -> Principal | None:
    """Return the principal of a key, in a time that does not depend on the key.

    A comparison that ends at the first differing byte would let an attacker find a
    digest byte by byte by timing refusals.
    """
    digest = hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
    matching = None
    for principal in principals:
        if hmac.compare_digest(principal.key_sha256, digest):
            matching = principal
    return matching


def check_permissions(principal: Principal, summary: TicketSummary) -> list[Finding]:
    """Return a finding for each change that the principal may not make."""
    if principal.role is Role.VIEWER:
        return [Finding(SOURCE, ".", "viewers submit no tickets")]
    findings = []
    for touch in summary.touches:
        message = _refusal(principal, touch)
        if message:
            findings.append(Finding(SOURCE, touch.path, message, touch.line))
    return findings


def _refusal(principal: Principal, touch: Touch) -> str | None:
    if principal.role is Role.OPERATOR:
        # Approval is the decision of the service's owner alone.
        if touch.kind is TouchKind.APPROVAL_GIVEN:
            return f"only the owner of {touch.service} gives this approval"
        return None
    if touch.kind is TouchKind.OTHER:
        return "owners change only approvals of their services"
    if touch.service not in principal.services:
        return f"{principal.name} does not own {touch.service}"
    if touch.approved_by not in (None, principal.name):
        return f"approved_by must be {principal.name}"
    return None
