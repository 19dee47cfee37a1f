package org.persimmonloom.tool.demo;

/**
 * One scripted step of a demo. Each runs on a thread of its own and may block; a step that throws
 * fails the verdict.
 */
public interface DemoStep {
  /** Returns what the step does, for the progress lines. */
  String description();

  /** Carries the step out. */
  void run(DemoRun run) throws Exception;
}
