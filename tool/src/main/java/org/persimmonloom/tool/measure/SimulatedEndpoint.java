package org.persimmonloom.tool.measure;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;
import org.persimmonloom.core.routing.RoutingEndpoint;

/** An endpoint: runs as many requests as it has slots and queues the rest as they arrive. */
final class SimulatedEndpoint {
  final RoutingEndpoint endpoint;
  final int dataCentre;
  private final EventLoop loop;
  private final RoutingFigures figures;
  private final BusyShare busyShare = new BusyShare();
  private final Queue<Waiting> queue = new ArrayDeque<>();
  private int running;

  private record Waiting(SimulatedRequest request, Consumer<SimulatedRequest> finished) {}

  SimulatedEndpoint(
      RoutingEndpoint endpoint, int dataCentre, EventLoop loop, RoutingFigures figures) {
    this.endpoint = endpoint;
    this.dataCentre = dataCentre;
    this.loop = loop;
    this.figures = figures;
  }

  void arrive(SimulatedRequest request, Consumer<SimulatedRequest> finished) {
    request.waitMark = busyShare.read(loop.nowMicros());
    queue.add(new Waiting(request, finished));
    figures.arrivedAtEndpoint(Math.max(0, running + queue.size() - RoutingModel.SLOTS));
    startNext();
  }

  private void startNext() {
    if (queue.isEmpty() || running >= RoutingModel.SLOTS) {
      return;
    }
    Waiting next = queue.remove();
    SimulatedRequest request = next.request();
    request.behindLongMicros += busyShare.read(loop.nowMicros()) - request.waitMark;
    running++;
    busyShare.change(1, request.isLong, loop.nowMicros());
    figures.started(request, loop.nowMicros());
    loop.after(request.runMicros, () -> finish(next));
  }

  private void finish(Waiting done) {
    running--;
    busyShare.change(-1, done.request().isLong, loop.nowMicros());
    done.finished().accept(done.request());
    startNext();
  }
}
