package org.persimmonloom.core.host;

import java.util.List;
import java.util.Objects;
import org.persimmonloom.core.explain.Explainable;
import org.persimmonloom.core.explain.Subject;
import org.persimmonloom.core.fold.Proposal;

/** Asks to drain a host for a wave. Acceptance is the grant: one record decides both. */
public record DrainRequested(String host, String wave) implements Proposal, Explainable {
  public DrainRequested {
    Objects.requireNonNull(host, "host");
  }

  @Override
  public List<Subject> subjects() {
    return List.of(Subject.host(host), Subject.wave(wave));
  }
}
