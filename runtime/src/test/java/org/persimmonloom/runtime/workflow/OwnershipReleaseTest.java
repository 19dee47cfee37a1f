package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Proxy;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The thread that releases the ownership is interrupted outside a wait, as by a planned stop. */
class OwnershipReleaseTest {
  private static final OwnershipRecord RELEASE = new OwnershipRecord("one", 1, 1, true);

  private final FakeKeyedLog log = new FakeKeyedLog();
  private final AtomicInteger relayed = new AtomicInteger();

  /** Time that an own call takes. */
  private volatile long callMillis;

  private final OwnershipTable table =
      new OwnershipTable(
          slow(log),
          (expectedEnd, record) -> {
            relayed.incrementAndGet();
            return log.relay(expectedEnd, record);
          });

  private KeyedLog slow(KeyedLog delegate) {
    return (KeyedLog)
        Proxy.newProxyInstance(
            KeyedLog.class.getClassLoader(),
            new Class<?>[] {KeyedLog.class},
            (proxy, method, arguments) -> {
              TimeUnit.MILLISECONDS.sleep(callMillis);
              return method.invoke(delegate, arguments);
            });
  }

  @AfterEach
  void clearInterrupt() {
    Thread.interrupted();
  }

  /**
   * Guards against a release that does not wait for its own append, so that another host appends a
   * second time.
   */
  @Test
  void interruptedThreadWaitsForItsAppend() {
    assertThat(table.load()).isTrue();
    callMillis = 100;
    Thread.currentThread().interrupt();
    assertThat(table.appendAnyWay(RELEASE)).isEqualTo(new AppendResult.Appended(0, 1));
    assertThat(relayed).hasValue(0);
    assertThat(log.appendCount()).isEqualTo(1);
  }

  /** Guards against a stop that waits for a store which does not answer. */
  @Test
  void interruptedThreadWaitsForALimitedTime() {
    assertThat(table.load()).isTrue();
    callMillis = 5_000;
    Thread.currentThread().interrupt();
    assertThat(table.appendAnyWay(RELEASE)).isEqualTo(new AppendResult.Appended(0, 1));
    assertThat(relayed).hasValue(1);
  }
}
