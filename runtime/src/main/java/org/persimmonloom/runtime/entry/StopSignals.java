package org.persimmonloom.runtime.entry;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import sun.misc.Signal;

/**
 * Turns the first SIGTERM or SIGINT into a planned stop and the second into a hurried one.
 *
 * <p>A shutdown hook would not do: the virtual machine ignores further signals once its hooks run.
 * Hence {@link Signal} of the module {@code jdk.unsupported}, the only interface of the JDK to
 * signals.
 */
final class StopSignals {
  private StopSignals() {}

  /** Installs the handlers; the process exits with status 0 when the stop is done. */
  static void install(EntryHostService entryHost) {
    AtomicInteger received = new AtomicInteger();
    for (String name : List.of("TERM", "INT")) {
      Signal.handle(
          new Signal(name),
          signal -> {
            if (received.incrementAndGet() == 1) {
              new Thread(() -> stop(entryHost), "planned-stop").start();
            } else {
              entryHost.hurry();
            }
          });
    }
  }

  private static void stop(EntryHostService entryHost) {
    int status = 1;
    try {
      entryHost.stop();
      status = 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      System.exit(status);
    }
  }
}
