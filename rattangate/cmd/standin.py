"""The commands that run stand-ins, the simulators of external systems for tests."""

from __future__ import annotations

import functools

import trio
import typer

from rattangate.standins.engine_model import EngineSpec, Eviction

app = typer.Typer(help="Run a stand-in of an outside system, for tests and trials.")


@app.command()
def engine(
    address: str = typer.Option(..., help="Address to serve, as IP:port."),
    model: str = typer.Option(..., help="Model to serve."),
    weights_version: str = typer.Option("1", help="Weights version at the start."),
    platform: str = typer.Option("", help="Address of the platform, as IP:port."),
    checks_orders: bool = typer.Option(True, help="Refuse orders with an old fencing number."),
    piece_tokens: int = typer.Option(4000, help="Tokens of one cache piece."),
    cache_pieces: int = typer.Option(64, help="Pieces that the cache holds."),
    prefill_rate: float = typer.Option(40_000.0, help="Prompt tokens computed a second."),
    decode_rate: float = typer.Option(40.0, help="Tokens generated a second by one stream."),
    max_running: int = typer.Option(64, help="Streams that decode at once."),
    eviction: Eviction = typer.Option(Eviction.LRU, help="Eviction rule of the cache."),
    seed: int = typer.Option(1, help="Seed of the random number generator."),
) -> None:
    """Run a model engine."""
    # Imported here so that an entry instance starts without loading the stand-ins.
    from rattangate.standins.engine import EngineCfg, run_engine

    spec = EngineSpec(
        piece_tokens=piece_tokens,
        cache_pieces=cache_pieces,
        prefill_tokens_per_s=prefill_rate,
        decode_tokens_per_s=decode_rate,
        max_running=max_running,
        eviction=eviction,
    )
    cfg = EngineCfg(address, model, weights_version, spec, checks_orders, platform, seed)
    trio.run(run_engine, cfg)


@app.command()
def service(
    address: str = typer.Option(..., help="Address to serve, as IP:port."),
    name: str = typer.Option(..., help="Name of the service."),
) -> None:
    """Run a plain service whose runs can be counted."""
    from rattangate.standins.service import run_service

    trio.run(run_service, address, name)


@app.command()
def platform(
    address: str = typer.Option(..., help="Address to serve, as IP:port."),
) -> None:
    """Run the platform's table, objects, weights, kept KV and instance list."""
    from rattangate.standins.platform import run_platform

    trio.run(functools.partial(run_platform, address))
