"""The `requests` section of the published settings."""

import msgspec


class RequestsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of requests, attempts and tickets; times in seconds, sizes in bytes."""

    default_timeout_s: float = 60.0
    max_timeout_s: float = 6 * 3600.0
    max_body_bytes: int = 8 * 1024 * 1024
    body_timeout_s: float = 30.0
    max_in_flight: int = 4_000
    max_attempts: int = 3
    retry_ratio: float = 0.1
    retry_burst: int = 10
    connect_timeout_s: float = 2.0
    silence_factor: float = 20.0
    silence_min_s: float = 1.0
    first_token_factor: float = 3.0
    reorder_pieces: int = 64
    ticket_ttl_s: float = 600.0
    max_tickets: int = 100_000
    max_outcome_bytes: int = 64 * 1024
    max_outcomes_total_bytes: int = 256 * 1024 * 1024
    max_answer_bytes: int = 8 * 1024 * 1024
    max_retry_budgets: int = 1_024
    undelivered_pieces: int = 256
    pace_weight: float = 0.2
