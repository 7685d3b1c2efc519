"""Replay days: `python -m dandelionpond_standins.days [NAME...]`.

Prints one line of JSON for each day, once with the delays of the network and once with
a picture that all nodes share at once: the difference is what the delay of news costs.
"""

import sys

import cyclopts

from dandelionpond_standins.days.replay import (
    DAYS,
    NETWORK_S,
    Replay,
    forced_loss,
    line,
    load_day,
    measure,
)

app = cyclopts.App(help="Replay the arrivals of heavy days.")


@app.default
def main(*names: str) -> int:
    """Replay the days named, or all."""
    for name in names or sorted(path.stem for path in DAYS.glob("*.json")):
        day = load_day(name)
        for label, network_s in (("network", NETWORK_S), ("no delay", 0.0)):
            figures = measure(day, Replay(day, network_s).run())
            print(line({"news": label} | figures), flush=True)
        print(line({"day": name, "forced_loss": round(forced_loss(day), 3)}))
    return 0


if __name__ == "__main__":
    sys.exit(app())
