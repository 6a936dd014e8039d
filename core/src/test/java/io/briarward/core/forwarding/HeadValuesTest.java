package io.briarward.core.forwarding;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against values that end a line of a head, or that arrive changed. */
class HeadValuesTest {
  @Test
  void lineBreaksAndControlCharactersAreNowhereAllowed() {
    for (String part : new String[] {"\r", "\n", "\r\n", "\0", "\177", "\1"}) {
      assertThat(HeadValues.isFieldName("X" + part + "Y")).isFalse();
      assertThat(HeadValues.isFieldValue("x" + part + "y")).isFalse();
      assertThat(HeadValues.isId("x" + part + "y")).isFalse();
      assertThat(HeadValues.isHost("x" + part + "y")).isFalse();
      assertThat(HeadValues.isTarget("/x" + part + "y")).isFalse();
    }
  }

  @Test
  void namesAreTokens() {
    assertThat(HeadValues.isFieldName("X-Kept_1~")).isTrue();
    for (String name : new String[] {"", "X Y", "X:", "X\t", "é", "(x)", "x/y"}) {
      assertThat(HeadValues.isFieldName(name)).isFalse();
    }
  }

  @Test
  void valuesAreCharactersOfOneByte() {
    assertThat(HeadValues.isFieldValue("")).isTrue();
    assertThat(HeadValues.isFieldValue("a b\tcé")).isTrue();
    assertThat(HeadValues.isFieldValue("あ")).isFalse();
  }

  @Test
  void idsArriveAsTheyAreSent() {
    assertThat(HeadValues.isId("a b")).isTrue();
    for (String id : new String[] {"", " a", "a ", "é", "a\tb"}) {
      assertThat(HeadValues.isId(id)).isFalse();
    }
  }

  @Test
  void targetsAreVisibleCharactersAfterSlash() {
    assertThat(HeadValues.isTarget("/b/1?x=%20")).isTrue();
    for (String target : new String[] {"", "b", "/b 1", "/é", "http://x/"}) {
      assertThat(HeadValues.isTarget(target)).isFalse();
    }
    assertThat(HeadValues.isHost("mill.example:80")).isTrue();
    assertThat(HeadValues.isHost("mill example")).isFalse();
  }
}
