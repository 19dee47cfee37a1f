package org.persimmonloom.core.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.claim.ClaimRequested;
import org.persimmonloom.core.fold.Batch;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.member.EntryHostLeft;
import org.persimmonloom.core.result.ResultCode;

class CodecTest {
  private static final Batch BATCH =
      new Batch(
          "entry-1",
          7,
          1,
          1,
          1_000,
          List.of(
              new EntryHostLeft(), new ClaimRequested("pickup", "1000-abcdefgh", -5, "7-1", null)));

  /** Guards against records that decode to a value other than the encoded one. */
  @Test
  void decodedBatchEqualsEncodedBatch() {
    byte[] bytes = ProposalTypes.CODEC.encode(BATCH);
    assertThat(ProposalTypes.CODEC.decode(bytes, Batch.class).get()).isEqualTo(BATCH);
  }

  /** Guards against exceptions or huge allocations on malformed records. */
  @Property(seed = "1", tries = 2_000)
  void malformedBytesFailWithDecodeFailed(@ForAll byte[] bytes) {
    var decoded = ProposalTypes.CODEC.decode(bytes, Batch.class);
    assertThat(decoded.swap().map(failure -> failure.code()).getOrElse(ResultCode.DECODE_FAILED))
        .isEqualTo(ResultCode.DECODE_FAILED);
  }
}
