package org.persimmonloom.tool.demo;

import java.net.InetSocketAddress;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.persimmonloom.core.host.HostFacts;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.runtime.fleet.HostList;
import org.persimmonloom.tool.standin.EndpointStandIn;
import org.persimmonloom.tool.standin.Execution;
import org.persimmonloom.tool.standin.FreePorts;
import org.persimmonloom.tool.standin.HostListStandIn;
import org.persimmonloom.tool.standin.LogStandIn;
import org.persimmonloom.tool.standin.TaskBehaviour;
import org.persimmonloom.tool.standin.TaskLedger;
import org.persimmonloom.tool.standin.WorkerStandIn;

/** The stand-ins of a demo: the log, the host list and the endpoints of all services. */
public final class Platform {
  /** After how long readers of the host list see a change. */
  public static final long HOST_LIST_LAG_MILLIS = 300;

  private static final long APPEND_LATENCY_MILLIS = 3;
  private static final int HOSTS_PER_RACK = 4;
  private static final long JOB_RUN_MILLIS = 1_500;

  private final Map<String, EndpointStandIn> endpoints = new LinkedHashMap<>();
  private final Map<String, String> homeServices = new LinkedHashMap<>();
  private final List<WorkerStandIn> workers = new ArrayList<>();
  private final TaskLedger tasks = new TaskLedger();
  private final LogStandIn log;
  private final HostListStandIn hostList;
  private final String logUrl;
  private final String hostListUrl;

  /** Creates stand-ins that report executions to the listener. */
  public Platform(DemoDeployment deployment, Consumer<Execution> listener) {
    int count = deployment.services().size() * DemoDeployment.EXECUTORS_PER_SERVICE;
    List<InetSocketAddress> ports = FreePorts.choose(count + 2 + DemoDeployment.WORKERS);
    List<HostFacts> facts = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      DemoService service =
          deployment.services().get(number / DemoDeployment.EXECUTORS_PER_SERVICE);
      String name = endpointName(service.name(), 1 + number % DemoDeployment.EXECUTORS_PER_SERVICE);
      InetSocketAddress address = ports.get(number);
      endpoints.put(name, new EndpointStandIn(name, address, listener));
      homeServices.put(name, service.name());
      facts.add(
          facts(HostKind.EXECUTOR, name, number, address, deployment.region(), service.pool()));
    }
    for (int number = 0; number < DemoDeployment.WORKERS; number++) {
      addWorker(deployment, count + number, ports.get(count + 2 + number), facts);
    }
    log = new LogStandIn(ports.get(count));
    log.faults().setAppendLatencyMillis(APPEND_LATENCY_MILLIS);
    logUrl = "http://127.0.0.1:" + ports.get(count).getPort();
    hostList = new HostListStandIn(ports.get(count + 1), new HostList(facts, Set.of()));
    hostList.setLagMillis(HOST_LIST_LAG_MILLIS);
    hostListUrl = "http://127.0.0.1:" + ports.get(count + 1).getPort();
  }

  private void addWorker(
      DemoDeployment deployment, int number, InetSocketAddress address, List<HostFacts> facts) {
    String name = "worker-" + (1 + workers.size());
    HostFacts worker =
        facts(HostKind.WORKER, name, number, address, deployment.region(), deployment.workerPool());
    facts.add(worker);
    workers.add(
        new WorkerStandIn(
            worker,
            InstantSource.system(),
            tasks,
            kind -> TaskBehaviour.succeeding(JOB_RUN_MILLIS)));
  }

  private static HostFacts facts(
      HostKind kind,
      String name,
      int number,
      InetSocketAddress address,
      String region,
      String pool) {
    String rack = "rack" + (1 + number / HOSTS_PER_RACK);
    String text = address.getHostString() + ":" + address.getPort();
    String dataCentre = DemoDeployment.dataCentre(number / HOSTS_PER_RACK);
    return new HostFacts(name, kind, text, rack, dataCentre, region, 16, 32_768, 0, pool);
  }

  /** Returns the name of an endpoint; numbers start at 1. */
  public static String endpointName(String service, int number) {
    return service + "-" + number;
  }

  /** Starts all stand-ins. */
  public void start() {
    log.start();
    hostList.start();
    endpoints.values().forEach(EndpointStandIn::start);
    workers.forEach(WorkerStandIn::start);
  }

  /** Stops all stand-ins. */
  public void stop() {
    workers.forEach(WorkerStandIn::stop);
    endpoints.values().forEach(EndpointStandIn::stop);
    hostList.stop();
    log.stop();
  }

  /** Returns the log. */
  public LogStandIn log() {
    return log;
  }

  /** Returns the host list. */
  public HostListStandIn hostList() {
    return hostList;
  }

  /** Returns an endpoint by its name. */
  public EndpointStandIn endpoint(String name) {
    return endpoints.get(name);
  }

  /** Returns the workers that run jobs. */
  public List<WorkerStandIn> workers() {
    return List.copyOf(workers);
  }

  /** Returns every run of every job. */
  public TaskLedger tasks() {
    return tasks;
  }

  /** Returns the home service of each endpoint. */
  public Map<String, String> homeServices() {
    return Map.copyOf(homeServices);
  }

  /** Returns the address of the log. */
  public String logUrl() {
    return logUrl;
  }

  /** Returns the address of the host list. */
  public String hostListUrl() {
    return hostListUrl;
  }
}
