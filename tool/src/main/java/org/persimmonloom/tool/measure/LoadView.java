package org.persimmonloom.tool.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.persimmonloom.core.routing.ServiceLoad;

/** The load reports that one entry host has received, and what it forwarded since. */
final class LoadView {
  private final Map<String, Report> reports = new TreeMap<>();
  private final Map<String, int[]> forwarded = new HashMap<>();

  private record Report(long heardMicros, List<ServiceLoad> loads) {}

  void receive(String host, List<ServiceLoad> loads, long nowMicros) {
    reports.put(host, new Report(nowMicros, List.copyOf(loads)));
    forwarded.remove(host);
  }

  /** Forgets hosts that have been silent for too long. */
  void forgetSilent(long nowMicros) {
    reports
        .values()
        .removeIf(report -> nowMicros - report.heardMicros() > RoutingModel.SUSPECT_MICROS);
  }

  List<String> hosts() {
    return new ArrayList<>(reports.keySet());
  }

  Map<String, ServiceLoad> loads(int service) {
    Map<String, ServiceLoad> loads = new TreeMap<>();
    reports.forEach((host, report) -> loads.put(host, report.loads().get(service)));
    return loads;
  }

  void noteForwarded(String host, int service) {
    forwarded.computeIfAbsent(host, name -> new int[RoutingModel.SERVICES])[service]++;
  }

  /** Returns the load to expect at a host: the reported one and what was sent there since. */
  int expectedLoad(String host, int service) {
    ServiceLoad load = reports.get(host).loads().get(service);
    int[] sent = forwarded.get(host);
    return load.queued() + load.inProgress() + (sent == null ? 0 : sent[service]);
  }
}
