package org.persimmonloom.tool.demo;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * The two deployments that a demo can run. The fourth service is the non-repeatable one, because
 * the script disturbs it at its peak.
 */
public enum DemoDeployment {
  /** Rents and launders workwear. */
  DEPOT(
      "sk-central",
      new DemoService("scan", true, false, "bundle", "reconciliation"),
      new DemoService("rounds", true, false, "driver", "plan"),
      new DemoService("orders", true, false, "replacement", "fit-sizing"),
      new DemoService("pickup", false, false, "record", "batch"),
      new DemoService("backoffice", true, true, "query", "report")),
  /** Runs a dependency bot. */
  BOT(
      "dakar-thies",
      new DemoService("lockfile", true, false, "check", "audit"),
      new DemoService("meter", true, false, "reading", "settlement"),
      new DemoService("telemetry", true, false, "sample", "rollup"),
      new DemoService("patch-build", false, false, "small", "large"),
      new DemoService("misc-bot", true, true, "query", "report"));

  /** Executors of each service. */
  public static final int EXECUTORS_PER_SERVICE = 8;

  /** Workers that run the jobs of the spare service. */
  public static final int WORKERS = 8;

  /** The team that submits jobs. */
  public static final String TEAM = "demo-team";

  private static final int DATA_CENTRES = 4;

  private final String region;
  private final List<DemoService> services;

  DemoDeployment(String region, DemoService... services) {
    this.region = region;
    this.services = List.of(services);
  }

  /** Returns the deployment that an option names. */
  public static DemoDeployment named(String name) {
    return valueOf(name.toUpperCase(Locale.ROOT));
  }

  /** Returns the region of its hosts. */
  public String region() {
    return region;
  }

  /** Returns its services; exactly one is the spare service. */
  public List<DemoService> services() {
    return services;
  }

  /** Returns the spare service. */
  public DemoService spare() {
    return services.stream().filter(DemoService::isSpare).findFirst().orElseThrow();
  }

  /** Returns the data centre of the host with this number, from 0. */
  public static String dataCentre(int number) {
    return "dc" + (1 + number % DATA_CENTRES);
  }

  /** Returns the release note that defines all pools, services and budgets. */
  public String firstNote() {
    String sections =
        services.stream()
            .map(
                service ->
                    """
                    [add pool %2$s]
                    kind = executors
                    service = %1$s
                    spare = %3$s

                    [add service %1$s]
                    pool = %2$s
                    repeatable = %4$s
                    deadline_millis = 10000
                    queue_limit = 512
                    workers = %5$s

                    [add budget %1$s]
                    pool = %2$s
                    max_unavailable = 1
                    """
                        .formatted(
                            service.name(),
                            service.pool(),
                            service.isSpare(),
                            service.isRepeatable(),
                            service.isSpare() ? workerPool() : ""))
            .collect(Collectors.joining("\n"));
    return "[release]\nname = first\n\n" + sections + workerSections();
  }

  /**
   * The pool of workers that runs the jobs of the spare service, and the team that submits them.
   */
  private String workerSections() {
    return """

        [add pool %1$s]
        kind = workers

        [add budget %1$s]
        pool = %1$s
        max_unavailable = 2

        [add team %2$s]
        quota_cores = 64
        """
        .formatted(workerPool(), TEAM);
  }

  /** Returns the name of the pool of workers. */
  public String workerPool() {
    return spare().name() + "-workers";
  }

  /**
   * Returns a note that adds a service without executors. Whether an entry host runs the note shows
   * in how it refuses a request for that service.
   */
  public static String probeNote(String name, long basedOn) {
    return """
        [release]
        name = %1$s
        based_on = %2$d

        [add pool %1$s-executors]
        service = %1$s

        [add service %1$s]
        pool = %1$s-executors
        """
        .formatted(name, basedOn);
  }
}
