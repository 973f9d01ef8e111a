from egretloft._internal.platform.http_call import create_http_session
from egretloft._internal.platform.http_object_store import create_http_object_store
from egretloft._internal.platform.protocols import StoreFailureKind
from lib.serving import serving
from standins.objects import ObjectsTarget


async def test_existing_object_is_not_replaced():
    """Guards against a month closed twice, whose second account replaces the first."""
    target = ObjectsTarget("127.0.0.1", 0)
    async with serving(target) as session:
        store = create_http_object_store(session, target.address)
        name = "account/2026-11 ö?#%"
        assert (await store.get(name)).unwrap() is None
        assert (await store.put_if_absent(name, b"first")).unwrap() is True
        assert (await store.put_if_absent(name, b"second")).unwrap() is False
        assert (await store.get(name)).unwrap() == b"first"


async def test_lost_answer_of_a_put_is_unknown():
    """Guards against the HTTP library repeating a PUT whose answer was lost.

    The repeated PUT would report the object of the first one as existing before.
    """
    target = ObjectsTarget("127.0.0.1", 0)
    async with serving(target) as session:
        store = create_http_object_store(session, target.address)
        assert (await store.get("a")).unwrap() is None
        target.control({"lose_answers": 1})
        failure = (await store.put_if_absent("a", b"x")).failure()
        assert failure.kind is StoreFailureKind.UNKNOWN
        assert target.calls["a"] == 2


async def test_refusals_and_absent_service_are_not_applied():
    """Guards against unknown outcomes while the store refuses or cannot be reached."""
    target = ObjectsTarget("127.0.0.1", 0)
    async with serving(target) as session:
        store = create_http_object_store(session, target.address)
        target.control({"down": "refuse"})
        failure = (await store.put_if_absent("a", b"x")).failure()
        assert failure.kind is StoreFailureKind.NOT_APPLIED
    async with create_http_session() as session:
        store = create_http_object_store(session, target.address)
        failure = (await store.put_if_absent("a", b"x")).failure()
        assert failure.kind is StoreFailureKind.NOT_APPLIED


async def test_missing_route_is_not_a_missing_object():
    """Guards against a 404 of another service that is read as a missing object."""
    target = ObjectsTarget("127.0.0.1", 0)
    async with serving(target) as session:
        store = create_http_object_store(session, f"{target.address}/elsewhere")
        failure = (await store.get("a")).failure()
        assert failure.kind is StoreFailureKind.UNKNOWN
