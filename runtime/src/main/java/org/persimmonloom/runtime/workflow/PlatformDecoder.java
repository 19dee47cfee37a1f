package org.persimmonloom.runtime.workflow;

import java.util.Optional;
import org.persimmonloom.core.scheduling.WaveOrder;
import org.persimmonloom.core.scheduling.WaveProgress;
import org.persimmonloom.core.scheduling.WorkerFacts;
import org.persimmonloom.core.workflow.TableRecord;

/**
 * Reads records that operators and workers write in the platform's own form. Unreadable or foreign
 * records are empty. Safe for any thread.
 */
public interface PlatformDecoder {
  /** Reads a configuration. */
  Optional<FleetConfiguration> configuration(TableRecord record);

  /** Reads a maintenance wave. */
  Optional<WaveOrder> wave(TableRecord record);

  /** Forms the record that tells operators how far a wave is. */
  TableRecord waveStatus(WaveProgress progress);

  /** Reads what a worker publishes of itself. */
  Optional<WorkerFacts> worker(TableRecord record);
}
