package org.persimmonloom.tool.demo;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;

/** Makes executors of daemon threads, so that a demo that fails can't keep its process alive. */
final class DemoThreads {
  private DemoThreads() {}

  private static ThreadFactory daemons(String name) {
    return task -> {
      Thread thread = new Thread(task, name);
      thread.setDaemon(true);
      return thread;
    };
  }

  static ScheduledExecutorService scheduled(String name, int threads) {
    return Executors.newScheduledThreadPool(threads, daemons(name));
  }

  static ExecutorService cached(String name) {
    return Executors.newCachedThreadPool(daemons(name));
  }
}
