package org.persimmonloom.tool.demo;

/**
 * A service of a demo deployment.
 *
 * @param shortRoute second path segment of its short requests
 * @param longRoute second path segment of its long requests
 * @param isSpare whether its pool is the spare pool
 */
public record DemoService(
    String name, boolean isRepeatable, boolean isSpare, String shortRoute, String longRoute) {
  /** Returns the name of the pool of its executors. */
  public String pool() {
    return name + "-executors";
  }
}
