package io.briarward.core.platform;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.node.IntNode;
import com.fasterxml.jackson.databind.node.TextNode;
import com.google.common.base.Strings;
import com.google.common.collect.ImmutableList;
import org.junit.jupiter.api.Test;

class TableStateTest {
  private static final RowKey KEY = RowKey.of("t", "a/1");

  private final TableState state = TableState.create();

  @Test
  void insertOfExistingRowConflicts() {
    Transaction insert =
        Transaction.builder().requireAbsent(KEY).put(KEY, IntNode.valueOf(1)).build();

    assertThat(state.commit(insert).committed()).isTrue();
    assertThat(state.commit(insert).committed()).isFalse();
  }

  @Test
  void versionIsNotReusedAfterDelete() {
    state.commit(Transaction.builder().put(KEY, IntNode.valueOf(1)).build());
    final long first = state.read(KEY).orElseThrow().version();
    state.commit(Transaction.builder().delete(KEY).build());
    state.commit(Transaction.builder().put(KEY, IntNode.valueOf(1)).build());

    assertThat(state.read(KEY).orElseThrow().version()).isGreaterThan(first);
  }

  @Test
  void scanStartsAfterGivenKeyAndStaysWithinPrefix() {
    for (String key : new String[] {"a/1", "a/2", "a/3", "b/1"}) {
      state.commit(Transaction.builder().put(RowKey.of("t", key), IntNode.valueOf(1)).build());
    }

    assertThat(state.scan("t", "a/", "a/1", 10).stream().map(Row::key))
        .containsExactly("a/2", "a/3")
        .inOrder();
  }

  private ImmutableList<String> keys(RowPage page) {
    return page.rows().stream().map(Row::key).collect(ImmutableList.toImmutableList());
  }

  @Test
  void pageIsTruncatedOnlyIfRowsFollow() {
    for (String key : new String[] {"a/1", "a/2", "a/3", "b/1"}) {
      state.commit(Transaction.builder().put(RowKey.of("t", key), IntNode.valueOf(1)).build());
    }

    RowPage first = state.scanPage("t", "a/", "a/", 2);
    assertThat(keys(first)).containsExactly("a/1", "a/2").inOrder();
    assertThat(first.nextAfter()).hasValue("a/2");
    assertThat(state.scanPage("t", "a/", "a/1", 2).nextAfter()).isEmpty();
  }

  @Test
  void pageOfLargeRowsHasFewerRowsThanAskedFor() {
    TextNode value = TextNode.valueOf(Strings.repeat("x", 300_000));
    for (String key : new String[] {"a/1", "a/2", "a/3"}) {
      state.commit(Transaction.builder().put(RowKey.of("t", key), value).build());
    }

    RowPage first = state.scanPage("t", "a/", "a/", 10);
    assertThat(keys(first)).containsExactly("a/1", "a/2").inOrder();
    assertThat(first.truncated()).isTrue();
  }
}
