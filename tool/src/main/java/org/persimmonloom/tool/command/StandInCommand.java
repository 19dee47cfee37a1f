package org.persimmonloom.tool.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
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

@Parameters(commandDescription = "Run stand-ins of the platform and of one endpoint until killed")
final class StandInCommand implements Command {
  @Parameter(names = "--port", description = "port of the log; the host list and endpoint follow")
  private int port = 7300;

  @Parameter(names = "--pool", description = "home pool of the endpoint")
  private String pool = "scan-executors";

  @Override
  public Either<Failure, String> run() {
    new LogStandIn(local(port)).start();
    String endpoint = "127.0.0.1:" + (port + 2);
    HostFacts facts =
        new HostFacts(
            "endpoint-1", HostKind.EXECUTOR, endpoint, "r1", "dc1", "local", 8, 16_384, 0, pool);
    new HostListStandIn(local(port + 1), new HostList(List.of(facts), Set.of())).start();
    new EndpointStandIn(local(port + 2)).start();
    System.out.println("stand-ins listen on ports " + port + " to " + (port + 2));
    try {
      Thread.currentThread().join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return Either.left(Failure.of(ResultCode.STOPPING));
  }

  private static InetSocketAddress local(int port) {
    return new InetSocketAddress("127.0.0.1", port);
  }
}
