package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests what is logged about requests without a route. */
class RequestRouterTest {
  private static final int FLOOD = 500;

  private final FakeKeyedLog log = new FakeKeyedLog();
  private final AtomicLong clock = new AtomicLong(1_000);
  private final OperationsReplica operations = new OperationsReplica(new FakeConfigurations());
  private final TableFollower follower =
      new TableFollower(log, Table.OPERATIONS, operations, clock::get, 0, 0);
  private final WorkflowMetrics metrics = new WorkflowMetrics();
  private final RequestRouter router = new RequestRouter(operations, follower, metrics, clock::get);

  @AfterEach
  void stop() {
    follower.stop();
  }

  /** Guards against a 404 that cannot be explained: by which configuration, and how old it was. */
  @Test
  void requestWithoutARouteIsLoggedWithTheAgeOfTheConfiguration() throws InterruptedException {
    log.append(
        Table.OPERATIONS,
        new KeyedLog.Sequence("operator", 1, 1),
        List.of(FakeConfigurations.record(7, "/a/")));
    follower.start();
    while (!follower.isLoaded()) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    follower.stop();
    log.isDown = true;
    TimeUnit.MILLISECONDS.sleep(50);
    clock.addAndGet(4_000);
    FleetConfiguration configuration = operations.configuration().orElseThrow();
    try (LogLines lines = new LogLines("event=route_unknown")) {
      assertThat(router.route(configuration, "host", "/a/1")).isPresent();
      assertThat(router.route(configuration, "host", "/b/\n1")).isEmpty();
      assertThat(lines.poll(1_000))
          .contains("path=/b/?1 version=7 offset=0 age_ms=4000 last_read=")
          .contains("loads=1");
    }
  }

  /** Guards against logs that a flood of unknown paths fills. */
  @Test
  void floodOfUnknownPathsIsLoggedInPart() {
    operations.apply(new StoredRecord(0, FakeConfigurations.record(7, "/a/")));
    FleetConfiguration configuration = operations.configuration().orElseThrow();
    try (LogLines lines = new LogLines("event=route_unknown")) {
      for (int i = 0; i < FLOOD; i++) {
        router.route(configuration, "host", "/b/" + i);
      }
      assertThat(lines.rest()).hasSizeBetween(1, 50);
      assertThat(metrics.unknownRoutes.get()).isEqualTo(FLOOD);
      clock.addAndGet(1_000);
      router.route(configuration, "host", "/b/");
      assertThat(lines.rest()).singleElement().asString().contains("suppressed=480");
    }
  }
}
