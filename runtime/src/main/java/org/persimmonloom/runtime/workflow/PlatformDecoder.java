package org.persimmonloom.runtime.workflow;

import java.util.Optional;
import org.persimmonloom.core.scheduling.WaveOrder;
import org.persimmonloom.core.scheduling.WaveProgress;
import org.persimmonloom.core.scheduling.WorkerFacts;
import org.persimmonloom.core.workflow.TableRecord;

/**
 * Converts records in the platform's own format, which operators and workers write or read.
 * Unreadable records and those of another kind yield an empty result. Safe for any thread.
 */
public interface PlatformDecoder {
  /** Decodes a configuration. */
  Optional<FleetConfiguration> configuration(TableRecord record);

  /** Decodes a maintenance wave. */
  Optional<WaveOrder> wave(TableRecord record);

  /** Encodes the progress of a wave for operators. */
  TableRecord waveStatus(WaveProgress progress);

  /** Decodes the published description of a worker. */
  Optional<WorkerFacts> worker(TableRecord record);
}
