package org.persimmonloom.tool.demo.step;

import io.vavr.control.Either;
import java.io.IOException;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.tool.demo.DemoOperator;
import org.persimmonloom.tool.demo.DemoRun;
import org.persimmonloom.tool.demo.DemoStep;
import org.persimmonloom.tool.demo.Platform;

/**
 * An operator moves an endpoint of the spare pool to the pool of the service that peaks next. The
 * oracle counts the move when the endpoint runs a request of that service.
 *
 * @param endpoint number of the endpoint, from 1
 * @param service position of the service that gets it
 */
public record MoveHost(int endpoint, int service) implements DemoStep {
  @Override
  public String description() {
    return "spare endpoint " + endpoint + " is moved to service " + (service + 1);
  }

  @Override
  public void run(DemoRun run) throws IOException {
    String host = Platform.endpointName(run.demand().spare(), endpoint);
    String pool = run.demand().service(service).pool();
    Either<Failure, String> answer =
        new DemoOperator("mover", run.host(0))
            .post("/hosts/move?host=" + host + "&pool=" + pool + "&reason=demand", "");
    if (answer.isLeft()) {
      throw new IOException("move refused: " + answer.getLeft());
    }
  }
}
