"""Load native modules of the single file from private anonymous memory, without disk writes."""

from __future__ import annotations

import os
import sys
from importlib.machinery import ExtensionFileLoader, ModuleSpec
from typing import TYPE_CHECKING

from native_index import NATIVE_FILES

if TYPE_CHECKING:
    from collections.abc import Sequence
    from types import ModuleType
    from zipimport import zipimporter


class NativeFinder:
    """Find native modules in the archive by their full name."""

    def __init__(self, archive: zipimporter) -> None:
        self._archive = archive

    def find_spec(
        self, name: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Return the spec of a native module, or None when the archive holds none."""
        member = NATIVE_FILES.get(name)
        if member is None:
            return None
        origin = f"{self._archive.archive}/{member}"
        return ModuleSpec(name, NativeLoader(name, member, self._archive), origin=origin)


class NativeLoader:
    """Copy one native module into an anonymous file, load it and close the file."""

    def __init__(self, name: str, member: str, archive: zipimporter) -> None:
        self._name = name
        self._member = member
        self._archive = archive

    def create_module(self, spec: ModuleSpec) -> ModuleType:
        """Load the module's code; raise ImportError where the system grants no memory file."""
        fd = self._open_copy()
        try:
            spec.origin = _unique_path(fd, self._name)
            return ExtensionFileLoader(self._name, spec.origin).create_module(spec)
        finally:
            os.close(fd)

    def exec_module(self, module: ModuleType) -> None:
        """Run the module's initialisation."""
        ExtensionFileLoader(self._name, module.__spec__.origin).exec_module(module)

    def _open_copy(self) -> int:
        try:
            fd = os.memfd_create(self._name, os.MFD_CLOEXEC)
        except OSError as exc:
            raise ImportError(f"no memory file for {self._name}: {exc}", name=self._name) from exc
        rest = memoryview(self._archive.get_data(self._member))
        while rest:
            rest = rest[os.write(fd, rest) :]
        return fd


def install(archive: zipimporter) -> None:
    """Let imports find the archive's native modules."""
    sys.meta_path.insert(0, NativeFinder(archive))
    # The parser's other backends start a compiler to look for a library.
    os.environ.setdefault("IJSON_BACKEND", "python")


def _unique_path(fd: int, name: str) -> str:
    # The C library remembers libraries by path, and descriptor numbers are used again.
    index = list(NATIVE_FILES).index(name)
    return f"/proc/self/fd{'/' * (index + 1)}{fd}"
