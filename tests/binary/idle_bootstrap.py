"""Import every module of the package from the executable, then wait for the end of input."""

import sys

import native_loader

native_loader.install(__loader__)

from importlib import import_module, resources  # noqa: E402
from pkgutil import walk_packages  # noqa: E402

import rattangate  # noqa: E402

NATIVE_MODULES = (
    "msgspec._core",
    "orjson.orjson",
    "pyhdrh",
    "thriftpy2.protocol.cybin.cybin",
    "_ssl",
)

for module in walk_packages(rattangate.__path__, "rattangate."):
    if not module.name.endswith("__main__"):
        import_module(module.name)
for name in NATIVE_MODULES:
    import_module(name)
assert resources.files("certifi").joinpath("cacert.pem").is_file()
print("ready", flush=True)
sys.stdin.read()
