package org.persimmonloom.runtime.workflow;

import java.util.concurrent.ThreadFactory;

/** Factories of threads that do not keep the process alive. Stateless. */
final class DaemonThreads {
  private DaemonThreads() {}

  /** Returns a factory of threads that all have the name. */
  static ThreadFactory named(String name) {
    return task -> {
      Thread thread = new Thread(task, name);
      thread.setDaemon(true);
      return thread;
    };
  }
}
