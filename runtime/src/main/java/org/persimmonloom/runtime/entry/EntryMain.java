package org.persimmonloom.runtime.entry;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.InstantSource;
import java.util.List;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.runtime.settings.EntrySettings;
import org.persimmonloom.runtime.settings.EntrySettingsParser;

/** The entry daemon: {@code persimmonloom-entry --settings FILE [--check]}. */
public final class EntryMain {
  private EntryMain() {}

  /** Runs the daemon until it is told to stop. */
  public static void main(String[] arguments) throws IOException {
    List<String> words = List.of(arguments);
    int file = words.indexOf("--settings") + 1;
    if (file == 0 || file >= words.size()) {
      exit(Failure.of(ResultCode.USAGE, "persimmonloom-entry --settings FILE [--check]"));
      return;
    }
    Either<Failure, EntrySettings> settings =
        new EntrySettingsParser().parse(Files.readString(Path.of(words.get(file))));
    if (settings.isLeft()) {
      exit(settings.getLeft());
      return;
    }
    if (words.contains("--check")) {
      System.out.println("settings are valid");
      return;
    }
    run(settings.get());
  }

  private static void exit(Failure failure) {
    System.err.println(failure);
    System.exit(failure.code().number());
  }

  private static void run(EntrySettings settings) throws IOException {
    EntryHostService entryHost =
        DaggerEntryComponent.factory().create(settings, InstantSource.system()).entryHost();
    StopSignals.install(entryHost);
    entryHost.start();
  }
}
