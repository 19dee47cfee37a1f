package org.persimmonloom.tool.demo;

import java.util.Random;

/**
 * A request that a caller is about to send.
 *
 * @param key the request key, {@code <unix millis>-<random>}
 * @param runMillis how long it will run at the endpoint
 * @param deadlineMillis how long the caller waits for one answer
 */
public record CallerRequest(
    String key, DemoService service, boolean isShort, long runMillis, long deadlineMillis) {
  private static final double LONG_SHARE = 0.3;
  private static final long SHORT_DEADLINE_MILLIS = 4_000;
  private static final long LONG_DEADLINE_MILLIS = 10_000;

  /** Returns a random request: most are short, of 20 to 60 ms, the others of 700 to 1300 ms. */
  public static CallerRequest random(DemoService service, Random random, long nowMillis) {
    boolean isShort = random.nextDouble() >= LONG_SHARE;
    long runMillis = isShort ? 20 + random.nextInt(41) : 700 + random.nextInt(601);
    return new CallerRequest(
        nowMillis + "-" + String.format("%016x", random.nextLong()),
        service,
        isShort,
        runMillis,
        isShort ? SHORT_DEADLINE_MILLIS : LONG_DEADLINE_MILLIS);
  }

  /** Returns the path, which names the service and the route. */
  public String path() {
    return "/" + service.name() + "/" + (isShort ? service.shortRoute() : service.longRoute());
  }

  /**
   * Returns the path and query of a try. Only a repeatable request names the try, because all tries
   * of a non-repeatable one must be the same request.
   */
  public String target(int tryNumber) {
    String target = path() + "?key=" + key + "&run=" + runMillis;
    return service.isRepeatable() ? target + "&try=" + tryNumber : target;
  }
}
