package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.TableRecord;

/** Tests what a host remembers of earlier configurations. */
class OperationsReplicaTest {
  private static final long LONG_MILLIS = 120_000;

  private final AtomicLong clock = new AtomicLong(1_000);
  private final OperationsReplica operations =
      new OperationsReplica(new FakeConfigurations(), clock::get);

  private void read(long version, String service) {
    operations.apply(
        new StoredRecord(version, FakeConfigurations.recordOf(version, service, "/a/", "/b/")));
  }

  /**
   * Guards against a task that runs twice: an earlier owner has started it on the service that its
   * queue had for a moment, and the next owner does not know of that service.
   */
  @Test
  void queueThatIsRoutedAwayAndBackIsRemembered() {
    read(1, "s1");
    assertThat(operations.reroutedQueues()).isEmpty();
    read(2, "s2");
    read(4, "s1");
    assertThat(operations.reroutedQueues()).isEqualTo(Set.of("queue/a/", "queue/b/"));
  }

  /** Guards against workflows that wait for workers of a service which the queue had long ago. */
  @Test
  void changeOfAServiceIsForgottenInTime() {
    read(1, "s1");
    read(2, "s2");
    clock.addAndGet(LONG_MILLIS);
    assertThat(operations.reroutedQueues()).isEmpty();
  }

  /** Guards against a configuration that an unreadable or older record replaces. */
  @Test
  void olderVersionIsNotTaken() {
    read(5, "s1");
    read(4, "s2");
    operations.apply(new StoredRecord(9, new TableRecord("other", new byte[] {1})));
    Optional<FleetConfiguration> known = operations.configuration();
    assertThat(known.orElseThrow().version()).isEqualTo(5);
    assertThat(operations.reroutedQueues()).isEmpty();
  }
}
