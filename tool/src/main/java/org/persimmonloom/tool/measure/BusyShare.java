package org.persimmonloom.tool.measure;

/**
 * Integral over time of the share of busy slots that long work holds. The difference of two
 * readings is the part of that wait spent behind long work.
 */
final class BusyShare {
  private int busy;
  private int busyWithLong;
  private long changedMicros;
  private double integralMicros;

  double read(long nowMicros) {
    double share = busy == 0 ? 0 : (double) busyWithLong / busy;
    integralMicros += share * (nowMicros - changedMicros);
    changedMicros = nowMicros;
    return integralMicros;
  }

  void change(int delta, boolean isLong, long nowMicros) {
    read(nowMicros);
    busy += delta;
    busyWithLong += isLong ? delta : 0;
  }
}
