"""Descriptions of the settings for the reference page, by path.

`*` in a path stands for a name that operators choose. A setting without a description
here gets the sentence on it in the docstring of its struct.
"""

PUBLISHED_SETTINGS = {
    "failure_domains.*.region": "region that the failure domain belongs to",
    "failure_domains.*.limit_share": "fixed part of each fleet-wide limit, relative to "
    "the other failure domains; stays in force during a partition",
    "client_accounts.*.key_hashes": "SHA-256 hashes of the bearer keys, in lower-case "
    "hexadecimal",
    "client_accounts.*.models": 'models the account may use; `"*"` permits all, an '
    "empty list none",
    "client_accounts.*.services": 'services the account may call; `"*"` permits all, '
    "an empty list none",
    "client_accounts.*.limits.tokens_per_s": "prompt and generated tokens over the "
    "whole fleet",
    "client_accounts.*.limits.burst_tokens": "size of the token bucket",
    "client_accounts.*.limits.concurrency": "requests in flight over the whole fleet",
    "client_accounts.*.weight": "part in fair queueing, relative to other accounts",
    "models.*.version": "version that engines should hold",
    "models.*.max_prompt_tokens": "longest prompt that is accepted",
    "models.*.max_output_tokens": "longest answer that is generated",
    "models.*.adapters": "adapters that engines of the model should hold",
    "services.*.idempotent": "a call may be repeated without harm",
    "services.*.deduplicates": "the service recognises a repeated `Idempotency-Key`",
    "services.*.states_not_run": "its answer header `X-Execution: not_run` is trusted",
    "services.*.path": "path that calls are sent to",
    "services.*.timeout_s": "time limit for one try at a worker",
    "upstreams.*.kind": "whether the upstream is a model engine or a worker of plain "
    "services; it decides which of the fields below exist",
    "upstreams.*.failure_domain": "failure domain of the upstream",
    "upstreams.*.url": "address of the upstream",
    "upstreams.*.models": "models that the engine serves",
    "upstreams.*.role": "prompts the engine is meant for: any, short or long ones",
    "upstreams.*.kv_capacity_tokens": "engine memory",
    "upstreams.*.prefill_tokens_per_s": "rate of reading prompts, before it is learned",
    "upstreams.*.decode_tokens_per_s": "rate of generating tokens",
    "upstreams.*.fencing": "whether the engine refuses an order with an old fencing "
    "token",
    "upstreams.*.adapter": "wire format of the engine",
    "upstreams.*.services": "services that the worker runs",
    "distribution.readers_per_domain": "nodes of a failure domain that watch the "
    "platform",
    "distribution.watch_wait_s": "longest wait of one watch at the platform",
    "distribution.retry_min_s": "shortest wait before a failed read is repeated",
    "distribution.retry_max_s": "longest wait before a failed read is repeated",
    "distribution.peer_grace_s": "time in which a starting or resumed node asks its "
    "peers before it trusts the platform",
    "distribution.fetch_fanout": "peers that a node asks at the same time",
    "distribution.fetch_timeout_s": "time limit for an answer of a peer",
    "distribution.platform_timeout_s": "time limit for an answer of the platform",
    "distribution.pause_after_s": "gap between two events that is taken for a pause of "
    "the process",
    "membership.heartbeat_interval_s": "time between two rounds of gossip",
    "membership.fanout": "peers that receive a message in one round",
    "membership.max_rumors": "rumors in one message",
    "membership.suspect_after_s": "time of failing exchanges after which a peer is "
    "suspected",
    "membership.gone_after_s": "time after which a suspected peer counts as gone",
    "membership.suspicion_quorum": "nodes that must report an upstream before others "
    "take it out of use",
    "membership.max_peers": "bound of the table of peers",
    "membership.max_upstreams": "bound of the table of upstreams",
    "membership.relays": "messages of one node that carry the same rumor",
    "membership.relay_spacing_s": "least time between two immediate relays",
    "membership.relay_burst": "burst of immediate relays; on average there is at most "
    "one for each heartbeat",
    "membership.foreign_share": "part of the view that is of other failure domains",
    "membership.pause_intervals": "heartbeat intervals without a tick after which the "
    "node treats itself as paused",
    "membership.forget_after_s": "age after which a gone peer is forgotten",
    "membership.max_pending_rumors": "bound of the queue of rumors",
    "membership.suspicion_ttl_s": "time for which a report against an upstream counts "
    "unless it is renewed",
    "membership.max_suspected_share": "largest part of the upstreams that reports take "
    "out of use",
    "membership.view_size": "peers that a node exchanges messages with",
    "membership.view_rotation": "heartbeats after which one peer of the view is "
    "replaced",
    "limits.grant_ttl_s": "time for which a granted share is valid",
    "limits.report_interval_s": "time between two reports of demand",
    "limits.floor_share": "part of the equal share that a node keeps without demand",
    "limits.max_queue": "bound of the queue of a node",
    "limits.max_queue_per_account": "bound of the queue for one client account",
    "limits.engine_queue_s": "prefill time that a node lets wait in an engine; the "
    "rest waits in the node",
    "limits.max_dispatch_tries": "heads of the queue that are tried at once",
    "limits.ageing_s": "wait after which a long prompt precedes the short ones of its "
    "client account that arrived later",
    "limits.max_retry_after_s": "largest `Retry-After` that is sent",
    "routing.short_weight": "weight of the slowdown of short prompts (1) against time "
    "to first token over all lengths (0)",
    "routing.short_prompt_tokens": "longest prompt of the class `short`",
    "routing.long_prompt_tokens": "a longer prompt is of the class `long`",
    "routing.engines_in_reach": "engines that one node communicates with",
    "routing.choices": "candidates that are sampled for one choice",
    "routing.near_equal_share": "how much worse than the best estimate a candidate may "
    "be and still be drawn, as a part of it",
    "routing.near_equal_s": "the same as a time, added to the part",
    "routing.max_ejected_share": "largest part of the engines that is ejected at once",
    "routing.ejection_s": "time of a first ejection",
    "routing.slow_start_s": "time over which a returned engine gets its full part",
    "routing.report_stale_s": "age from which a load report is in doubt",
    "routing.prefix_affinity": "whether prompts prefer engines that hold a part of "
    "them in their prefix cache",
    "routing.prefix_block_tokens": "length of a block of the table of cached prefixes",
    "routing.prefix_half_life_s": "time without news of a cached block in which its "
    "certainty halves",
    "routing.max_prefix_blocks": "bound of the table of cached prefixes, over all "
    "engines",
    "routing.long_memory_share": "largest part of an unreserved engine's memory that "
    "long prompts fill",
    "routing.max_reserved_share": "largest part of the engines that is reserved for "
    "one length class",
    "routing.role_hold_s": "time for which demand must ask for another number of "
    "reserved engines before it changes",
    "routing.max_sends": "bound of the list of sent prompts not yet in a load report",
    "routing.step_tokens": "most prefill that an engine puts into one step",
    "routing.impact_weight": "weight of the delay that a prompt causes to less urgent "
    "ones against its own time to first token",
    "routing.load_interval_s": "shortest time between two questions for the load of an "
    "engine",
    "requests.default_timeout_s": "deadline without `X-Request-Timeout-Ms`",
    "requests.max_timeout_s": "longest deadline that a caller gets",
    "requests.max_body_bytes": "largest request body",
    "requests.body_timeout_s": "time limit for the request body to arrive",
    "requests.max_in_flight": "bound of admitted requests of a node",
    "requests.max_attempts": "tries of one request, the first one included",
    "requests.retry_ratio": "retries for each request, on average",
    "requests.retry_burst": "retries above the average",
    "requests.connect_timeout_s": "time limit for connecting to a worker",
    "requests.silence_factor": "multiple of the mean time between pieces after which a "
    "stream counts as silent",
    "requests.silence_min_s": "shortest silence that counts",
    "requests.first_token_factor": "multiple of the estimated time to first token "
    "after which a stream without two pieces counts as silent",
    "requests.reorder_pieces": "early pieces of a stream that are held",
    "requests.ticket_ttl_s": "time for which a ticket is valid",
    "requests.max_tickets": "bound of the table of used tickets",
    "requests.max_outcome_bytes": "largest outcome that is kept with a used ticket",
    "requests.max_outcomes_total_bytes": "bound of all kept outcomes",
    "requests.max_answer_bytes": "largest answer of a plain service",
    "requests.max_retry_budgets": "bound of the table of retry budgets",
    "requests.undelivered_pieces": "pieces a slow caller has not taken, after which "
    "reading from the engine pauses",
    "requests.pace_weight": "weight of the latest gap in the moving mean of a stream",
    "memory.lease_ttl_s": "time for which engine memory is leased without renewal",
    "memory.renew_after_s": "time after which a lease is renewed",
    "memory.release_retry_s": "shortest wait before a release is repeated",
    "memory.release_retry_max_s": "longest wait before a release is repeated",
    "memory.clock_margin_s": "margin before a lease counts as certainly expired",
    "memory.scan_interval_s": "time between two scans of an engine's list",
    "memory.max_leases": "bound of the lease table",
    "memory.group_timeout_s": "time limit for reserving a group of engines",
    "memory.max_groups": "groups of engines that one node holds at once",
    "memory.min_group_engines": "least engines in a group",
    "orders.interval_s": "time between two checks of the desired state",
    "orders.repeat_after_s": "time after which an order without effect is sent again",
    "orders.order_validity_s": "pause of the node after which an order is dropped",
    "orders.weight_store_loads_per_s": "loads from the weight store, on average",
    "orders.weight_store_burst": "loads above the average",
    "shutdown.balancer_delay_s": "time the listener stays open after readiness is "
    "false",
    "shutdown.drain_timeout_s": "time after which the remaining requests are "
    "interrupted",
    "shutdown.interrupt_timeout_s": "wait for requests that were interrupted",
    "shutdown.release_timeout_s": "wait for confirmed releases after the last request",
    "shutdown.pause_s": "time without a tick after which the process counts as paused",
    "record.ring_size": "decision records that a node keeps",
    "record.subscriber_buffer": "records that one reader may be behind",
    "record.max_subscribers": "readers that follow at the same time",
}

LOCAL_SETTINGS = {
    "name": "name of the node, unique in the fleet",
    "failure_domain": "failure domain of the node, a key of `failure_domains`",
    "caller_address": "`IP:port` of the callers' API",
    "operator_address": "`IP:port` of the operators' API",
    "peer_address": "`IP:port` for other nodes (gRPC)",
    "platform_url": "URL of the platform service",
    "operator_key_hash": "SHA-256 hash of the operators' key, from `dandelionpond "
    "hash-key`",
    "settings_prefix": "prefix of the published files at the platform",
    "seeds": "nodes that a starting node asks first: `name`, `peer_address` and "
    "`failure_domain` of each",
    "peer_routes.*": "address to use for a peer in place of the one it announces",
    "upstream_routes.*": "URL to use for an upstream in place of the published one",
    "log_level": "level of the log lines on standard error",
    "random_seed": "seed of the random source; absent outside of tests",
    "tls_certificate": "certificate file in PEM for both HTTP listeners",
    "tls_private_key": "private key file in PEM; TLS is on if both files are given",
    "memory_mb": "memory of the process in MB; 0.4 of it is for client connections and "
    "long request bodies, 0.15 for bodies up to 64 KiB",
    "max_descriptors": "open files of the process; half are for client connections",
}

USER_SETTINGS = {
    "nodes": "URLs of operators' addresses, used without `--node` and `--nodes`",
    "nodes_file": "file with one URL on each line",
    "key_file": "file with the operators' key, used without the variable and the "
    "option",
    "ca_file": "certificates in PEM that nodes are verified with",
    "timeout_s": "time limit for one request to a node",
    "max_parallel": "requests at the same time",
    "output": "form without `--json`: `table` or `json`",
}
