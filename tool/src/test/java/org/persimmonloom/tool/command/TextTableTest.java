package org.persimmonloom.tool.command;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.beust.jcommander.ParameterException;
import org.junit.jupiter.api.Test;

class TextTableTest {
  /** Guards against columns that do not line up. */
  @Test
  void columnsAreAsWideAsTheirWidestCell() {
    TextTable table = new TextTable("POOL", "HOSTS");
    table.add("scan-workers", 8);
    table.add("a", "");
    assertThat(table.toString()).isEqualTo("POOL          HOSTS\nscan-workers  8\na");
  }

  /** Guards against a window that is read in another unit than was meant. */
  @Test
  void durationsNeedAUnit() {
    DurationConverter converter = new DurationConverter();
    assertThat(converter.convert("500ms")).isEqualTo(500);
    assertThat(converter.convert("21d")).isEqualTo(1_814_400_000L);
    assertThatThrownBy(() -> converter.convert("15")).isInstanceOf(ParameterException.class);
  }
}
