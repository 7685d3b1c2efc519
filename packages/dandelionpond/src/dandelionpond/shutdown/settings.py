"""The `shutdown` section of the published settings."""

import msgspec


class ShutdownSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Durations of the phases of a graceful shutdown, in seconds.

    `balancer_delay_s` is how long requests are still admitted after the node has
    announced its shutdown. `drain_timeout_s` limits how long requests in flight may
    run after that, and `interrupt_timeout_s` how long the process waits for requests
    that it has interrupted. `release_timeout_s` limits the wait for confirmations of
    memory releases after the last request, or after the interruption. `pause_s` is the
    time without a tick after which the process is considered to have been paused.
    """

    balancer_delay_s: float = 5.0
    drain_timeout_s: float = 6 * 3600.0
    interrupt_timeout_s: float = 2.0
    release_timeout_s: float = 10.0
    pause_s: float = 5.0
