"""Example of published settings, for tests and measurements."""

import json
from pathlib import Path
from typing import Any

import msgspec

from dandelionpond.http.keys import hash_key

MODEL = "small"
VERSION = "v1"
ACCOUNT = "acme"
KEY = f"demo-{ACCOUNT}"
OTHER_ACCOUNT = "globex"
OTHER_KEY = f"demo-{OTHER_ACCOUNT}"
PAYMENT = "payment"
STOCK = "stock"
ORDER = "order"


class ExampleSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Published settings of a small fleet with one model and three services.

    `payment` is neither idempotent nor de-duplicated, `stock` is idempotent and `order`
    is de-duplicated by the service. Each section in `sections` is merged over the one
    of the same name.
    """

    failure_domains: int = 3
    engines_per_domain: int = 1
    services_per_domain: int = 1
    kv_capacity_tokens: int = 40_000
    prefill_tokens_per_s: float = 40_000.0
    max_prompt_tokens: int = 100_000
    fencing: str = "enforced"
    sections: dict[str, Any] = {}

    @property
    def domains(self) -> tuple[str, ...]:
        """Return the names of the failure domains."""
        return tuple(f"fd{number + 1}" for number in range(self.failure_domains))

    def document(self) -> dict[str, Any]:
        """Return the settings as one JSON document, by section."""
        upstreams: dict[str, Any] = {}
        for domain in self.domains:
            for number in range(1, self.engines_per_domain + 1):
                upstreams[f"{domain}-engine-{number}"] = {
                    "kind": "engine",
                    "failure_domain": domain,
                    "url": "http://127.0.0.1:1",
                    "models": [MODEL],
                    "kv_capacity_tokens": self.kv_capacity_tokens,
                    "prefill_tokens_per_s": self.prefill_tokens_per_s,
                    "fencing": self.fencing,
                }
            for number in range(1, self.services_per_domain + 1):
                upstreams[f"{domain}-service-{number}"] = {
                    "kind": "service",
                    "failure_domain": domain,
                    "url": "http://127.0.0.1:1",
                    "services": [PAYMENT, STOCK, ORDER],
                }
        account = {"models": ["*"], "services": ["*"]}
        document: dict[str, Any] = {
            "failure_domains": {domain: {} for domain in self.domains},
            "models": {
                MODEL: {
                    "version": VERSION,
                    "max_prompt_tokens": self.max_prompt_tokens,
                }
            },
            "services": {
                PAYMENT: {"states_not_run": True},
                STOCK: {"idempotent": True},
                ORDER: {"deduplicates": True},
            },
            "upstreams": upstreams,
            "client_accounts": {
                ACCOUNT: account | {"key_hashes": [hash_key(KEY)]},
                OTHER_ACCOUNT: account | {"key_hashes": [hash_key(OTHER_KEY)]},
            },
            "shutdown": {"balancer_delay_s": 0.5},
        }
        for section, value in self.sections.items():
            document[section] = document.get(section, {}) | value
        return document

    def write(self, folder: Path) -> Path:
        """Write one file per section to the folder and return the folder."""
        folder.mkdir(parents=True, exist_ok=True)
        for number, (section, value) in enumerate(self.document().items()):
            name = f"{10 + number}-{section.replace('_', '-')}.json"
            (folder / name).write_text(json.dumps({section: value}, indent=1))
        return folder
