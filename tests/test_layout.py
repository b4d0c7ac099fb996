"""Import rules between packages, checked on the syntax tree; disabled subsystems must not be imported."""

import ast
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).parents[1]
DECISIONS_IMPORTS = {  # module of corkdeal.decisions -> modules of that package that it may import
    "__init__": set(),
    "settings": set(),
    "events": set(),
    "actions": set(),
    "incarnations": set(),
    "settings_parser": {"settings"},
    "peer_messages": {"settings"},
    "tree_routes": {"peer_messages"},
    "deadline_timers": {"actions"},
    "wait_limit": set(),
    "backends": {"events"},
    "accounts": {"settings", "peer_messages", "tree_routes"},
    "pending_request": {"settings", "events", "accounts", "backends"},
    "slow_start": {"settings", "backends"},
    "latency_model": {"settings", "pending_request", "backends"},
    "outlier_detection": {"events", "backends"},
    "backend_selection": {"settings", "pending_request", "backends", "latency_model", "outlier_detection"}
    | {"slow_start", "wait_limit"},
    "retries": {"settings", "events", "pending_request"},
    "aggregation_tree": {"peer_messages", "accounts", "tree_routes"},
    "admission": {"accounts", "aggregation_tree"},
    "quota_exchange": {"settings", "accounts", "peer_messages"},
    "persisted_state": {"settings", "events", "accounts", "backends"},
    "extensions": {"accounts", "peer_messages", "persisted_state"},
    "peer_protocol": {"settings", "events", "actions", "accounts", "aggregation_tree", "extensions"}
    | {"incarnations", "peer_messages", "quota_exchange"},
    "request_lifecycle": {
        "settings",
        "events",
        "actions",
        "accounts",
        "admission",
        "backends",
        "pending_request",
    }
    | {"backend_selection", "deadline_timers", "latency_model", "outlier_detection", "retries"}
    | {"slow_start"},
    "state_transfer": {"settings", "events", "accounts", "backends", "extensions", "latency_model"}
    | {"peer_protocol", "persisted_state", "retries"},
}
DECISIONS_IMPORTS["gateway"] = set(DECISIONS_IMPORTS) - {
    "__init__",
    "settings_parser",
    "tree_routes",
    "deadline_timers",
    "pending_request",
    "wait_limit",
}
ALLOWED_IMPORTS = {  # package -> packages that it may import
    "errors": set(),
    "decisions": {"errors"},
    "recovery": {"decisions", "errors"},
    "membership": {"decisions", "errors"},
    "simulator": {"decisions", "errors"},
    "logs": set(),
    "options": {"zones", "errors"},
    "persistence": {"decisions", "errors", "logs", "options"},
    "standin": {"decisions", "simulator", "options", "logs", "net"},
    "net": {"decisions", "errors", "logs", "options", "persistence", "recovery", "membership"},
    "experiment": {"decisions", "recovery", "membership", "zones", "simulator", "options", "persistence"}
    | {"standin", "net", "logs"},
    "cli": {"zones", "options", "persistence", "net", "experiment", "standin", "logs"},
    "__main__": {"cli"},
    "__init__": {"decisions"},
}
PURE_PERSISTENCE_MODULES = {
    "clock",
    "expiry",
    "restore",
    "capture",
    "merge",
    "migrate",
    "codec",
    "envelope",
    "errors",
}
PURE_PERSISTENCE_MODULES |= {"quota_handover"}
PURE_NET_MODULES = {"discovery_snapshot", "discovery_retry", "process_limits"}
IO_MODULES = {
    "os",
    "socket",
    "threading",
    "subprocess",
    "queue",
    "fcntl",
    "twisted",
    "asyncio",
}  # perform I/O


def imports(path):
    """Yield the absolute name of everything that a file imports."""
    package = path.relative_to(ROOT).with_suffix("").parts
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            base = (
                [*package[: len(package) - node.level], *(node.module or "").split(".")]
                if node.level
                else [node.module]
            )
            base = [b for b in base if b]
            yield ".".join(base)
            yield from (".".join([*base, alias.name]) for alias in node.names)


def test_imports_go_down_only():
    wrong = []
    for path in sorted((ROOT / "corkdeal").rglob("*.py")):
        home = path.relative_to(ROOT / "corkdeal").parts[0].removesuffix(".py")
        for name in imports(path):
            parts = name.split(".")
            inner = len(parts) > 1 and parts[0] == "corkdeal" and parts[1]
            if inner and inner not in ALLOWED_IMPORTS[home] | {home, "__version__", "Gateway"}:
                wrong.append(f"{path.relative_to(ROOT)} imports {name}")
            if home == "decisions" and inner == "decisions" and len(parts) > 2:
                allowed = DECISIONS_IMPORTS[path.stem] | {path.stem}
                if parts[2] in DECISIONS_IMPORTS and parts[2] not in allowed:
                    wrong.append(f"{path.relative_to(ROOT)} imports {name}")
            pure = home in ("decisions", "recovery", "membership")
            pure = pure or (home == "persistence" and path.stem in PURE_PERSISTENCE_MODULES)
            pure = pure or (home == "net" and path.stem in PURE_NET_MODULES)
            if pure and parts[0] in IO_MODULES:
                wrong.append(f"{path.relative_to(ROOT)} decides and imports {name}")
    assert not wrong


def test_what_is_off_is_not_imported():
    code = (
        "import os, sys; os.environ['RELAY_CONFIG'] = 'examples/config.json'\n"
        "from twisted.internet import reactor; reactor.run = lambda **_: None\n"
        "from corkdeal.net.__main__ import main; main()\n"
        "from twisted.internet import reactor\n"
        "bad = {'structlog', 'msgspec', 'zstandard', 'blake3', 'kdl', 'click', 'numpy'} & set(sys.modules)\n"
        "off = ('persistence', 'decisions.persisted_state', 'options', 'cli', 'zones', 'recovery')\n"
        "off += ('membership',)\n"
        "off = tuple('corkdeal.' + p for p in off)\n"
        "sys.exit(', '.join(bad | {m for m in sys.modules if m.startswith(off)}) or 0)"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT)
    assert done.returncode == 0, done.stderr
