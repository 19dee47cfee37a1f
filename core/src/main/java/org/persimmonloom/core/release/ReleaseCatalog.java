package org.persimmonloom.core.release;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import net.openhft.hashing.LongHashFunction;
import org.persimmonloom.core.fold.Position;
import org.persimmonloom.core.fold.ProposalRegistry;
import org.persimmonloom.core.fold.ReplicatedTable;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/**
 * The definitions in force and the revision that introduced them.
 *
 * <p>A note is applied atomically: its changes are made on a copy, which replaces the definitions
 * only after it has been validated. The revision number increases by one with each accepted note
 * and never decreases. Confined to the fold thread.
 */
public final class ReleaseCatalog implements ReplicatedTable<ReleaseCatalog.Snapshot> {
  private final ReleaseNoteParser parser = new ReleaseNoteParser();
  private final PoolOccupancy occupancy;
  private Definitions definitions = Definitions.empty();
  private Revision current = new Revision(0, "-", "-", 0, 0, 0);

  /**
   * The last accepted note.
   *
   * @param number revision number; increases by one with each accepted note
   * @param name name of the note
   * @param operator operator who applied the note
   * @param digest hash of the text, used to detect a repeated note
   * @param offset log offset at which the note was accepted
   * @param timeMillis fold time of acceptance
   */
  public record Revision(
      long number, String name, String operator, long digest, long offset, long timeMillis) {}

  /** The complete state of the catalog. */
  public record Snapshot(
      Revision current, Map<DefinitionKind, Map<String, SortedMap<String, String>>> values) {}

  /** Creates an empty catalog at revision 0. */
  public ReleaseCatalog(PoolOccupancy occupancy) {
    this.occupancy = occupancy;
  }

  @Override
  public void registerHandlers(ProposalRegistry registry) {
    registry.register(ReleaseProposed.class, this::apply);
  }

  private Either<Failure, String> apply(ReleaseProposed proposed, Position position) {
    long digest = LongHashFunction.xx().hashChars(proposed.text());
    if (digest == current.digest() && current.number() > 0) {
      return Either.left(Failure.of(ResultCode.ALREADY_APPLIED, "revision " + current.number()));
    }
    Either<List<NoteError>, ReleaseNote> parsed = parser.parse(proposed.text());
    if (parsed.isLeft()) {
      return Either.left(noteInvalid(parsed.getLeft()));
    }
    ReleaseNote note = parsed.get();
    long basedOn = note.basedOn() == null ? proposed.basedOn() : note.basedOn();
    if (basedOn != current.number()) {
      return Either.left(
          Failure.of(
              ResultCode.REVISION_CONFLICT,
              basedOn,
              current.number(),
              current.operator() + " (note " + current.name() + ")"));
    }
    return applyNote(note, proposed, digest, position);
  }

  private Either<Failure, String> applyNote(
      ReleaseNote note, ReleaseProposed proposed, long digest, Position position) {
    Either<List<NoteError>, Definitions> changed = definitions.apply(note, occupancy);
    if (changed.isLeft()) {
      return Either.left(noteInvalid(changed.getLeft()));
    }
    definitions = changed.get();
    current =
        new Revision(
            current.number() + 1,
            note.name(),
            proposed.operator(),
            digest,
            position.offset(),
            position.timeMillis());
    return Either.right("revision " + current.number());
  }

  private static Failure noteInvalid(List<NoteError> errors) {
    List<String> messages = new ArrayList<>();
    errors.forEach(error -> messages.add(error.toString()));
    return Failure.of(ResultCode.NOTE_INVALID, errors.size(), String.join("; ", messages));
  }

  /** Returns all errors that the text has against the current definitions; empty if it is valid. */
  public List<NoteError> validate(String text) {
    return parser
        .parse(text)
        .flatMap(note -> definitions.apply(note, occupancy))
        .fold(errors -> errors, ignored -> List.of());
  }

  /** Returns the revision in force. */
  public Revision current() {
    return current;
  }

  /** Returns the service with this name. */
  public Optional<ServiceDefinition> service(String name) {
    return Optional.ofNullable(definitions.services().get(name));
  }

  /** Returns the services by name. */
  public SortedMap<String, ServiceDefinition> services() {
    return definitions.services();
  }

  /** Returns the pool with this name. */
  public Optional<PoolDefinition> pool(String name) {
    return Optional.ofNullable(definitions.pools().get(name));
  }

  /** Returns the pools by name. */
  public SortedMap<String, PoolDefinition> pools() {
    return definitions.pools();
  }

  /** Returns the budgets by name. */
  public SortedMap<String, BudgetDefinition> budgets() {
    return definitions.budgets();
  }

  /** Returns the teams by name. */
  public SortedMap<String, TeamDefinition> teams() {
    return definitions.teams();
  }

  /** Returns the weights of the four measures. */
  public Weights weights() {
    return definitions.weights();
  }

  @Override
  public Snapshot snapshot() {
    return new Snapshot(current, definitions.values());
  }

  @Override
  public void restore(Snapshot snapshot) {
    current = snapshot.current();
    Map<DefinitionKind, Map<String, SortedMap<String, String>>> values =
        new EnumMap<>(DefinitionKind.class);
    snapshot.values().forEach((kind, byName) -> values.put(kind, new TreeMap<>(byName)));
    definitions = Definitions.of(values);
  }
}
