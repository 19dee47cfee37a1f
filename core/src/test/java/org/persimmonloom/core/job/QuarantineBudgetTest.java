package org.persimmonloom.core.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostState;
import org.persimmonloom.core.release.BudgetDefinition;

class QuarantineBudgetTest {
  private static Host worker(String name, String rack, HostState state) {
    return new Host(JobFixture.workerFacts(name, rack), "workers", state, 0, 0);
  }

  /** Guards against a quarantine that exceeds a budget together with other unavailable hosts. */
  @ParameterizedTest
  @CsvSource({
    "workers, POOL, 2, true",
    "workers, POOL, 3, false",
    "*, RACK, 1, true",
    "*, RACK, 2, false",
    "other, POOL, 0, false"
  })
  void unavailableAndQuarantinedHostsCountTogether(
      String pool, BudgetDefinition.Domain domain, int maxUnavailable, boolean isRefused) {
    List<Host> hosts =
        List.of(
            worker("w1", "r1", HostState.AVAILABLE),
            worker("w2", "r1", HostState.DOWN),
            worker("w3", "r2", HostState.AVAILABLE),
            worker("w4", "r2", HostState.AVAILABLE));
    BudgetDefinition budget = new BudgetDefinition("b", pool, domain, maxUnavailable);
    var refusal = QuarantineBudget.refusal(hosts.get(0), hosts, List.of(budget), "w3"::equals);
    assertThat(refusal.isPresent()).isEqualTo(isRefused);
  }
}
