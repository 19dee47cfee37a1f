package org.persimmonloom.tool.demo.step;

import java.io.IOException;
import java.util.Optional;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.tool.demo.DemoOperator;
import org.persimmonloom.tool.demo.DemoRun;
import org.persimmonloom.tool.demo.DemoStep;

/**
 * Applies a release note at the first entry host.
 *
 * @param note name of the note and of the service that it adds
 */
public record ApplyNote(String note) implements DemoStep {
  @Override
  public String description() {
    return "an operator applies release note " + note;
  }

  @Override
  public void run(DemoRun run) throws IOException {
    DemoOperator operator = new DemoOperator("anna", run.host(0));
    Optional<Failure> refusal = run.apply(operator, note, operator.revision());
    if (refusal.isPresent()) {
      throw new IOException("refused: " + refusal.get());
    }
  }
}
