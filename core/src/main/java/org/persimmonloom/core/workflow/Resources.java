package org.persimmonloom.core.workflow;

/**
 * An amount of compute resources. Immutable.
 *
 * @param cpuMillis processor share in thousandths of a core
 * @param memoryMegabytes memory in MB
 * @param accelerators number of accelerators
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

  /** Returns the difference of both amounts; components may be negative. */
  public Resources minus(Resources other) {
    return new Resources(
        cpuMillis - other.cpuMillis,
        memoryMegabytes - other.memoryMegabytes,
        accelerators - other.accelerators);
  }

  /** Returns this amount with a processor share of 0. */
  public Resources withoutCpu() {
    return new Resources(0, memoryMegabytes, accelerators);
  }

  /** Returns whether every component of this amount is at least that of {@code needed}. */
  public boolean covers(Resources needed) {
    return cpuMillis >= needed.cpuMillis
        && memoryMegabytes >= needed.memoryMegabytes
        && accelerators >= needed.accelerators;
  }
}
