from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from springrock.coordination.catalog import Adapter, Catalog, Change, Mark, Pin, Workload


def change(revision: int, **parts: object) -> Change:
    return Change(
        revision=revision,
        command_id=str(revision),
        who="op",
        at=0.0,
        statement="",
        **parts,  # type: ignore[arg-type]
    )


def test_only_the_next_revision_is_applied() -> None:
    catalog = Catalog()
    assert not catalog.apply(change(2, adapters=[Adapter("b:x", [1], 1)]))
    assert catalog.adapter("b:x") is None
    assert catalog.apply(change(1, adapters=[Adapter("b:x", [1], 1)]))
    assert not catalog.apply(change(1, deletes=["adapter/b:x"]))
    assert catalog.adapter("b:x") == Adapter("b:x", [1], 1)


def test_entities_are_found_by_type_and_name() -> None:
    catalog = Catalog()
    catalog.apply(
        change(
            1,
            adapters=[Adapter("b:x", [1, 2], 2, ["minutes"])],
            workloads=[Workload("minutes", priority=3)],
            marks=[Mark.drain("engine-1")],
            pins=[Pin("engine-2", "x@2")],
        )
    )
    assert catalog.workload("minutes") == Workload("minutes", priority=3)
    assert catalog.drained("engine-1")
    assert not catalog.drained("engine-2")
    assert catalog.pins("engine-2") == [Pin("engine-2", "x@2")]
    assert catalog.revision_of("adapter/b:x") == 1
    assert catalog.revision_of("drain/engine-1") == 1
    assert catalog.revision_of("adapter/b:none") == 0


NAMES = st.integers(0, 30).map(lambda number: f"b:{number}")
STEPS = st.lists(st.tuples(st.booleans(), NAMES, st.integers(1, 9)), max_size=60)


@given(STEPS)
def test_adapters_behave_as_a_dictionary_and_survive_a_snapshot(
    steps: list[tuple[bool, str, int]],
) -> None:
    catalog, expected = Catalog(), dict[str, Adapter]()
    for revision, (put, name, version) in enumerate(steps, start=1):
        if put:
            expected[name] = Adapter(name, [version], version)
            catalog.apply(change(revision, adapters=[expected[name]]))
        else:
            expected.pop(name, None)
            catalog.apply(change(revision, deletes=[f"adapter/{name}"]))
    restored = Catalog.from_snapshot(catalog.snapshot())
    for found in (catalog, restored):
        assert {item.name: item for item in found.adapters()} == expected
        assert found.adapter_count == len(expected)
        assert found.revision == len(steps)


def test_a_snapshot_keeps_workloads_marks_and_pins() -> None:
    catalog = Catalog()
    catalog.apply(
        change(1, workloads=[Workload("w")], marks=[Mark.drain("r")], pins=[Pin("r", "x@1")])
    )
    restored = Catalog.from_snapshot(catalog.snapshot())
    assert restored.workloads() == [Workload("w")]
    assert restored.marks() == [Mark.drain("r")]
    assert restored.pins() == [Pin("r", "x@1")]
    assert restored.revision_of("workload/w") == 1
