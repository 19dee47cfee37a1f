package org.persimmonloom.runtime.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.persimmonloom.runtime.EncodedFields;

/**
 * Guards against a rename or reordering of a field or constant that is encoded under its own name:
 * entry hosts of two versions could no longer read each other's frames.
 */
final class PeerMessageFieldsTest {
  @Test
  void encodedFieldsKeepTheirNames() {
    List<String> fields = new ArrayList<>();
    fields.addAll(EncodedFields.of("h", PeerMessage.Hello.class));
    fields.addAll(EncodedFields.of("b", PeerMessage.Beat.class));
    fields.addAll(EncodedFields.of("q", PeerMessage.Question.class));
    fields.addAll(EncodedFields.of("a", PeerMessage.Answer.class));
    fields.addAll(EncodedFields.of("(fetch)", RecordExchange.FetchRecords.class));

    assertThat(fields).isEqualTo(EncodedFields.recorded("peer-messages.txt"));
  }
}
