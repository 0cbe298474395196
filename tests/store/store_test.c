/*
 * The client of the key-value store: a compare-and-swap write is reported as
 * done, refused or unknown as it happened, even if its answer is lost, and a
 * watch whose call hangs recovers.
 */
#include <inttypes.h>
#include <string.h>

#include "../suite.h"
#include "common/random.h"
#include "store/store.h"
#include "store_process.h"

enum {
    TIMEOUT_MS = 500,
    WATCH_WAIT_MS = 300,
    WRITERS = 8,
    ROUNDS = 25,
};

static struct store_process process;

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

/* The last result of a call or watch, and the number of results. */
struct outcome {
    unsigned calls;
    struct status status;
    char value[64];
    uint64_t version;
};

static void
capture_result(void *ctx, const struct store_result *result)
{
    struct outcome *outcome = ctx;
    outcome->calls++;
    outcome->status = result->status;
    outcome->value[0] = '\0';
    outcome->version = 0;
    if (result->n_entries > 0) {
        g_strlcpy(outcome->value, result->entries[0].value,
                  sizeof(outcome->value));
        outcome->version = result->entries[0].version;
    }
}

static struct store_callback
capture_in(struct outcome *outcome)
{
    *outcome = (struct outcome){.calls = 0};
    return (struct store_callback){.done = capture_result, .ctx = outcome};
}

static void
wait_calls(const struct outcome *outcome, unsigned calls)
{
    while (outcome->calls < calls) {
        g_main_context_iteration(NULL, TRUE);
    }
}

static struct outcome
cas(struct store *store, const char *key, const char *value, uint64_t version)
{
    struct outcome outcome;
    store_cas(store, key, value, strlen(value), version, capture_in(&outcome));
    wait_calls(&outcome, 1);
    return outcome;
}

static struct outcome
get(struct store *store, const char *key)
{
    struct outcome outcome;
    store_get(store, key, capture_in(&outcome));
    wait_calls(&outcome, 1);
    return outcome;
}

static void
test_cas(void)
{
    store_process_start(&process);
    struct store *store = open_store();
    CU_ASSERT_EQUAL(get(store, "t/a").status.code, STATUS_NOT_FOUND);
    struct outcome first = cas(store, "t/a", "1", STORE_VERSION_ABSENT);
    CU_ASSERT_EQUAL(first.status.code, STATUS_OK);
    struct outcome refused = cas(store, "t/a", "2", STORE_VERSION_ABSENT);
    CU_ASSERT_EQUAL(refused.status.code, STATUS_CONFLICT);
    CU_ASSERT_STRING_EQUAL(refused.value, "1");
    CU_ASSERT_EQUAL(refused.version, first.version);
    struct outcome second = cas(store, "t/a", "2", first.version);
    CU_ASSERT(second.version > first.version);
    struct outcome deleted;
    store_delete(store, "t/a", first.version, capture_in(&deleted));
    wait_calls(&deleted, 1);
    CU_ASSERT_EQUAL(deleted.status.code, STATUS_CONFLICT);
    store_delete(store, "t/a", second.version, capture_in(&deleted));
    wait_calls(&deleted, 1);
    CU_ASSERT_EQUAL(deleted.status.code, STATUS_OK);
    CU_ASSERT_EQUAL(get(store, "t/").status.code, STATUS_OK);
    close_store(store);
    store_process_stop(&process);
}

/* With half of the answers lost, every write is done once and reported as
 * done. */
static void
test_lost_answers(void)
{
    store_process_start(&process);
    struct store *store = open_store();
    uint64_t version = STORE_VERSION_ABSENT;
    store_process_faults(&process,
                         "{\"lose_answers_percent\": 50, \"seed\": 7}");
    for (unsigned i = 0; i < ROUNDS; i++) {
        char value[16];
        g_snprintf(value, sizeof(value), "%u", i);
        struct outcome outcome = cas(store, "t/count", value, version);
        CU_ASSERT_EQUAL(outcome.status.code, STATUS_OK);
        CU_ASSERT_STRING_EQUAL(outcome.value, value);
        CU_ASSERT(outcome.version > version);
        version = outcome.version;
    }
    CU_ASSERT_EQUAL(store_process_stat(&process, "puts"), ROUNDS);
    close_store(store);
    store_process_stop(&process);
}

static void
test_outage(void)
{
    store_process_start(&process);
    struct store *store = open_store();
    store_process_faults(&process, "{\"down\": true}");
    CU_ASSERT_EQUAL(cas(store, "t/a", "1", 0).status.code, STATUS_UNAVAILABLE);
    CU_ASSERT_EQUAL(get(store, "t/a").status.code, STATUS_UNAVAILABLE);
    store_process_faults(&process, "{\"down\": false, \"drop\": true}");
    CU_ASSERT_EQUAL(cas(store, "t/a", "1", 0).status.code, STATUS_UNKNOWN);
    CU_ASSERT_EQUAL(get(store, "t/a").status.code, STATUS_UNAVAILABLE);
    store_process_faults(&process, "{\"drop\": false}");
    CU_ASSERT_EQUAL(get(store, "t/a").status.code, STATUS_NOT_FOUND);
    g_subprocess_force_exit(process.child);
    g_subprocess_wait(process.child, NULL, NULL);
    CU_ASSERT_EQUAL(cas(store, "t/a", "1", 0).status.code, STATUS_UNAVAILABLE);
    close_store(store);
    store_process_stop(&process);
}

static void
test_watch_hangs(void)
{
    store_process_start(&process);
    struct store *store = open_store();
    struct outcome seen;
    struct store_watch *watch =
        store_watch_create(store, "t/a", capture_in(&seen));
    wait_calls(&seen, 1);
    CU_ASSERT_EQUAL(seen.status.code, STATUS_NOT_FOUND);
    struct outcome written = cas(store, "t/a", "1", 0);
    wait_calls(&seen, 2);
    CU_ASSERT_STRING_EQUAL(seen.value, "1");
    /* The pending watch call is never answered; new calls work. */
    store_process_faults(&process, "{\"silence_watches\": true}");
    store_process_faults(&process, "{\"silence_watches\": false}");
    cas(store, "t/a", "2", written.version);
    while (!g_str_equal(seen.value, "2")) {
        g_main_context_iteration(NULL, TRUE);
    }
    store_watch_destroy(watch);
    close_store(store);
    store_process_stop(&process);
}

/*
 * A write takes effect, its answer is lost, and another writer replaces the
 * value before it is read back. Reporting a conflict would wrongly say that
 * the write did not take effect.
 */
static enum status_code
overwrite_before_read_back(struct store *store, struct store *other)
{
    struct outcome mine;
    struct outcome present = get(store, "t/b");
    int64_t gets = store_process_stat(&process, "gets");
    store_process_faults(&process, "{\"lose_answers_percent\": 100,"
                                   " \"delay_ms\": 200}");
    store_cas(store, "t/b", "mine", 4, present.version, capture_in(&mine));
    while (store_process_stat(&process, "gets") == gets && mine.calls == 0) {
        g_main_context_iteration(NULL, FALSE);
    }
    store_process_faults(&process, "{\"lose_answers_percent\": 0,"
                                   " \"delay_ms\": 0}");
    present = get(other, "t/b");
    cas(other, "t/b", "other", present.version);
    wait_calls(&mine, 1);
    return mine.status.code;
}

static void
test_lost_then_overwritten(void)
{
    store_process_start(&process);
    struct store *store = open_store();
    struct store *other = open_store();
    enum status_code code = STATUS_OK;
    /* On a busy machine the value may be read back before the other write;
     * then try again. */
    for (unsigned i = 0; i < ROUNDS && code == STATUS_OK; i++) {
        code = overwrite_before_read_back(store, other);
    }
    CU_ASSERT_EQUAL(code, STATUS_UNKNOWN);
    close_store(store);
    close_store(other);
    store_process_stop(&process);
}

/* Of several writers that expect the same version exactly one succeeds. */
static void
test_racing_writers(void)
{
    store_process_start(&process);
    struct store *stores[WRITERS];
    struct outcome outcomes[WRITERS];
    uint64_t version = STORE_VERSION_ABSENT;
    store_process_faults(&process,
                         "{\"lose_answers_percent\": 20, \"seed\": 3}");
    for (unsigned i = 0; i < WRITERS; i++) {
        stores[i] = open_store();
    }
    for (unsigned round = 0; round < ROUNDS; round++) {
        unsigned n_written = 0;
        unsigned n_unknown = 0;
        for (unsigned i = 0; i < WRITERS; i++) {
            char value[32];
            g_snprintf(value, sizeof(value), "%u of %u", i, round);
            store_cas(stores[i], "t/race", value, strlen(value), version,
                      capture_in(&outcomes[i]));
        }
        for (unsigned i = 0; i < WRITERS; i++) {
            wait_calls(&outcomes[i], 1);
            n_written += outcomes[i].status.code == STATUS_OK;
            n_unknown += outcomes[i].status.code == STATUS_UNKNOWN;
        }
        struct outcome current = get(stores[0], "t/race");
        for (unsigned i = 0; i < WRITERS; i++) {
            if (outcomes[i].status.code == STATUS_OK) {
                CU_ASSERT_STRING_EQUAL(outcomes[i].value, current.value);
            }
        }
        CU_ASSERT_EQUAL(n_written, 1);
        CU_ASSERT(n_written + n_unknown < WRITERS);
        version = current.version;
    }
    for (unsigned i = 0; i < WRITERS; i++) {
        close_store(stores[i]);
    }
    store_process_stop(&process);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"compare and swap", test_cas},
        {"lost answers", test_lost_answers},
        {"answer lost, then overwritten", test_lost_then_overwritten},
        {"outage", test_outage},
        {"watch hangs", test_watch_hangs},
        {"racing writers", test_racing_writers},
    };
    return suite_main("store", tests, G_N_ELEMENTS(tests));
}
