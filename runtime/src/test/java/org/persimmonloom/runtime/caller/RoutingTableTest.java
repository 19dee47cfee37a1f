package org.persimmonloom.runtime.caller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.persimmonloom.runtime.caller.EntryFixture.await;
import static org.persimmonloom.runtime.caller.EntryFixture.outcome;

import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.persimmonloom.core.release.ReleaseProposed;
import org.persimmonloom.runtime.caller.FakeEndpoint.Behavior;

@Timeout(value = 15, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class RoutingTableTest {
  /**
   * Guards against a withdrawal that interrupts requests, and against a drain that is confirmed
   * while one is in progress or before the table reflects the drain.
   */
  @Test
  void withdrawnServiceRefusesNewRequestsAndFinishesOthers() throws Exception {
    try (EntryFixture entry = new EntryFixture("e1", new MemoryLog(), new MemoryPeers());
        FakeEndpoint endpoint = new FakeEndpoint(Behavior.GATED)) {
      entry.release();
      entry.admit("scan-pool", "h1", endpoint.address());
      var running =
          entry.http.sendAsync(
              entry.request("/scan/x").build(), HttpResponse.BodyHandlers.ofString());
      endpoint.requestArrived.await();
      String note =
          "[release]\nname = w\n[withdraw service scan]\n[change service bill]\nweight = 2\n";
      entry.propose(new ReleaseProposed("tester", note, 1));
      await(() -> entry.routing.find("scan").isLeft());
      assertThat(outcome(entry.send(entry.request("/scan/x").build()))).isEqualTo("22 not-run");
      assertThat(entry.routing.requestsInProgress("h1")).isEqualTo(1);
      assertThat(entry.routing.isDrained("h1", 0)).isFalse();
      endpoint.responseGate.countDown();
      assertThat(outcome(running.get())).isEqualTo("0 ran");
      await(() -> entry.routing.isDrained("h1", 0));
      assertThat(entry.routing.isDrained("h1", 1_000)).isFalse();
    }
  }

  /**
   * Guards against work that is assigned to a leaving host after a pause, because the host list
   * dates from before the pause.
   */
  @Test
  void workWaitsForTheHostListAfterAPause() throws Exception {
    try (EntryFixture entry = new EntryFixture("e1", new MemoryLog(), new MemoryPeers());
        FakeEndpoint endpoint = new FakeEndpoint(Behavior.ANSWER)) {
      entry.release();
      entry.admit("scan-pool", "h1", endpoint.address());
      long beforePause = System.currentTimeMillis() - LeavingHosts.MAX_HOST_LIST_AGE_MILLIS - 1;
      entry.leaving.setHostList(Set.of(), beforePause);
      entry.routing.refresh();
      var waiting =
          entry.http.sendAsync(
              entry.request("/scan/x").build(), HttpResponse.BodyHandlers.ofString());
      Thread.sleep(300);
      assertThat(waiting).isNotDone();
      entry.leaving.recordUnreadableHostList(beforePause, System.currentTimeMillis());
      Thread.sleep(200);
      assertThat(waiting).isNotDone();
      entry.leaving.setHostList(Set.of(), System.currentTimeMillis());
      assertThat(outcome(waiting.get())).isEqualTo("0 ran");
    }
  }

  /** Guards against requests that wait while the host list can't be read. */
  @Test
  void workGoesOnWhileTheHostListCannotBeRead() throws Exception {
    try (EntryFixture entry = new EntryFixture("e1", new MemoryLog(), new MemoryPeers());
        FakeEndpoint endpoint = new FakeEndpoint(Behavior.ANSWER)) {
      entry.release();
      entry.admit("scan-pool", "h1", endpoint.address());
      long now = System.currentTimeMillis();
      entry.leaving.setHostList(Set.of(), now - 60_000);
      entry.leaving.recordUnreadableHostList(now, now);
      assertThat(outcome(entry.send(entry.request("/scan/x").build()))).isEqualTo("0 ran");
    }
  }

  /** Guards against labels of series that the burn report does not find. */
  @Test
  void answersAreCountedByServiceResultAndObjective() throws Exception {
    try (EntryFixture entry = new EntryFixture("e1", new MemoryLog(), new MemoryPeers());
        FakeEndpoint endpoint = new FakeEndpoint(Behavior.ANSWER)) {
      entry.release();
      entry.admit("scan-pool", "h1", endpoint.address());
      entry.send(entry.request("/scan/x").build());
      entry.send(entry.request("/none").build());
      assertThat(count(entry, "persimmonloom_requests", "scan", "0", "ran")).isEqualTo(1);
      assertThat(count(entry, "persimmonloom_requests", "-", "10", "not-run")).isEqualTo(1);
      assertThat(count(entry, "persimmonloom_objective", "scan", "met")).isEqualTo(1);
      entry.requests.refuseNew();
      entry.send(entry.request("/scan/x").build());
      assertThat(count(entry, "persimmonloom_requests", "scan", "16", "not-run")).isEqualTo(1);
      assertThat(count(entry, "persimmonloom_objective", "scan", "refused")).isEqualTo(1);
      var seconds =
          (HistogramSnapshot)
              entry.registry.scrape(name -> name.equals("persimmonloom_request_seconds")).get(0);
      assertThat(seconds.getDataPoints().get(0).getLabels().get("work_class")).isEqualTo("short");
    }
  }

  private static double count(EntryFixture entry, String name, String... values) {
    var snapshot =
        (CounterSnapshot)
            entry.registry.scrape(metric -> metric.startsWith(name)).stream()
                .filter(metric -> metric.getMetadata().getName().equals(name))
                .findFirst()
                .orElseThrow();
    return snapshot.getDataPoints().stream()
        .filter(
            point ->
                point.getLabels().stream()
                    .map(label -> label.getValue())
                    .toList()
                    .containsAll(List.of(values)))
        .mapToDouble(CounterSnapshot.CounterDataPointSnapshot::getValue)
        .sum();
  }
}
