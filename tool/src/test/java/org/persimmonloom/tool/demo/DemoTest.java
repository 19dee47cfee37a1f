package org.persimmonloom.tool.demo;

import static org.assertj.core.api.Assertions.assertThat;

import dagger.Component;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.persimmonloom.core.release.ReleaseNoteParser;
import org.persimmonloom.runtime.entry.EntryComponent;
import org.persimmonloom.runtime.entry.HttpClientModule;
import org.persimmonloom.tool.demo.step.ApplyNote;
import org.persimmonloom.tool.oracle.OracleVerdict;

class DemoTest {
  private static final DemandSchedule SCHEDULE = new DemandSchedule(5, 40, 4_000);

  private static Set<Class<?>> modules(Class<?> component) {
    return new HashSet<>(List.of(component.getAnnotation(Component.class).modules()));
  }

  /** Guards against a demo that lacks a part of the entry host that was added later. */
  @Test
  void theDemoWiresTheSameModulesAsTheDaemon() {
    Set<Class<?>> expected = modules(EntryComponent.class);
    expected.remove(HttpClientModule.class);
    expected.add(GatedHttpClientModule.class);
    assertThat(modules(DemoEntryComponent.class)).isEqualTo(expected);
  }

  /** Guards against demand whose peaks overlap or leave a queue out. */
  @Test
  void eachQueueIsAtItsPeakInTurn() {
    for (int turn = 0; turn < 10; turn++) {
      long at = turn * 4_000 + 1_234;
      double[] rates =
          IntStream.range(0, 5).mapToDouble(it -> SCHEDULE.perSecond(it, at)).toArray();
      double[] expected = {2, 2, 2, 2, 2};
      expected[turn % 5] = 200;
      assertThat(rates).containsExactly(expected);
    }
  }

  /** Guards against a run that can't be repeated by its seed. */
  @Test
  void theSeedFixesTheRequests() {
    DemoService service = DemoDeployment.DEPOT.services().get(0);
    List<CallerRequest> first = requests(service);
    assertThat(requests(service)).isEqualTo(first);
    assertThat(first.stream().filter(CallerRequest::isShort).count()).isBetween(50L, 90L);
  }

  private static List<CallerRequest> requests(DemoService service) {
    Random random = new Random(3);
    return Stream.generate(() -> CallerRequest.random(service, random, 5)).limit(100).toList();
  }

  /** Guards against tries of a non-repeatable request that differ, which a key must not cover. */
  @Test
  void onlyRepeatableRequestsNameTheirTry() {
    for (DemoService service : DemoDeployment.BOT.services()) {
      CallerRequest request = CallerRequest.random(service, new Random(1), 5);
      assertThat(request.target(1).equals(request.target(2))).isEqualTo(!service.isRepeatable());
    }
  }

  /** Guards against a deployment whose note is refused, or whose fourth service is repeatable. */
  @ParameterizedTest
  @EnumSource(DemoDeployment.class)
  void deploymentsHaveAValidNote(DemoDeployment deployment) {
    assertThat(new ReleaseNoteParser().parse(deployment.firstNote()).isRight()).isTrue();
    assertThat(deployment.services().get(3).isRepeatable()).isFalse();
    assertThat(deployment.services().stream().filter(DemoService::isSpare)).hasSize(1);
  }

  /** Guards against a demo that can't pass: without faults every invariant must hold. */
  @Test
  void aRunWithoutFaultsHoldsEveryInvariant() throws Exception {
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    OracleVerdict verdict =
        new DemoRun(
                new DemoOptions(DemoDeployment.DEPOT, 2, 5),
                new PrintStream(text, true, StandardCharsets.UTF_8))
            .run(List.of(new ScheduledStep(0.3, new ApplyNote("probe-test"))));
    assertThat(verdict.broken()).as(text.toString(StandardCharsets.UTF_8)).isEmpty();
    assertThat(verdict.line()).matches("accepted=\\d+ answered=\\d+ .* verdict=ok");
  }
}
