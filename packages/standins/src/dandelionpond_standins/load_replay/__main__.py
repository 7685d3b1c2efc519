"""Replay days: `python -m dandelionpond_standins.load_replay [NAME...]`.

Prints one line of JSON for each day, once with the delays of the network and once with
a picture that all nodes share at once: the difference is what the delay of news costs.
"""

import sys

import cyclopts

from dandelionpond_standins.load_replay.replay import (
    NETWORK_DELAY_S,
    TRACE_DIR,
    Replay,
    forced_loss,
    load_trace,
    measure,
    to_json_line,
)

app = cyclopts.App(help="Replay the arrivals of heavy days.")


@app.default
def main(*names: str) -> int:
    """Replay the days named, or all."""
    for name in names or sorted(path.stem for path in TRACE_DIR.glob("*.json")):
        trace = load_trace(name)
        for label, network_delay_s in (("network", NETWORK_DELAY_S), ("no delay", 0.0)):
            figures = measure(trace, Replay(trace, network_delay_s).run())
            print(to_json_line({"news": label} | figures), flush=True)
        print(to_json_line({"day": name, "forced_loss": round(forced_loss(trace), 3)}))
    return 0


if __name__ == "__main__":
    sys.exit(app())
