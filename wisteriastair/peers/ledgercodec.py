"""Codec and transport settings of the ledger messages of relays and keepers."""

from __future__ import annotations

from typing import Final

from ..core.ledgerwire import LedgerMessage, decode_ledger, encode_ledger
from .transport import AckTimeouts, Codec

LEDGER_CODEC: Final[Codec[LedgerMessage]] = Codec(encode_ledger, decode_ledger)
LEDGER_DEPLOYMENT: Final = "ledger"
# Each turn waits for two of these messages, so they are batched only while the event
# loop is busy.
LEDGER_BATCH_DELAY_S: Final = 0.0
# After a network partition a relay must reach the keepers again within three seconds,
# when it has to serve requests again.  The timeout therefore does not grow.
LEDGER_ACK_TIMEOUTS: Final = AckTimeouts(
    ack_delay_s=0.25, ack_timeout_s=0.8, max_ack_timeout_s=0.8
)
