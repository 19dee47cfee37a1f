package org.persimmonloom.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class OutlierEjectionTest {
  private static final int SHARE = 4;

  private final OutlierEjection ejection = new OutlierEjection();

  /** Guards against ejecting the whole pool when the requests cause the failures. */
  @ParameterizedTest
  @CsvSource({"2, 0", "3, 1", "8, 2", "9, 3"})
  void ejectsAtMostAThirdOfTheEndpoints(int endpoints, int ejected) {
    setUpEndpoints(endpoints);
    names(endpoints).forEach(name -> failUntilEjected(name, 0));
    assertThat(names(endpoints).stream().filter(name -> ejection.slotLimit(name, SHARE, 0) == 0))
        .hasSize(ejected);
    names(endpoints).forEach(ejection::remove);
    ejection.setEndpoints(List.of("e0", "e1"));
    assertThat(ejection.slotLimit("e0", SHARE, 0) + ejection.slotLimit("e1", SHARE, 0))
        .isEqualTo(2 * SHARE);
  }

  /**
   * Guards against full load on an endpoint that still fails, and against an ejection time that
   * does not grow.
   */
  @Test
  void readmitsAfterSuccessfulProbesAndDoublesEjectionTime() {
    setUpEndpoints(3);
    failUntilEjected("e0", 0);
    long ejected = EndpointHealth.FIRST_EJECTION_MILLIS;
    long now = 0;
    for (int round = 0; round < 4; round++) {
      assertThat(ejection.slotLimit("e0", SHARE, now + ejected - 1)).isZero();
      now += ejected;
      assertThat(ejection.slotLimit("e0", SHARE, now)).isEqualTo(1);
      ejection.recordResult("e0", AttemptResult.BROKEN, now, now);
      ejected *= 2;
    }
    now += ejected;
    for (int probe = 0; probe < EndpointHealth.PROBES_TO_READMIT; probe++) {
      assertThat(ejection.slotLimit("e0", SHARE, now)).isEqualTo(1);
      ejection.recordResult("e0", AttemptResult.SUCCEEDED, now, now);
    }
    assertThat(ejection.slotLimit("e0", SHARE, now)).isEqualTo(SHARE);
  }

  /** Guards against counting late results of attempts from before an ejection as probes. */
  @Test
  void ignoresResultsOfAttemptsStartedBeforeEjection() {
    setUpEndpoints(3);
    failUntilEjected("e0", 100);
    long probing = 100 + EndpointHealth.FIRST_EJECTION_MILLIS;
    for (int i = 0; i < 10; i++) {
      ejection.recordResult("e0", AttemptResult.SUCCEEDED, 50, probing);
    }
    assertThat(ejection.slotLimit("e0", SHARE, probing)).isEqualTo(1);
  }

  /**
   * Guards against ejection at a moderate failure rate, and against no ejection when nearly all
   * requests fail.
   */
  @ParameterizedTest
  @CsvSource({"0.3, false", "0.95, true"})
  void ejectsByFailureRate(double failureRate, boolean isEjected) {
    setUpEndpoints(3);
    Random random = new Random(5);
    for (int i = 0; i < 200; i++) {
      boolean fails = random.nextDouble() < failureRate;
      AttemptResult result = fails ? AttemptResult.FAILED : AttemptResult.SUCCEEDED;
      ejection.recordResult("e0", result, 0, 0);
    }
    assertThat(ejection.slotLimit("e0", SHARE, 0)).isEqualTo(isEjected ? 0 : SHARE);
  }

  /**
   * Guards against retries that multiply the load when many requests fail. The minimum is 3 retries
   * and refills by 0.3 retries per second.
   */
  @ParameterizedTest
  @CsvSource({"0, 0, 3", "100, 0, 13", "10000, 0, 50", "0, 60000, 21"})
  void retryBudgetIsATenthOfRequestsPlusMinimum(int requests, long idleMillis, int retries) {
    RetryBudget budget = new RetryBudget();
    IntStream.range(0, requests).forEach(i -> budget.recordRequest());
    int takenRetries = 0;
    while (budget.tryTakeRetry(0)) {
      takenRetries++;
    }
    for (long now = 1; now <= idleMillis; now++) {
      takenRetries += budget.tryTakeRetry(now) ? 1 : 0;
    }
    assertThat(takenRetries).isEqualTo(retries);
  }

  /** Guards against retries without a delay, and against retries that are sent at the same time. */
  @ParameterizedTest
  @CsvSource({"1, 10, 20", "3, 40, 80", "60, 500, 1000"})
  void backoffDelaysAreBoundedAndJittered(int attempt, long low, long high) {
    Random random = new Random(7);
    List<Long> delays =
        IntStream.range(0, 200).mapToObj(i -> RetryBackoff.delayMillis(attempt, random)).toList();
    assertThat(delays).allSatisfy(delay -> assertThat(delay).isBetween(low, high));
    assertThat(delays.stream().distinct()).hasSizeGreaterThan(5);
  }

  private void setUpEndpoints(int endpoints) {
    ejection.setEndpoints(names(endpoints));
  }

  private void failUntilEjected(String name, long now) {
    for (int i = 0; i < EndpointHealth.CONSECUTIVE_FAILURES_TO_EJECT; i++) {
      ejection.recordResult(name, AttemptResult.FAILED, now, now);
    }
  }

  private static List<String> names(int endpoints) {
    return IntStream.range(0, endpoints).mapToObj(i -> "e" + i).toList();
  }
}
