package org.persimmonloom.tool.standin;

import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * One HTTP listener of a stand-in. All listeners of the process share one set of threads, because a
 * demo runs more than forty of them. Start and stop are confined to one thread.
 */
final class StandInServer {
  private static final int IO_THREADS = 4;
  private static final int WORKER_THREADS = 64;
  private static final XnioWorker WORKER = worker();

  private final InetSocketAddress address;
  private final HttpHandler handler;
  private Undertow server;

  StandInServer(InetSocketAddress address, HttpHandler handler) {
    this.address = address;
    this.handler = handler;
  }

  private static XnioWorker worker() {
    OptionMap options =
        OptionMap.builder()
            .set(Options.WORKER_IO_THREADS, IO_THREADS)
            .set(Options.WORKER_TASK_CORE_THREADS, WORKER_THREADS)
            .set(Options.WORKER_TASK_MAX_THREADS, WORKER_THREADS)
            .set(Options.TCP_NODELAY, true)
            .set(Options.THREAD_DAEMON, true)
            .set(Options.WORKER_NAME, "stand-in")
            .getMap();
    try {
      return Xnio.getInstance().createWorker(options);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  void start() {
    server =
        Undertow.builder()
            .setWorker(WORKER)
            .addHttpListener(address.getPort(), address.getHostString())
            .setHandler(handler)
            .build();
    server.start();
  }

  void stop() {
    server.stop();
  }
}
