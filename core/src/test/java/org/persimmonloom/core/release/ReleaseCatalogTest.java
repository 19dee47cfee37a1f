package org.persimmonloom.core.release;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.persimmonloom.core.fold.Batch;
import org.persimmonloom.core.fold.FleetState;
import org.persimmonloom.core.fold.ProposalResult;
import org.persimmonloom.core.host.HostAdmitted;
import org.persimmonloom.core.host.HostFacts;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.member.EntryHostSeen;
import org.persimmonloom.core.result.ResultCode;

/** Applies the notes of {@code release/notes.txt} to a catalog at revision 1. */
class ReleaseCatalogTest {
  private static final String FIRST_NOTE =
      """
      [release]
      name = first
      [add pool scan-executors]
      kind = executors
      [add pool full]
      kind = workers
      [add service scan]
      pool = scan-executors
      repeatable = false
      [add budget scan]
      pool = scan-executors
      max_unavailable = 1
      """;

  private final FleetState state = new FleetState();
  private long sequence;

  record NoteCase(String name, String note, List<String> expected) {
    @Override
    public String toString() {
      return name;
    }
  }

  static Stream<NoteCase> cases() throws IOException {
    try (InputStream resource =
        ReleaseCatalogTest.class.getResourceAsStream("/release/notes.txt")) {
      String text = new String(resource.readAllBytes(), StandardCharsets.UTF_8);
      List<NoteCase> cases = new ArrayList<>();
      for (String block : text.split("(?m)^== ")) {
        if (!block.isBlank()) {
          String[] noteAndExpected = block.split("(?m)^--\\n");
          String[] nameAndNote = noteAndExpected[0].split("\n", 2);
          cases.add(
              new NoteCase(
                  nameAndNote[0],
                  nameAndNote[1],
                  Arrays.asList(noteAndExpected[1].strip().split("\n"))));
        }
      }
      return cases.stream();
    }
  }

  private ProposalResult apply(String text, long basedOn) {
    ReleaseProposed proposed = new ReleaseProposed("anna", text, basedOn);
    Batch batch =
        new Batch(
            "entry-1",
            1,
            ++sequence,
            1,
            1_000 * sequence,
            List.of(new EntryHostSeen("a", "b", "dc1"), proposed));
    return state.apply(state.nextOffset(), batch).get().get(1);
  }

  private void admitHosts() {
    List<HostAdmitted> hosts = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      hosts.add(
          new HostAdmitted(
              new HostFacts("h" + i, HostKind.WORKER, "a", "r1", "dc1", "local", 1, 1, 0, "full")));
    }
    state
        .apply(
            state.nextOffset(), new Batch("entry-1", 1, ++sequence, 1, 1_000, List.copyOf(hosts)))
        .get();
  }

  /** Guards against notes that are partially applied, or rejected without reporting all errors. */
  @ParameterizedTest
  @MethodSource("cases")
  void noteIsAppliedAtomicallyOrRejectedWithAllErrors(NoteCase noteCase) {
    apply(FIRST_NOTE, 0);
    admitHosts();
    ProposalResult result = apply(noteCase.note(), 1);
    List<String> actual = new ArrayList<>();
    if (result.isAccepted()) {
      actual.add(result.detail());
    } else if (result.code() == ResultCode.NOTE_INVALID) {
      actual.addAll(
          state.releases().validate(noteCase.note()).stream().map(NoteError::toString).toList());
    } else {
      actual.add(result.code().number() + " " + result.detail());
    }
    assertThat(result.isAccepted()).isEqualTo(state.releases().current().number() == 2);
    assertThat(actual)
        .containsExactlyInAnyOrderElementsOf(
            noteCase.expected().stream().filter(line -> !isStateLine(line)).toList());
    assertThat(stateLines())
        .containsAll(noteCase.expected().stream().filter(line -> isStateLine(line)).toList());
  }

  private static boolean isStateLine(String line) {
    return line.startsWith("scan.") || line.startsWith("no team ");
  }

  private List<String> stateLines() {
    List<String> lines = serviceValues();
    if (!state.releases().teams().containsKey("depot")) {
      lines.add("no team depot");
    }
    return lines;
  }

  private List<String> serviceValues() {
    List<String> values = new ArrayList<>();
    state
        .releases()
        .snapshot()
        .values()
        .get(DefinitionKind.SERVICE)
        .get("scan")
        .forEach((key, value) -> values.add("scan." + key + " = " + value));
    return values;
  }

  /** Guards against a repeated note that raises the revision or is reported as a conflict. */
  @Test
  void repeatedNoteIsIdempotent() {
    assertThat(apply(FIRST_NOTE, 0).code()).isEqualTo(ResultCode.OK);
    assertThat(apply(FIRST_NOTE, 0).code()).isEqualTo(ResultCode.ALREADY_APPLIED);
    assertThat(state.releases().current().number()).isEqualTo(1);
  }

  /** Guards against accepting two notes that are based on the same revision. */
  @Test
  void secondNoteOnTheSameRevisionIsRejected() {
    apply(FIRST_NOTE, 0);
    String firstNote = "[release]\nname = one\n[add team a]\nquota_cores = 1\n";
    String secondNote = "[release]\nname = two\n[add team b]\nquota_cores = 1\n";
    assertThat(apply(firstNote, 1).isAccepted()).isTrue();
    assertThat(apply(secondNote, 1).code()).isEqualTo(ResultCode.REVISION_CONFLICT);
    assertThat(state.releases().teams()).containsOnlyKeys("a");
  }
}
