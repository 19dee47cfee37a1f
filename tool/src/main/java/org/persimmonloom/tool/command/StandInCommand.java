package org.persimmonloom.tool.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.persimmonloom.core.host.HostFacts;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.runtime.fleet.HostList;
import org.persimmonloom.tool.standin.EndpointStandIn;
import org.persimmonloom.tool.standin.HostListStandIn;
import org.persimmonloom.tool.standin.LogStandIn;
import org.persimmonloom.tool.standin.StandInConsole;

@Parameters(
    commandDescription =
        "Run stand-ins of the log, the host list and the endpoints of one service until killed."
            + " Lines on standard input switch faults; 'help' lists them")
final class StandInCommand implements Command {
  private static final int HOSTS_PER_RACK = 4;

  @Parameter(names = "--port", description = "port of the log; host list and endpoints follow")
  private int port = 7300;

  @Parameter(names = "--pool", description = "home pool of the endpoints")
  private String pool = "scan-executors";

  @Parameter(names = "--endpoints", description = "number of endpoints")
  private int endpoints = 1;

  @Parameter(names = "--print-executions", description = "print each execution")
  private boolean printsExecutions;

  @Override
  public List<String> examples() {
    return List.of("persimmonloom standin --endpoints 8 --pool scan-executors");
  }

  @Override
  public Either<Failure, String> run() {
    LogStandIn log = new LogStandIn(local(port));
    List<HostFacts> facts = new ArrayList<>();
    List<EndpointStandIn> started = new ArrayList<>();
    for (int number = 1; number <= endpoints; number++) {
      InetSocketAddress address = local(port + 1 + number);
      facts.add(facts(number, address));
      started.add(
          new EndpointStandIn(
              "endpoint-" + number,
              address,
              execution -> {
                if (printsExecutions) {
                  System.out.println(execution);
                }
              }));
    }
    HostListStandIn hosts = new HostListStandIn(local(port + 1), new HostList(facts, Set.of()));
    log.start();
    hosts.start();
    started.forEach(EndpointStandIn::start);
    System.out.printf(
        "log on port %d, host list on %d, endpoints on %d to %d%n",
        port, port + 1, port + 2, port + 1 + endpoints);
    return readLines(new StandInConsole(log, hosts, started));
  }

  private HostFacts facts(int number, InetSocketAddress address) {
    String rack = "r" + (1 + (number - 1) / HOSTS_PER_RACK);
    String text = address.getHostString() + ":" + address.getPort();
    return new HostFacts(
        "endpoint-" + number, HostKind.EXECUTOR, text, rack, "dc1", "local", 8, 16_384, 0, pool);
  }

  /** Carries out lines until the process is killed, also after the end of standard input. */
  private static Either<Failure, String> readLines(StandInConsole console) {
    try {
      BufferedReader lines =
          new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        System.out.println(console.run(line).fold(Failure::toString, text -> text));
      }
      Thread.currentThread().join();
    } catch (IOException e) {
      return Either.left(Failure.of(ResultCode.INTERNAL, e.getMessage()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return Either.left(Failure.of(ResultCode.STOPPING));
  }

  private static InetSocketAddress local(int port) {
    return new InetSocketAddress("127.0.0.1", port);
  }
}
