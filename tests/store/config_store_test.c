/*
 * Changes of the configuration by racing operators while answers of the store
 * get lost. A change that became active must never be reported as failed, nor
 * the other way round, and pruning must not delete what the active
 * configuration or a change under way needs.
 */
#include <inttypes.h>
#include <string.h>

#include "../suite.h"
#include "common/json_read.h"
#include "store/config_store.h"
#include "store/store_keys.h"
#include "store_process.h"

enum {
    TIMEOUT_MS = 1000,
    WATCH_WAIT_MS = 1000,
    OPERATORS = 4,
    ROUNDS = 10,
};

static struct store_process process;
static unsigned next_limit;

static struct store *
open_store(void)
{
    return store_create(&(struct store_options){
        .url = process.url,
        .timeout_ms = TIMEOUT_MS,
        .watch_wait_ms = WATCH_WAIT_MS,
        .clock = ms_clock_system(),
    });
}

static void
close_store(struct store *store)
{
    store_destroy(store);
    while (g_main_context_iteration(NULL, FALSE)) {
    }
}

static struct config *
make_config(unsigned limit)
{
    char *text = g_strdup_printf(
        "{\"service_unit\": \"task\", \"pools\": [], \"queues\": [],"
        "\"data_centres\": [{\"name\": \"a\", \"region\": \"r\"}],"
        "\"teams\": [{\"name\": \"t\", \"share_permille\": 1,"
        "\"max_running\": %u}]}",
        limit);
    struct findings *findings = findings_create();
    JsonNode *root = json_read_text(text, -1, "test", findings);
    struct config *config = config_parse(root, "test", findings);
    json_node_unref(root);
    findings_destroy(findings);
    g_free(text);
    return config;
}

/* One change by an operator: reads the active configuration, then publishes a
 * new one. */
struct change {
    struct store *store;
    bool done;
    struct status status;
    uint64_t generation;
    uint64_t head_version;
    char id[CONFIG_ID_BYTES + 1];
};

static void
on_published(void *ctx, const struct config_publish_result *result)
{
    struct change *change = ctx;
    change->done = true;
    change->status = result->status;
    change->generation = result->generation;
    change->head_version = result->head_version;
    g_strlcpy(change->id, result->id, sizeof(change->id));
}

static void
on_base(void *ctx, struct config_snapshot *snapshot)
{
    struct change *change = ctx;
    struct config *config = make_config(++next_limit);
    const struct config_publish_request request = {
        .config = config,
        .base = snapshot->head,
        .base_version = snapshot->head_version,
        .author = "test",
        .summary = "",
    };
    config_publish(change->store, &request,
                   (struct config_publish_callback){
                       .done = on_published,
                       .ctx = change,
                   });
    config_destroy(config);
}

static void
start_change(struct change *change, struct store *store)
{
    *change = (struct change){.store = store};
    config_fetch(store, NULL,
                 (struct config_fetch_callback){
                     .done = on_base,
                     .ctx = change,
                 });
}

static void
finish_change(const struct change *change)
{
    while (!change->done) {
        g_main_context_iteration(NULL, TRUE);
    }
}

/* Ids of all generations in the history, and the highest generation. */
struct history_ids {
    bool done;
    GHashTable *ids;
    uint64_t generation;
};

static void
on_history_read(void *ctx, const struct config_history *history)
{
    struct history_ids *history_ids = ctx;
    CU_ASSERT_EQUAL(history->status.code, STATUS_OK);
    for (guint i = 0; i < history->heads->len; i++) {
        const struct config_head *head = g_ptr_array_index(history->heads, i);
        history_ids->generation =
            MAX(history_ids->generation, head->generation);
        g_hash_table_add(history_ids->ids, g_strdup(head->id));
    }
    history_ids->done = true;
}

static struct history_ids
read_history_ids(struct store *store)
{
    struct history_ids history_ids = {
        .ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
    };
    config_history_read(store, (struct config_history_callback){
                                   .done = on_history_read,
                                   .ctx = &history_ids,
                               });
    while (!history_ids.done) {
        g_main_context_iteration(NULL, TRUE);
    }
    return history_ids;
}

/* The outcome reported to each operator agrees with the history of
 * generations. */
static void
test_outcomes_match_history(void)
{
    struct store *stores[OPERATORS];
    struct change changes[ROUNDS][OPERATORS];
    unsigned n_unknown = 0;
    store_process_start(&process);
    store_process_faults(&process, "{\"lose_answers_percent\": 30,"
                                   " \"delay_ms\": 3, \"seed\": 5}");
    for (unsigned i = 0; i < OPERATORS; i++) {
        stores[i] = open_store();
    }
    for (unsigned round = 0; round < ROUNDS; round++) {
        for (unsigned i = 0; i < OPERATORS; i++) {
            start_change(&changes[round][i], stores[i]);
        }
        for (unsigned i = 0; i < OPERATORS; i++) {
            finish_change(&changes[round][i]);
        }
    }
    store_process_faults(&process, "{\"lose_answers_percent\": 0}");
    struct history_ids history_ids = read_history_ids(stores[0]);
    for (unsigned i = 0; i < ROUNDS * OPERATORS; i++) {
        const struct change *change = &changes[i / OPERATORS][i % OPERATORS];
        bool in_history = g_hash_table_contains(history_ids.ids, change->id);
        n_unknown += change->status.code == STATUS_UNKNOWN;
        if (change->status.code != STATUS_UNKNOWN) {
            CU_ASSERT_EQUAL(change->status.code == STATUS_OK, in_history);
        }
    }
    CU_ASSERT_EQUAL(history_ids.generation,
                    g_hash_table_size(history_ids.ids));
    CU_ASSERT(history_ids.generation >= ROUNDS / 2);
    CU_ASSERT(n_unknown < ROUNDS);
    g_hash_table_unref(history_ids.ids);
    for (unsigned i = 0; i < OPERATORS; i++) {
        close_store(stores[i]);
    }
    store_process_stop(&process);
}

static void
wait_for_stat(const char *member, int64_t wanted)
{
    while (store_process_stat(&process, member) < wanted) {
        g_main_context_iteration(NULL, FALSE);
    }
}

/* The answer to the write of a head is lost, and another change replaces the
 * head before it is read back. The first change was active nevertheless. */
static void
test_replaced_after_lost_answer(void)
{
    enum {
        WRITES_OF_CHANGE = 3,
    };
    struct change first;
    struct change second;
    store_process_start(&process);
    struct store *store = open_store();
    struct store *other = open_store();
    start_change(&first, store);
    finish_change(&first);
    int64_t puts = store_process_stat(&process, "puts");
    store_process_faults(&process, "{\"lose_answers_percent\": 100,"
                                   " \"delay_ms\": 300}");
    start_change(&first, store);
    wait_for_stat("puts", puts + WRITES_OF_CHANGE);
    wait_for_stat("gets", store_process_stat(&process, "gets") + 1);
    store_process_faults(&process, "{\"lose_answers_percent\": 0,"
                                   " \"delay_ms\": 0}");
    start_change(&second, other);
    finish_change(&second);
    finish_change(&first);
    CU_ASSERT_EQUAL(first.status.code, STATUS_OK);
    CU_ASSERT_EQUAL(second.status.code, STATUS_OK);
    CU_ASSERT_EQUAL(second.generation, first.generation + 1);
    close_store(store);
    close_store(other);
    store_process_stop(&process);
}

static void
set_true(void *flag)
{
    *(bool *)flag = true;
}

static void
prune(struct store *store, const struct change *change)
{
    bool done = false;
    config_prune(store, change->generation, change->head_version, set_true,
                 &done);
    while (!done) {
        g_main_context_iteration(NULL, TRUE);
    }
}

/* Number of keys under a prefix, and whether the part written by
 * write_late_part() is among them. */
struct key_list {
    bool done;
    size_t n_entries;
    bool has_late;
};

static void
on_listed(void *ctx, const struct store_result *result)
{
    struct key_list *key_list = ctx;
    key_list->done = true;
    key_list->n_entries = result->n_entries;
    for (size_t i = 0; i < result->n_entries; i++) {
        key_list->has_late |= g_str_has_suffix(result->entries[i].key, "late");
    }
}

static struct key_list
list_keys(struct store *store, const char *prefix)
{
    struct key_list key_list = {.done = false};
    store_get(store, prefix,
              (struct store_callback){.done = on_listed, .ctx = &key_list});
    while (!key_list.done) {
        g_main_context_iteration(NULL, TRUE);
    }
    return key_list;
}

static void
on_written(void *ctx, const struct store_result *result)
{
    CU_ASSERT_EQUAL(result->status.code, STATUS_OK);
    set_true(ctx);
}

static void
write_late_part(struct store *store)
{
    bool done = false;
    store_cas(store, STORE_KEY_CONFIG_PARTS "teams.00/late", "{}", 2,
              STORE_VERSION_ABSENT,
              (struct store_callback){.done = on_written, .ctx = &done});
    while (!done) {
        g_main_context_iteration(NULL, TRUE);
    }
}

static void
test_prune(void)
{
    struct change change;
    store_process_start(&process);
    struct store *store = open_store();
    const unsigned n_changes = CONFIG_HISTORY_LENGTH + 10;
    for (unsigned i = 0; i < n_changes; i++) {
        start_change(&change, store);
        finish_change(&change);
        CU_ASSERT_EQUAL(change.status.code, STATUS_OK);
    }
    /* Every change writes one new part; two parts never change. */
    CU_ASSERT_EQUAL(list_keys(store, STORE_KEY_CONFIG_PARTS).n_entries,
                    n_changes + 2);
    write_late_part(store);
    prune(store, &change);
    struct key_list parts = list_keys(store, STORE_KEY_CONFIG_PARTS);
    CU_ASSERT_EQUAL(parts.n_entries, CONFIG_HISTORY_LENGTH + 2 + 1);
    CU_ASSERT(parts.has_late);
    CU_ASSERT_EQUAL(list_keys(store, STORE_KEY_CONFIG_HISTORY).n_entries,
                    CONFIG_HISTORY_LENGTH);
    start_change(&change, store);
    finish_change(&change);
    CU_ASSERT_EQUAL(change.generation, n_changes + 1);
    prune(store, &change);
    CU_ASSERT_FALSE(list_keys(store, STORE_KEY_CONFIG_PARTS).has_late);
    close_store(store);
    store_process_stop(&process);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"outcomes match history", test_outcomes_match_history},
        {"replaced after a lost answer", test_replaced_after_lost_answer},
        {"prune", test_prune},
    };
    return suite_main("config store", tests, G_N_ELEMENTS(tests));
}
