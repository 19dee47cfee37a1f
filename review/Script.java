package review;

import java.nio.file.Path;
import java.util.Map;

/** Runs a case: {@code Script NAME FOLDER}; exits with 1 if the rule was broken, 0 if it held. */
public final class Script {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  /** A case; returns its exit code. */
  interface Case {
    int run(Recorder record, boolean hasTrouble) throws Exception;
  }

  private Script() {}

  public static void main(String[] arguments) {
    Map<String, Case> cases =
        Map.of(
            "lapsed-entries", new LapsedEntries(),
            "silent-worker", new SilentWorker(),
            "restarted-host", new RestartedHost(),
            "cancelled-series", new CancelledSeries(),
            "order-queue", new OrderQueue());
    boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    int result = NOT_RUN;
    try (Recorder record = new Recorder(Path.of(arguments[1], "record.txt"))) {
      record.line("case %s, trouble %s", arguments[0], hasTrouble ? "on" : "off");
      try {
        result = cases.get(arguments[0]).run(record, hasTrouble);
      } catch (Exception e) {
        record.line("could not run: %s", e);
      }
      record.line("result: %s", result == HELD ? "held" : result == BROKEN ? "BROKEN" : "not run");
    } catch (Exception e) {
      System.err.println(e);
    }
    System.exit(result);
  }
}
