"""Load extension modules of the single-file program from memory files, without disk writes."""

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
    """Find extension modules in the archive by their full name."""

    def __init__(self, archive: zipimporter) -> None:
        self._archive = archive

    def find_spec(
        self, name: str, path: Sequence[str] | None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Return the spec of an extension module, or None if the archive does not contain it."""
        member = NATIVE_FILES.get(name)
        if member is None:
            return None
        origin = f"{self._archive.archive}/{member}"
        return ModuleSpec(name, NativeLoader(name, member, self._archive), origin=origin)


class NativeLoader:
    """Copy one extension module into an anonymous memory file, load it and close the file."""

    def __init__(self, name: str, member: str, archive: zipimporter) -> None:
        self._name = name
        self._member = member
        self._archive = archive

    def create_module(self, spec: ModuleSpec) -> ModuleType:
        """Load the shared library; raise ImportError if no memory file can be created."""
        fd = self._open_copy()
        try:
            spec.origin = _unique_path(fd, self._name)
            return ExtensionFileLoader(self._name, spec.origin).create_module(spec)
        finally:
            os.close(fd)

    def exec_module(self, module: ModuleType) -> None:
        """Execute the module's initialisation."""
        ExtensionFileLoader(self._name, module.__spec__.origin).exec_module(module)

    def _open_copy(self) -> int:
        try:
            fd = os.memfd_create(self._name, os.MFD_CLOEXEC)
        except OSError as exc:
            raise ImportError(
                f"cannot create a memory file for {self._name}: {exc}", name=self._name
            ) from exc
        rest = memoryview(self._archive.get_data(self._member))
        while rest:
            rest = rest[os.write(fd, rest) :]
        return fd


def install(archive: zipimporter) -> None:
    """Register a finder for the extension modules of the archive."""
    sys.meta_path.insert(0, NativeFinder(archive))
    # The other backends of ijson run a compiler to locate the yajl library.
    os.environ.setdefault("IJSON_BACKEND", "python")


def _unique_path(fd: int, name: str) -> str:
    # glibc identifies loaded libraries by path, and descriptor numbers are reused: a different
    # number of slashes makes each path unique.
    index = list(NATIVE_FILES).index(name)
    return f"/proc/self/fd{'/' * (index + 1)}{fd}"
