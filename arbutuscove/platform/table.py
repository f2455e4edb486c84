"""The table service of the product in one table of the platform's store.

Each row holds a JSON document with the value and the identity of its write.
"""

import dataclasses
import typing

import eliot
import expression
import msgspec

from arbutuscove.kernel import decoding
from arbutuscove.platform import store as store_module
from arbutuscove.storage import eras
from arbutuscove.storage import table as table_module

OWN_TABLE = "arbutuscove"


@dataclasses.dataclass(frozen=True, kw_only=True)
class _TableContent:
    """Content of a row in the product's own table."""

    write_id: decoding.Text = ""
    value: typing.Any = None


_CONTENT_DECODER = decoding.JsonDecoder[_TableContent](
    _TableContent, store_module.MAX_ANSWER_BYTES
)


class StoreTable:
    """The table service of the product, stored in one table of the store.

    All rows have the same part, since a transaction cannot span several parts.
    The version of a row contains the era in which it was read, as the store
    assigns the same version to another row after a restore.
    """

    def __init__(self, store: store_module.Store) -> None:
        self._store = store

    def read(self, key: str) -> table_module.Row | None:
        """Returns the row, or None if there is none.

        Raises:
            TableUnavailableError: no answer was received.
        """
        try:
            rows = self._store.read_rows(OWN_TABLE, key).rows
        except store_module.StoreError as error:
            raise table_module.TableUnavailableError(str(error)) from error
        return decode_row(rows[0]) if rows else None

    def scan(
        self,
        prefix: str,
        after: str = "",
        limit: int = store_module.MAX_PAGE_ROWS,
    ) -> list[table_module.Row]:
        """Returns rows by prefix in key order, after a key, at most `limit`.

        Raises:
            TableUnavailableError: no answer was received.
        """
        try:
            rows = self._store.read_rows(OWN_TABLE).rows
        except store_module.StoreError as error:
            raise table_module.TableUnavailableError(str(error)) from error
        matching = [
            decode_row(row)
            for row in rows
            if row.key.startswith(prefix) and row.key > after
        ]
        return matching[:limit]

    def transact(
        self, transaction: table_module.Transaction
    ) -> table_module.Outcome:
        """Applies a transaction once.

        Raises:
            TableUnavailableError: nothing was written.
            OutcomeUnknownError: the confirmation was lost.
        """
        writes = {
            write.key: _encode_table_value(write, transaction.write_id)
            for write in transaction.writes
        }
        era = self._store.get_era()
        conditions: dict[str, int] = {}
        for condition in transaction.conditions:
            condition_era, version = eras.split_version(condition.version)
            if condition.version != table_module.ABSENT and (
                condition_era != era
            ):
                conflict = table_module.Conflict(
                    key=condition.key, found=table_module.UNKNOWN_VERSION
                )
                return expression.Error(conflict)
            conditions[condition.key] = version
        try:
            written = self._store.transact(OWN_TABLE, conditions, writes)
        except store_module.OutcomeUnknownError as error:
            raise table_module.OutcomeUnknownError(str(error)) from error
        except store_module.StoreError as error:
            raise table_module.TableUnavailableError(str(error)) from error
        if written is None:
            key = transaction.conditions[0].key
            conflict = table_module.Conflict(
                key=key, found=table_module.UNKNOWN_VERSION
            )
            return expression.Error(conflict)
        version = eras.join_version(self._store.get_era(), written)
        committed = table_module.Committed(
            versions=dict.fromkeys(writes, version)
        )
        return expression.Ok(committed)


def _encode_table_value(
    write: table_module.Write, write_id: str
) -> bytes | None:
    if write.value is None:
        return None
    return msgspec.json.encode({"write_id": write_id, "value": write.value})


def decode_row(row: store_module.Row) -> table_module.Row:
    """Returns a row of the product's table from one of the store.

    The value of a row that cannot be decoded is None.
    """
    try:
        content = _CONTENT_DECODER.decode(row.content or b"{}")
    except decoding.DecodingError as error:
        eliot.log_message(
            "store:row_unreadable", key=row.key, reason=str(error)
        )
        content = _TableContent()
    return table_module.Row(
        key=row.key,
        version=eras.join_version(row.era, row.version),
        write_id=content.write_id,
        value=content.value,
    )
