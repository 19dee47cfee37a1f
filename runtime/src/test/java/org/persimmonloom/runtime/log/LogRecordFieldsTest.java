package org.persimmonloom.runtime.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.fold.Batch;
import org.persimmonloom.core.fold.FleetSnapshot;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.runtime.EncodedFields;

/**
 * Guards against a rename or reordering of a field or constant that is encoded under its own name:
 * an entry host could no longer read the log that another version wrote.
 */
final class LogRecordFieldsTest {
  @Test
  void encodedFieldsKeepTheirNames() {
    List<String> fields = new ArrayList<>();
    ProposalTypes.byName().forEach((name, type) -> fields.addAll(EncodedFields.of(name, type)));
    fields.addAll(EncodedFields.of("(batch)", Batch.class));
    fields.addAll(EncodedFields.of("(snapshot)", FleetSnapshot.class));
    fields.addAll(EncodedFields.of("(page)", LogPage.class));

    assertThat(fields).isEqualTo(EncodedFields.recorded("log-records.txt"));
  }
}
