"""Replay recorded arrivals: `python -m dandelionpond_standins.load_replay [NAME...]`.

For each trace, prints one line of JSON for a replay with network delay and one for a
replay without it. Their difference is the cost of nodes learning late of each other's
jobs. A third line has a lower bound of the share of the value that no placement could
have earned.
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

app = cyclopts.App(help="Replay recorded arrivals of days with high load.")


@app.default
def main(*names: str) -> int:
    """Replay the named traces, or all."""
    for name in names or sorted(path.stem for path in TRACE_DIR.glob("*.json")):
        trace = load_trace(name)
        for label, network_delay_s in (("network", NETWORK_DELAY_S), ("no delay", 0.0)):
            figures = measure(trace, Replay(trace, network_delay_s).run())
            print(to_json_line({"news": label} | figures), flush=True)
        print(to_json_line({"day": name, "forced_loss": round(forced_loss(trace), 3)}))
    return 0


if __name__ == "__main__":
    sys.exit(app())
