"""Build the single-file program `dist/rattangate` from the package and its pinned requirements.

The file is a launcher followed by an uncompressed zip archive of compiled modules.
"""

from __future__ import annotations

import argparse
import importlib.util
import io
import marshal
import re
import shutil
import subprocess
import sysconfig
import tempfile
import zipfile
from enum import Enum
from fnmatch import fnmatch
from importlib.machinery import EXTENSION_SUFFIXES
from importlib.metadata import distribution
from pathlib import Path, PurePosixPath
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

ROOT = Path(__file__).parent.parent
ONEFILE = ROOT / "tools" / "onefile"
SHEBANG = b"#!/usr/bin/env -S python3.11 -IS\n"
STDLIB = Path(sysconfig.get_path("stdlib"))
STATIC_LIBRARY = Path(sysconfig.get_config_var("LIBPL")) / sysconfig.get_config_var("LIBRARY")
STDLIB_SKIPPED = frozenset(
    [
        "config-*",
        "ensurepip",
        "idlelib",
        "lib2to3",
        "pydoc_data",
        "site-packages",
        "test",
        "tests",
        "tkinter",
        "turtledemo",
        "unittest",
        "venv",
    ]
)
NATIVE_SKIPPED = ("_test", "_ctypes_test", "_tkinter", "_xx", "xx", "_curses", "_posixshmem", "nis")
ARCHIVE_TIME = (2020, 1, 1, 0, 0, 0)
SKIPPED_SUFFIXES = (".pyi", ".pyx", ".pxd", ".c", ".h", ".cpp", ".pyc", ".a")
SKIPPED_PARTS = frozenset({"__pycache__", "tests", "..", "licenses"})
KEPT_METADATA = frozenset({"METADATA", "entry_points.txt"})
UNCHECKED_HASH_FLAG = 0b01


class Launcher(Enum):
    """Name the launchers: a linked-in interpreter, or a script run by an installed Python."""

    LINKED = "linked"
    SCRIPT = "script"


def main() -> None:
    """Parse the command line and build the file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", type=Path, default=ROOT / "dist" / "rattangate")
    parser.add_argument("--bootstrap", type=Path, default=ONEFILE / "bootstrap.py")
    parser.add_argument(
        "--launcher", choices=[kind.value for kind in Launcher], default=_default_launcher().value
    )
    args = parser.parse_args()
    build(args.output, args.bootstrap, Launcher(args.launcher))
    print(f"{args.output}: {args.output.stat().st_size / 1e6:.1f} MB")


def build(output: Path, bootstrap: Path, launcher: Launcher) -> None:
    """Write the launcher and append the zip archive."""
    members = dict(_iter_members(bootstrap))
    if launcher is Launcher.LINKED:
        members.update(_iter_stdlib())
    native = {_module_name(path): path for path in members if _is_native(path)}
    index = f"NATIVE_FILES = {native!r}\n".encode()
    members["native_index.pyc"] = _compile(index, "native_index.py")
    buffer = io.BytesIO()
    with zipfile.ZipFile(buffer, "w", zipfile.ZIP_STORED) as archive:
        # zipimport finds packages without __init__ by their directory entries.
        for path, content in sorted([*members.items(), *_directories(members)]):
            archive.writestr(zipfile.ZipInfo(path, ARCHIVE_TIME), content)
    output.parent.mkdir(parents=True, exist_ok=True)
    output.write_bytes(_build_launcher(launcher) + buffer.getvalue())
    output.chmod(0o755)


def _default_launcher() -> Launcher:
    if shutil.which("cc") and STATIC_LIBRARY.exists():
        return Launcher.LINKED
    return Launcher.SCRIPT


def _build_launcher(launcher: Launcher) -> bytes:
    if launcher is Launcher.SCRIPT:
        return SHEBANG
    with tempfile.TemporaryDirectory() as directory:
        target = Path(directory) / "launcher"
        command = ["cc", "-O2", "-s", "-o", str(target), str(ONEFILE / "launcher.c")]
        command += [f"-I{sysconfig.get_path('include')}", "-Wl,--export-dynamic"]
        command += ["-Wl,--whole-archive", str(STATIC_LIBRARY), "-Wl,--no-whole-archive"]
        command += ["-lm", "-ldl", "-lpthread", "-lutil"]
        subprocess.run(command, check=True)
        return target.read_bytes()


def _iter_stdlib() -> Iterator[tuple[str, bytes]]:
    for source in sorted(STDLIB.rglob("*.py")):
        path = source.relative_to(STDLIB)
        if not any(fnmatch(path.parts[0], skipped) for skipped in STDLIB_SKIPPED):
            yield from _pack(path.as_posix(), source)
    for source in sorted((STDLIB / "lib-dynload").iterdir()):
        if not source.name.startswith(NATIVE_SKIPPED):
            yield from _pack(source.name, source)


def _iter_members(bootstrap: Path) -> Iterator[tuple[str, bytes]]:
    yield "__main__.pyc", _compile(bootstrap.read_bytes(), "__main__.py")
    loader = ONEFILE / "native_loader.py"
    yield "native_loader.pyc", _compile(loader.read_bytes(), "native_loader.py")
    for path in sorted((ROOT / "rattangate").rglob("*")):
        if path.is_file():
            yield from _pack(path.relative_to(ROOT).as_posix(), path)
    for name in _requirements():
        dist = distribution(name)
        for file in dist.files or ():
            yield from _pack(file.as_posix(), Path(str(dist.locate_file(file))))


def _requirements() -> list[str]:
    lines = (ROOT / "requirements.txt").read_text().splitlines()
    names = []
    for line in lines:
        match = re.fullmatch(r"([A-Za-z0-9._-]+)==(\S+)", line.strip())
        if match is None:
            continue
        name, version = match.groups()
        installed = distribution(name).version
        if installed != version:
            raise SystemExit(
                f"{name}: version {installed} is installed, requirements.txt pins {version}"
            )
        names.append(name)
    return names


def _pack(path: str, source: Path) -> Iterator[tuple[str, bytes]]:
    parts = path.split("/")
    if not SKIPPED_PARTS.isdisjoint(parts) or path.endswith(SKIPPED_SUFFIXES):
        return
    if parts[0].endswith(".dist-info") and parts[-1] not in KEPT_METADATA:
        return
    content = source.read_bytes()
    if path.endswith(".py"):
        yield path + "c", _compile(content, path)
    else:
        yield path, content


def _compile(source: bytes, path: str) -> bytes:
    code = compile(source, path, "exec", dont_inherit=True)
    header = importlib.util.MAGIC_NUMBER + UNCHECKED_HASH_FLAG.to_bytes(4, "little")
    return header + importlib.util.source_hash(source) + marshal.dumps(code)


def _directories(members: Iterable[str]) -> list[tuple[str, bytes]]:
    parents = {f"{parent}/" for path in members for parent in PurePosixPath(path).parents}
    return [(path, b"") for path in parents - {"./"}]


def _is_native(path: str) -> bool:
    return path.endswith(tuple(EXTENSION_SUFFIXES))


def _module_name(path: str) -> str:
    suffix = next(s for s in EXTENSION_SUFFIXES if path.endswith(s))
    return path.removesuffix(suffix).replace("/", ".")


if __name__ == "__main__":
    main()
