"""Injects network faults between the entry processes of a test cluster."""

from collections.abc import Collection, Iterable, Mapping

from kumquatlift.settings import Address
from tools.fault_proxy import FaultProxy


class FaultNetwork:
    """A fault proxy in front of the peers port of each entry process.

    The proxies distinguish sources by IP number, so every process needs its own.

    Args:
        peers: Name of each entry process, with the "ip:port" where it listens for its peers.
        host: IP number of the proxies.
    """

    def __init__(self, *, peers: Mapping[str, str], host: str) -> None:
        targets = {name: Address.parse(text) for name, text in peers.items()}
        self._hosts = {name: target.host for name, target in targets.items()}
        free = Address(host, 0)
        self._proxies = {
            name: FaultProxy(target=target, listen=free, control=free, seed=number)
            for number, (name, target) in enumerate(targets.items())
        }

    def address(self, name: str) -> str:
        """Return the address at which the other entry processes reach one of them."""
        return str(self._proxies[name].address)

    def command(self, line: str) -> None:
        """Send a command to every proxy.

        Raises:
            ValueError: A proxy refused the command.
        """
        for name in self._proxies:
            self._command(name, line)

    def cut(self, sources: Iterable[str], targets: Collection[str]) -> None:
        """Block everything from the sources to the targets; the other direction stays open."""
        for source in sources:
            for target in targets:
                # The source also sends on connections that the target has opened, which go through
                # the proxy of the source.
                self._command(target, f"cut up from {self._hosts[source]}")
                self._command(source, f"cut down from {self._hosts[target]}")

    def isolate(self, names: Collection[str]) -> None:
        """Partition some entry processes from all the others, in both directions."""
        others = [name for name in self._proxies if name not in names]
        self.cut(names, others)
        self.cut(others, names)

    def heal(self) -> None:
        """End all cuts, drops and delays."""
        self.command("pass")

    def close(self) -> None:
        """Close the proxies."""
        for proxy in self._proxies.values():
            proxy.close()

    def _command(self, name: str, line: str) -> None:
        answer = self._proxies[name].command(line)
        if not answer.startswith("ok"):
            raise ValueError(answer)
