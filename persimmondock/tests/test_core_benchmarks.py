"""Tests that the benchmarks of the decision core run at a small size with plausible results."""

from __future__ import annotations

from benchmarks import appends, core, detection, lease_traffic, spreading


def test_benchmarks_of_the_core_run() -> None:
    for benchmark in (core.Advance(), core.DomainLoss(), core.Snapshot(), core.CatchUp()):
        benchmark.setup(15, 64)
    view = core.make_view(60, 640)
    for kind in core.Fold.params[2]:
        folded = core.fold_all(view, [core.make_record(view, kind)])
        assert folded.offset == view.offset + 1
    lost = core.fold_all(view, core.list_domain_losses(view, 60))
    assert {m.failure_domain for m in view.members.values()} - {
        m.failure_domain for m in lost.members.values()
    } == {"domain-1"}


def test_benchmarks_of_spreading_reach_all_living_members() -> None:
    for method in spreading.METHODS.values():
        assert len(spreading.run_method(method, 150, 0.0).arrived_at) == 150


def test_benchmarks_of_detection_appends_and_lease_traffic_have_plausible_results() -> None:
    site, outcome = detection.run_method("leases, 3 witnesses", 15, "failure domain lost")
    assert set(outcome.detected) == site.lost
    assert (
        appends.simulate_domain_loss(15, True).log.appends
        <= appends.simulate_domain_loss(15, False).log.appends
    )
    assert 64 < lease_traffic.compute_mean_frame_bytes() < 256
