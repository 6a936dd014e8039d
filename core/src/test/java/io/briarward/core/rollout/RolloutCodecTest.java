package io.briarward.core.rollout;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.briarward.core.errors.ErrorKind;
import io.briarward.core.errors.FailureException;
import org.junit.jupiter.api.Test;

class RolloutCodecTest {
  private static final String GROUP =
      "{'id':'g1','prompt':'p','samples':2,"
          + "'sampling':{'maxTokens':8,'temperature':0.5,'seed':7}}";

  private static byte[] json(String extra, String group) {
    String text =
        "{'id':'r1','service':'s','policy':'p','step':3,'groups':[" + group + "]" + extra + "}";
    return text.replace('\'', '"').getBytes(UTF_8);
  }

  private static String rejectionDetail(byte[] json) {
    FailureException e = assertThrows(FailureException.class, () -> RolloutCodec.parseSpec(json));
    assertThat(e.failure().kind()).isEqualTo(ErrorKind.MALFORMED_REQUEST);
    return e.failure().detail();
  }

  @Test
  void parsesSpecThatItPrinted() {
    RolloutSpec spec = RolloutCodec.parseSpec(json(",'maxStalenessVersions':2", GROUP));

    assertThat(spec.maxStalenessVersions()).hasValue(2);
    assertThat(RolloutCodec.parseSpec(RolloutCodec.printSpec(spec))).isEqualTo(spec);
  }

  @Test
  void rejectsUnknownField() {
    assertThat(rejectionDetail(json(",'colour':1", GROUP))).contains("colour");
  }

  @Test
  void rejectsDuplicateGroupId() {
    assertThat(rejectionDetail(json("", GROUP + "," + GROUP))).contains("used twice");
  }

  @Test
  void rejectsMissingSampling() {
    assertThat(rejectionDetail(json("", "{'id':'g','prompt':'p','samples':1}")))
        .contains("sampling");
  }

  @Test
  void rejectsNullBody() {
    assertThat(rejectionDetail("null".getBytes(UTF_8))).contains("null");
  }
}
