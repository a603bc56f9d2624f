"""Entry point of the single-file program; the build stores this module as `__main__`."""

import native_loader

native_loader.install(__loader__)

from rattangate.cmd.main import app  # noqa: E402

if __name__ == "__main__":
    app()
