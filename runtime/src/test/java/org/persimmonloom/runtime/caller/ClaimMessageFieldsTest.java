package org.persimmonloom.runtime.caller;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.claim.ClaimStatus;
import org.persimmonloom.runtime.EncodedFields;

/**
 * Guards against a rename or reordering of a field or constant that is encoded under its own name:
 * entry hosts of different versions could no longer query each other for the outcome of a claim.
 */
final class ClaimMessageFieldsTest {
  @Test
  void encodedFieldsKeepTheirNames() {
    List<String> fields = new ArrayList<>();
    fields.addAll(EncodedFields.of("(claim)", ClaimQuestion.class));
    fields.addAll(EncodedFields.of("(key)", KeyQuestion.class));
    fields.addAll(EncodedFields.of("(status)", ClaimStatus.class));

    assertThat(fields).isEqualTo(EncodedFields.recorded("claim-messages.txt"));
  }
}
