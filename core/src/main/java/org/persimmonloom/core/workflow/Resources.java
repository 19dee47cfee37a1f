package org.persimmonloom.core.workflow;

/**
 * An amount of a worker's capacity. Immutable.
 *
 * @param cpuMillis thousandths of a core
 * @param memoryMegabytes memory in MB
 * @param accelerators whole accelerators
 */
public record Resources(int cpuMillis, int memoryMegabytes, int accelerators) {
  public static final Resources NONE = new Resources(0, 0, 0);

  /** Returns the sum of both amounts. */
  public Resources plus(Resources other) {
    return new Resources(
        cpuMillis + other.cpuMillis,
        memoryMegabytes + other.memoryMegabytes,
        accelerators + other.accelerators);
  }

  /** Returns what remains of this amount without {@code other}; components may be negative. */
  public Resources minus(Resources other) {
    return new Resources(
        cpuMillis - other.cpuMillis,
        memoryMegabytes - other.memoryMegabytes,
        accelerators - other.accelerators);
  }

  /** Returns this amount without its processor share. */
  public Resources withoutCpu() {
    return new Resources(0, memoryMegabytes, accelerators);
  }

  /** Returns whether this amount holds {@code needed} in every component. */
  public boolean covers(Resources needed) {
    return cpuMillis >= needed.cpuMillis
        && memoryMegabytes >= needed.memoryMegabytes
        && accelerators >= needed.accelerators;
  }
}
