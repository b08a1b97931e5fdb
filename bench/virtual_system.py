"""Runs whole instances with servers and callers on virtual time, without sockets."""

import random
from collections.abc import Callable, Mapping

import msgspec

from sapphirerail_core.datagram import Datagram
from sapphirerail_core.effects import Effect, Message
from sapphirerail_core.fleet.listing import ListedInstance
from sapphirerail_core.plan import Plan
from sapphirerail_core.types import DataCentreId, InstanceId
from sapphirerail_node.instance_core import InstanceCore
from sapphirerail_node.metrics import Metrics
from sapphirerail_node.router import EffectSenders, Router
from sapphirerail_node.settings import Settings
from sapphirerail_standins.callers import CallerModel
from sapphirerail_standins.clock import VirtualClock
from sapphirerail_standins.history import HistoryEvent, merge_by_time
from sapphirerail_standins.server_model import ServerModel
from sapphirerail_standins.server_settings import ServerSettings
from sapphirerail_transport.udp import Address, format_address, parse_address

__all__ = ["VirtualSystem"]

NETWORK_DELAY_MS = 0.5
CALLER_DELAY_MS = 3.0
DISPATCHER_TICK_MS = 20
TICK_MS = 100
SOCKETS = ("caller", "server", "peer", "api", "platform")


class _Instance:
    """One instance's decisions and router, connected to the simulated network."""

    def __init__(self, system: "VirtualSystem", name: str, data_centre: str) -> None:
        address = f"{name}:1"
        config = dict.fromkeys(
            [f"{socket}_address" for socket in SOCKETS], "10.0.0.1:1"
        )
        settings = Settings.from_config(
            config
            | {
                "instance": name,
                "data_centre": data_centre,
                "key": "a key for the bench",
                "n_flows_max": 10_000,
                "stop_linger_ms": 0,
                "stop_timeout_ms": 1_000,
                "log_level": "info",
                "seed": 1,
            }
        )
        self.data_centre = data_centre
        self.address = address
        self.core = InstanceCore.from_config(settings, 1, address, address, 0)
        self.router = Router(
            self.core.flows,
            self.core.dispatcher,
            EffectSenders(
                system.send_to_caller,
                lambda datagram, server: system.send_to_server(
                    datagram, server, address
                ),
                lambda target, message: system.send_to_peer(name, target, message),
            ),
            Metrics(None),
            self.core.journal,
        )

    def on_plan(self, plan: Plan, now_ms: int) -> None:
        """Apply a plan."""
        self.router.on_plan(plan)
        self.router.execute(self.core.on_plan(plan, now_ms))


class VirtualSystem:
    """Instances, backend servers and callers without sockets or a real clock.

    Parameters
    ----------
    plan : Plan
        The plan at the start; a server's address is its name and port 1.
    n_instances : int
        Instances in each data centre.
    service_ms : float
        Service time of a request on a warm server.
    seed : int
        Seed of the fabrics' choice of instances and of the callers' choices.
    """

    def __init__(
        self, plan: Plan, n_instances: int, service_ms: float, seed: int
    ) -> None:
        self.clock = VirtualClock()
        self.plan = plan
        self._random = random.Random(seed)
        self.servers = {
            server.address: ServerModel(
                ServerSettings(
                    server=server.server, service=server.service, service_ms=service_ms
                ),
                self.clock,
                lambda datagram, address, source=server.address: self._from_server(
                    datagram, address, source
                ),
            )
            for server in plan.servers.values()
        }
        self.instances = {
            f"{data_centre}-{number}": _Instance(
                self, f"{data_centre}-{number}", data_centre
            )
            for data_centre in plan.data_centres
            for number in range(n_instances)
        }
        self._instances_by_address = {
            item.address: item for item in self.instances.values()
        }
        self.callers = {
            data_centre: CallerModel(
                self.clock,
                lambda datagram, data_centre=data_centre: self._from_caller(
                    datagram, data_centre
                ),
                seed * 100 + number,
            )
            for number, data_centre in enumerate(plan.data_centres)
        }
        self._fabrics: dict[str, Address] = {
            data_centre: (f"10.2.0.{number}", 1)
            for number, data_centre in enumerate(plan.data_centres)
        }
        self._callers_by_address = {
            format_address(self._fabrics[data_centre]): callers
            for data_centre, callers in self.callers.items()
        }
        self._start_instances()

    def distribute_plan(self, plan: Plan, delays_ms: Mapping[str, float]) -> None:
        """Let each instance apply a plan after its own delay."""
        self.plan = plan
        for name, instance in self.instances.items():

            def apply(instance: _Instance = instance) -> None:
                instance.on_plan(plan, self.clock.now_ms())

            self.clock.call_later(delays_ms.get(name, 0.0), apply)

    def history(self) -> list[HistoryEvent]:
        """Return the events of callers and servers in order of time."""
        records = [server.events for server in self.servers.values()]
        records += [callers.events for callers in self.callers.values()]
        return merge_by_time(*records)

    def send_to_caller(self, datagram: Datagram) -> None:
        """Deliver a datagram to the callers of a data centre."""
        callers = self._callers_by_address[datagram.caller]
        self.clock.call_later(CALLER_DELAY_MS, lambda: callers.on_datagram(datagram))

    def send_to_server(self, datagram: Datagram, server: str, source: str) -> None:
        """Deliver a datagram to a backend server."""
        model = self.servers[server]
        self.clock.call_later(
            NETWORK_DELAY_MS, lambda: model.on_datagram(datagram, source)
        )

    def send_to_peer(self, sender: str, target: InstanceId, message: Message) -> None:
        """Deliver a message to an instance."""
        instance = self.instances.get(target)
        if instance is None:
            return

        def arrive() -> None:
            effects = instance.core.on_message(
                InstanceId(sender), message, self.clock.now_ms()
            )
            instance.router.execute(effects)

        self.clock.call_later(NETWORK_DELAY_MS, arrive)

    def _start_instances(self) -> None:
        listed = [
            ListedInstance(
                InstanceId(name),
                DataCentreId(instance.data_centre),
                instance.address,
                instance.address,
            )
            for name, instance in self.instances.items()
        ]
        for instance in self.instances.values():
            effects = instance.core.membership.on_listing(listed, 0)
            instance.router.execute(effects)
            instance.on_plan(self.plan, 0)
            self._tick_repeatedly(
                instance, DISPATCHER_TICK_MS, instance.core.dispatcher.tick
            )
            self._tick_repeatedly(instance, TICK_MS, instance.core.membership.tick)
            self._tick_repeatedly(instance, TICK_MS, instance.core.flows.tick)

    def _tick_repeatedly(
        self,
        instance: _Instance,
        interval_ms: int,
        tick: Callable[[int], list[Effect]],
    ) -> None:
        def run() -> None:
            instance.router.execute(tick(self.clock.now_ms()))
            self.clock.call_later(interval_ms, run)

        self.clock.call_later(self._random.random() * interval_ms, run)

    def _from_caller(self, datagram: Datagram, data_centre: str) -> None:
        instances = [i for i in self.instances.values() if i.data_centre == data_centre]
        instance = self._random.choice(instances)
        sender = self._fabrics[data_centre]
        with_caller = msgspec.structs.replace(datagram, caller=format_address(sender))

        def arrive() -> None:
            now_ms = self.clock.now_ms()
            instance.router.on_caller_datagram(with_caller, sender, now_ms)

        self.clock.call_later(CALLER_DELAY_MS, arrive)

    def _from_server(self, datagram: Datagram, address: str, source: str) -> None:
        instance = self._instances_by_address[address]

        def arrive() -> None:
            now_ms = self.clock.now_ms()
            instance.router.on_server_datagram(datagram, parse_address(source), now_ms)

        self.clock.call_later(NETWORK_DELAY_MS, arrive)
