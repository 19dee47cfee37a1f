package org.persimmonloom.tool.demo;

import java.io.IOException;
import java.util.Random;
import java.util.function.BooleanSupplier;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.tool.oracle.CallerTry;
import org.persimmonloom.tool.oracle.TryOutcome;

/** Applies the first release note and waits until every entry host serves every service. */
final class SetUpCheck {
  private static final long INTERVAL_MILLIS = 100;

  private final DemoDeployment deployment;
  private final Balancer balancer;
  private final Caller caller;

  SetUpCheck(DemoDeployment deployment, Balancer balancer, Caller caller) {
    this.deployment = deployment;
    this.balancer = balancer;
    this.caller = caller;
  }

  void apply(DemoOperator operator, long waitMillis) throws IOException, InterruptedException {
    long deadline = System.currentTimeMillis() + waitMillis;
    await(deadline, "entry hosts ready", () -> balancer.up().stream().allMatch(balancer::isReady));
    Failure refusal = operator.apply(deployment.firstNote()).fold(it -> it, text -> null);
    if (refusal != null) {
      throw new IOException("the first release note was refused: " + refusal);
    }
    for (DemoService service : deployment.services()) {
      for (EntryTarget host : balancer.up()) {
        await(deadline, host.name() + " serves " + service.name(), () -> serves(host, service));
      }
    }
  }

  private boolean serves(EntryTarget host, DemoService service) {
    long now = System.currentTimeMillis();
    String key = now + "-setup" + String.format("%011x", new Random().nextInt(Integer.MAX_VALUE));
    CallerRequest request = new CallerRequest(key, service, true, 1, 2_000);
    CallerTry one = caller.send(host, request, 1);
    return one.outcome() == TryOutcome.ANSWERED;
  }

  private static void await(long deadline, String what, BooleanSupplier isDone)
      throws IOException, InterruptedException {
    while (!isDone.getAsBoolean()) {
      if (System.currentTimeMillis() > deadline) {
        throw new IOException("gave up waiting: " + what);
      }
      Thread.sleep(INTERVAL_MILLIS);
    }
  }
}
