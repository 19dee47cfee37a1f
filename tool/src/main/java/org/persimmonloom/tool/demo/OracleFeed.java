package org.persimmonloom.tool.demo;

import java.util.function.Consumer;
import org.persimmonloom.tool.oracle.Oracle;
import org.persimmonloom.tool.standin.Execution;

/** Passes executions on to an oracle that is made after the endpoints. Safe for any thread. */
final class OracleFeed implements Consumer<Execution> {
  private volatile Oracle oracle;

  void connect(Oracle next) {
    oracle = next;
  }

  @Override
  public void accept(Execution execution) {
    oracle.executed(execution);
  }
}
