package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.scheduling.WaveProgress;
import org.persimmonloom.core.scheduling.WorkerFacts;
import org.persimmonloom.core.workflow.OccurrenceProgress;
import org.persimmonloom.core.workflow.WorkflowSpec;
import org.persimmonloom.runtime.EncodedFields;

/**
 * Guards against renaming or reordering fields and constants that are encoded under their own
 * names: an entry host could not read tables written by another version.
 */
final class TableRecordFieldsTest {
  @Test
  void encodedFieldsKeepTheirNames() {
    List<String> fields = new ArrayList<>();
    fields.addAll(EncodedFields.of("(workflow)", WorkflowSpec.class));
    fields.addAll(EncodedFields.of("(progress)", OccurrenceProgress.class));
    fields.addAll(EncodedFields.of("(ownership)", OwnershipRecord.class));
    fields.addAll(EncodedFields.of("(host)", HostRecord.class));
    fields.addAll(EncodedFields.of("(wave)", WaveProgress.class));
    fields.addAll(EncodedFields.of("(host orders)", HostOrdersRecord.class));
    fields.addAll(EncodedFields.of("(ownership append)", PeerClient.OwnershipAppend.class));
    fields.addAll(EncodedFields.of("(ownership answer)", PeerClient.OwnershipAnswer.class));
    fields.addAll(EncodedFields.of("(append)", PeerClient.Records.class));
    fields.addAll(EncodedFields.of("(state)", PeerClient.State.class));
    fields.addAll(EncodedFields.of("(configuration)", PeerClient.Configuration.class));
    fields.addAll(EncodedFields.of("(lease holder)", WorkerFacts.class));

    assertThat(fields).isEqualTo(EncodedFields.recorded("table-records.txt"));
  }
}
