"""The decoded copy of the view that an entry or agent keeps."""

import dataclasses
import threading
import typing

import msgspec

from hemlockkeel._internal import exceptions
from hemlockkeel._internal.models import adapters
from hemlockkeel._internal.models import declarations
from hemlockkeel._internal.models import items
from hemlockkeel._internal.models import members
from hemlockkeel._internal.rpc.gen.hk import ttypes
from hemlockkeel._internal.state import suspects
from hemlockkeel._internal.state import view


@dataclasses.dataclass(frozen=True, slots=True)
class ResolvedModel:
    """The deployment that serves a requested model.

    ``ref`` is None for a base model without an adapter.
    """

    deployment: str
    spec: declarations.Deployment
    ref: adapters.AdapterRef | None


class Catalog:
    """The configuration and the members of one site, as the view has them.

    Adapters are stored as a map from ``name@version`` to the name of the
    deployment, so that 180,000 of them take little memory.
    """

    def __init__(self, site: str) -> None:
        self.site = site
        self.lock = threading.RLock()
        self.version = 0
        self.sites: dict[str, declarations.Site] = {}
        self.base_deployments: dict[str, declarations.Deployment] = {}
        self.deployment_patches: dict[str, declarations.DeploymentPatch] = {}
        self.base_services: dict[str, declarations.PlainService] = {}
        self.service_patches: dict[str, declarations.ServicePatch] = {}
        self.base_adapters: dict[str, str] = {}
        self.site_adapters: dict[str, str] = {}
        self.members: dict[str, members.Member] = {}
        self.suspects: dict[str, suspects.Suspect] = {}
        self.control_addresses: dict[str, str] = {}
        # One string object for each deployment name in the adapter maps.
        self.interned_names: dict[str, str] = {}
        # Cache of deployments with the site's overrides.
        self.merged_deployments: dict[str, declarations.Deployment] = {}
        # Incremented when a member changes, so that data derived from the
        # members can be recomputed.
        self.members_epoch = 0

    def apply(self, delta: ttypes.ViewDelta) -> None:
        """Apply a delta; one that is not newer than the copy is ignored.

        :raises InvariantError: when the delta is not full and starts from
            another version than the copy's.
        """
        with self.lock:
            if delta.to_version <= self.version:
                return
            if delta.full:
                self.clear()
            else:
                exceptions.require(
                    delta.from_version == self.version,
                    "delta from version %d does not apply to version %d",
                    delta.from_version,
                    self.version,
                )
            for item in delta.items:
                self.put(item.key, item.value)
            self.merged_deployments.clear()
            self.version = delta.to_version

    def clear(self) -> None:
        """Remove all items but keep the version."""
        for table in (
            self.sites,
            self.base_deployments,
            self.deployment_patches,
            self.base_services,
            self.service_patches,
            self.base_adapters,
            self.site_adapters,
            self.members,
            self.suspects,
            self.control_addresses,
        ):
            typing.cast(dict[str, object], table).clear()
        self.members_epoch += 1

    def put(self, key: str, value: bytes | None) -> None:
        """Set an item of the view; None removes it."""
        namespace, _, rest = key.partition("/")
        match view.Namespace(namespace):
            case view.Namespace.CONFIG:
                self.put_config(rest, value)
            case view.Namespace.MEMBER:
                self.put_member(rest, value)
            case view.Namespace.SUSPECT:
                self.put_suspect(rest, value)
            case view.Namespace.CONTROL:
                self.put_text(self.control_addresses, rest, value)

    def put_text(
        self, table: dict[str, str], name: str, value: bytes | None
    ) -> None:
        """Set an entry of a table of strings; None removes it."""
        if value is None:
            table.pop(name, None)
            return
        table[name] = value.decode()

    def put_member(self, rest: str, value: bytes | None) -> None:
        """Set a member; None removes it."""
        member_id = rest.partition("/")[2]
        self.members_epoch += 1
        if value is None:
            self.members.pop(member_id, None)
            return
        self.members[member_id] = msgspec.msgpack.decode(
            value, type=members.Member
        )

    def put_suspect(self, digest: str, value: bytes | None) -> None:
        """Set a suspected request; None removes it."""
        if value is None:
            self.suspects.pop(digest, None)
            return
        self.suspects[digest] = msgspec.msgpack.decode(
            value, type=suspects.Suspect
        )

    def put_config(self, key: str, value: bytes | None) -> None:
        """Set a configuration item; None removes it."""
        path = items.parse_path(key)
        is_base = path.layer == items.BASE_LAYER
        if path.kind is items.Kind.ADAPTER:
            adapter_table = (
                self.base_adapters if is_base else self.site_adapters
            )
            self.put_adapter(adapter_table, path.name, value)
            return
        table = self.get_table(path.kind, is_base)
        if value is None:
            table.pop(path.name, None)
            return
        table[path.name] = items.decode_value(path, value)

    def get_table(
        self, kind: items.Kind, is_base: bool
    ) -> dict[str, msgspec.Struct]:
        """Return the table for a kind of item, of the base or the overlay."""
        tables: dict[tuple[items.Kind, bool], typing.Any] = {
            (items.Kind.SITE, True): self.sites,
            (items.Kind.DEPLOYMENT, True): self.base_deployments,
            (items.Kind.DEPLOYMENT, False): self.deployment_patches,
            (items.Kind.SERVICE, True): self.base_services,
            (items.Kind.SERVICE, False): self.service_patches,
        }
        table: dict[str, msgspec.Struct] = tables[kind, is_base]
        return table

    def put_adapter(
        self, table: dict[str, str], name: str, value: bytes | None
    ) -> None:
        """Set the deployment that serves an adapter; None removes it."""
        if value is None:
            table.pop(name, None)
            return
        deployment = msgspec.json.decode(
            value, type=declarations.AdapterBinding
        ).deployment
        table[name] = self.interned_names.setdefault(deployment, deployment)

    # Reads

    def find_model(self, model: str) -> ResolvedModel | None:
        """Return what serves adapter ``name@version``; None if nothing does.

        The site's overlay takes precedence over the base.
        """
        with self.lock:
            name = self.site_adapters.get(model)
            if name is None:
                name = self.base_adapters.get(model)
            if not name:
                return None
            spec = self.get_deployment(name)
            if spec is None:
                return None
        return ResolvedModel(name, spec, adapters.parse_adapter(model))

    def find_base_model(self, model: str) -> ResolvedModel | None:
        """Return what serves a base model; None if nothing does.

        Of several deployments the first by name is returned.
        """
        with self.lock:
            for name in sorted(self.base_deployments):
                spec = self.get_deployment(name)
                if spec is not None and spec.base_model == model:
                    return ResolvedModel(name, spec, None)
        return None

    def get_deployment(self, name: str) -> declarations.Deployment | None:
        """Return a deployment with this site's overrides; None if unknown."""
        with self.lock:
            cached = self.merged_deployments.get(name)
            if cached is not None:
                return cached
            base = self.base_deployments.get(name)
            if base is None:
                return None
            merged = merge(base, self.deployment_patches.get(name))
            self.merged_deployments[name] = merged
            return merged

    def get_service(self, name: str) -> declarations.PlainService | None:
        """Return a service with this site's overrides; None if unknown."""
        with self.lock:
            base = self.base_services.get(name)
            if base is None:
                return None
            return merge(base, self.service_patches.get(name))

    def list_models(self) -> list[str]:
        """Return ``name@version`` of every adapter served at this site."""
        with self.lock:
            names = set(self.base_adapters)
            for name, deployment in self.site_adapters.items():
                if deployment:
                    names.add(name)
                else:
                    names.discard(name)
        return sorted(names)

    def is_quarantined(self, digest: str, wall: float) -> bool:
        """Return whether a request is quarantined at a wall-clock time."""
        with self.lock:
            suspect = self.suspects.get(digest)
        return suspect is not None and suspect.quarantined_until > wall

    def is_suspect(self, digest: str) -> bool:
        """Return whether a request is suspected of crashing targets.

        It then has to run without other requests.
        """
        with self.lock:
            return digest in self.suspects


_Spec = typing.TypeVar("_Spec", bound=msgspec.Struct)


def merge(base: _Spec, patch: msgspec.Struct | None) -> _Spec:
    """Return a base declaration with the overrides that a site sets."""
    if patch is None:
        return base
    changes = {
        name: value
        for name, value in msgspec.structs.asdict(patch).items()
        if value is not None
    }
    return msgspec.structs.replace(base, **changes)
