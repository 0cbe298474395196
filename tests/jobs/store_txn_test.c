/* Transactions that store records of backend servers, applied late, twice or
 * not at all to a small store with conditions. */
#include "egretjobd/store_txn.h"

#include <string.h>

#include "../suite.h"
#include "egretjobd/records.h"
#include "fleet_fixture.h"

enum {
    TOKEN = 7,
    FIRST_START_MS = 1000,
    SECOND_START_MS = 2000,
    /* A pass over everything comes at least this often. */
    PASS_MS = 100,
    /* No lease is open any more. */
    LEASES_OVER_MS = 20000,
};

#define B1_KEY RECORD_BACKEND_PREFIX "b1"

/**
 * struct small_store - keys with their revisions, and the scheduler
 * @batch: the open batch, or NULL
 */
struct small_store {
    struct fleet_fixture fixture;
    GHashTable *revisions;
    int64_t revision;
    struct store_batch *batch;
};

static void
store_init(struct small_store *store)
{
    *store = (struct small_store){
        .revisions =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free),
        .revision = 100,
    };
    fixture_init(&store->fixture, 1);
    store->fixture.incarnation_start_ms = FIRST_START_MS;
    fixture_add_backend(&store->fixture, "b1", "p", NULL);
}

static void
store_clear(struct small_store *store)
{
    g_hash_table_unref(store->revisions);
    fixture_clear(&store->fixture);
}

static int64_t
revision_of(const struct small_store *store, const char *key)
{
    if (strcmp(key, RECORD_LEADER_KEY) == 0) {
        return TOKEN;
    }
    const int64_t *revision = g_hash_table_lookup(store->revisions, key);
    return revision == NULL ? 0 : *revision;
}

/* The transaction of the next batch, which stays open. */
static struct txn_builder
take(struct small_store *store)
{
    store->batch =
        scheduler_take_batch(store->fixture.sched, BATCH_CHANGES_MAX);
    CU_ASSERT_PTR_NOT_NULL_FATAL(store->batch);
    return store_txn_build(store->fixture.sched, store->batch, TOKEN,
                           KV_VALUE_BYTES_DEFAULT);
}

/* Carries out a transaction if its conditions hold; else returns the state of
 * what it was conditional on. */
static GPtrArray *
carry_out(struct small_store *store, const struct txn_builder *builder)
{
    struct kv_txn txn = txn_builder_txn(builder);
    CU_ASSERT(txn.n_conditions + txn.n_puts + txn.n_deletes <=
              KV_TXN_ENTRIES_MAX);
    GPtrArray *items = g_ptr_array_new_with_free_func(kv_item_destroy);
    bool met = true;
    for (size_t i = 0; i < txn.n_conditions; i++) {
        const char *key = txn.conditions[i].key;
        struct kv_item item = {.key = (char *)key,
                               .revision = revision_of(store, key)};
        met = met && item.revision == txn.conditions[i].revision;
        g_ptr_array_add(items, kv_item_copy(&item));
    }
    if (!met) {
        return items;
    }
    g_ptr_array_unref(items);
    store->revision++;
    for (size_t i = 0; i < txn.n_puts; i++) {
        g_hash_table_replace(
            store->revisions, g_strdup(txn.puts[i].key),
            g_memdup2(&store->revision, sizeof(store->revision)));
    }
    for (size_t i = 0; i < txn.n_deletes; i++) {
        g_hash_table_remove(store->revisions, txn.deletes[i]);
    }
    return NULL;
}

static void
answer(struct small_store *store, bool stored)
{
    scheduler_batch_stored(store->fixture.sched, store->batch, stored,
                           store->revision);
    store->batch = NULL;
}

/* Carries out the open batch and answers it. */
static bool
commit(struct small_store *store, struct txn_builder *builder)
{
    GPtrArray *items = carry_out(store, builder);
    bool stored = items == NULL;
    if (!stored) {
        CU_ASSERT(store_txn_conflict(store->fixture.sched, store->batch, items,
                                     TOKEN));
        g_ptr_array_unref(items);
    }
    answer(store, stored);
    txn_builder_clear(builder);
    return stored;
}

/* Lets the scheduler decide, then commits until nothing is left to store. */
static void
commit_all(struct small_store *store)
{
    store->fixture.now_ms += PASS_MS;
    scheduler_tick(store->fixture.sched);
    while ((store->batch = scheduler_take_batch(store->fixture.sched,
                                                BATCH_CHANGES_MAX)) != NULL) {
        struct txn_builder builder = store_txn_build(
            store->fixture.sched, store->batch, TOKEN, KV_VALUE_BYTES_DEFAULT);
        commit(store, &builder);
    }
}

static void
carry_out_late(struct small_store *store, struct txn_builder *builder)
{
    GPtrArray *items = carry_out(store, builder);
    g_clear_pointer(&items, g_ptr_array_unref);
    txn_builder_clear(builder);
}

static bool
is_registered(const struct small_store *store)
{
    return scheduler_find_backend(store->fixture.sched, "b1")->registered;
}

/* The backend server leaves the list, and nothing can run there any more. */
static void
leave(struct small_store *store)
{
    scheduler_backend_removed(store->fixture.sched, "b1");
    store->fixture.now_ms += LEASES_OVER_MS;
    struct run_report no_answer = {.outcome = REPORT_NO_ANSWER};
    fixture_answer(&store->fixture, "b1", no_answer);
    scheduler_tick(store->fixture.sched);
    CU_ASSERT_PTR_NULL(scheduler_find_backend(store->fixture.sched, "b1"));
}

/* The answer to a deletion is lost, and it is carried out after the backend
 * server was registered again. */
static void
test_late_deletion(void)
{
    struct small_store s;
    store_init(&s);
    commit_all(&s);
    leave(&s);
    struct txn_builder deletion = take(&s);
    answer(&s, false);
    fixture_add_backend(&s.fixture, "b1", "p", NULL);
    commit_all(&s);
    CU_ASSERT(is_registered(&s));
    carry_out_late(&s, &deletion);
    CU_ASSERT(revision_of(&s, B1_KEY) > 0);
    store_clear(&s);
}

/* The same, but the deletion is sent on a second connection too, which answers
 * first. */
static void
test_second_copy_of_deletion(void)
{
    struct small_store s;
    store_init(&s);
    commit_all(&s);
    leave(&s);
    struct txn_builder copy = take(&s);
    struct txn_builder deletion = store_txn_build(
        s.fixture.sched, s.batch, TOKEN, KV_VALUE_BYTES_DEFAULT);
    CU_ASSERT(commit(&s, &deletion));
    CU_ASSERT_EQUAL(revision_of(&s, B1_KEY), 0);
    fixture_add_backend(&s.fixture, "b1", "p", NULL);
    commit_all(&s);
    CU_ASSERT(is_registered(&s));
    carry_out_late(&s, &copy);
    CU_ASSERT(revision_of(&s, B1_KEY) > 0);
    store_clear(&s);
}

/* The deletion was carried out, its answer was lost, and the backend server is
 * registered again on the belief that its record is there. */
static void
test_lost_answer_to_deletion(void)
{
    struct small_store s;
    store_init(&s);
    commit_all(&s);
    leave(&s);
    struct txn_builder deletion = take(&s);
    carry_out_late(&s, &deletion);
    answer(&s, false);
    fixture_add_backend(&s.fixture, "b1", "p", NULL);
    commit_all(&s);
    CU_ASSERT_FALSE(is_registered(&s));
    commit_all(&s);
    CU_ASSERT(is_registered(&s));
    CU_ASSERT(revision_of(&s, B1_KEY) > 0);
    store_clear(&s);
}

/* A deletion that failed and the new registration must not go into one
 * transaction. */
static void
test_listed_again_is_not_deleted(void)
{
    struct small_store s;
    store_init(&s);
    commit_all(&s);
    leave(&s);
    fixture_add_backend(&s.fixture, "b1", "p", NULL);
    struct txn_builder builder = take(&s);
    CU_ASSERT_EQUAL(builder.puts->len, 1);
    CU_ASSERT_EQUAL(builder.deletes->len, 0);
    CU_ASSERT(commit(&s, &builder));
    CU_ASSERT(is_registered(&s));
    /* Once it has left for good, its record goes. */
    leave(&s);
    commit_all(&s);
    CU_ASSERT_EQUAL(revision_of(&s, B1_KEY), 0);
    store_clear(&s);
}

/* Whether a registration without an answer was stored is unknown, so its
 * record is deleted when the backend server has left. */
static void
test_record_without_answer_is_deleted(void)
{
    struct small_store s;
    store_init(&s);
    struct txn_builder registration = take(&s);
    carry_out_late(&s, &registration);
    scheduler_backend_removed(s.fixture.sched, "b1");
    answer(&s, false);
    leave(&s);
    commit_all(&s);
    CU_ASSERT_EQUAL(revision_of(&s, B1_KEY), 0);
    store_clear(&s);
}

static void
restart(struct small_store *store)
{
    store->fixture.incarnation_start_ms = SECOND_START_MS;
    fixture_add_backend(&store->fixture, "b1", "p", NULL);
}

/* The record of an earlier incarnation says nothing about a later one. */
static void
test_restarted_is_registered_again(void)
{
    struct small_store s;
    store_init(&s);
    commit_all(&s);
    restart(&s);
    CU_ASSERT_FALSE(is_registered(&s));
    commit_all(&s);
    CU_ASSERT(is_registered(&s));
    store_clear(&s);
}

/* It restarts while its registration is on its way. */
static void
test_registration_of_earlier_incarnation(void)
{
    struct small_store s;
    store_init(&s);
    struct txn_builder registration = take(&s);
    restart(&s);
    CU_ASSERT(commit(&s, &registration));
    CU_ASSERT_FALSE(is_registered(&s));
    commit_all(&s);
    CU_ASSERT(is_registered(&s));
    store_clear(&s);
}

/* A registration that is carried out late replaces no newer record. */
static void
test_late_registration(void)
{
    struct small_store s;
    store_init(&s);
    struct txn_builder registration = take(&s);
    answer(&s, false);
    restart(&s);
    commit_all(&s);
    CU_ASSERT(is_registered(&s));
    int64_t revision = revision_of(&s, B1_KEY);
    carry_out_late(&s, &registration);
    CU_ASSERT_EQUAL(revision_of(&s, B1_KEY), revision);
    store_clear(&s);
}

/* The previous leader died after a restart that it had not stored. A start
 * command that it sent before may reach the new incarnation. */
static void
test_restarted_before_takeover_stays_unreconciled(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    struct backend_entry before = {
        .id = (char *)"b1",
        .incarnation_start_ms = FIRST_START_MS,
        .pool = (char *)"p",
        .address = (char *)"127.0.0.1:1",
        .data_centre = (char *)"dc",
    };
    scheduler_backend_inherited(f.sched, &before, 3000);
    f.incarnation_start_ms = SECOND_START_MS;
    fixture_add_backend(&f, "b1", "p", NULL);
    const struct backend *backend = scheduler_find_backend(f.sched, "b1");
    CU_ASSERT(backend->unreconciled);
    struct run_report no_answer = {.outcome = REPORT_NO_ANSWER};
    fixture_answer(&f, "b1", no_answer);
    fixture_tick(&f, f.now_ms + 100);
    CU_ASSERT(backend->unreconciled);
    fixture_clear(&f);
}

/* Backend servers that name no host are not incarnations of one host: the
 * later record must not end the earlier one. */
static void
test_records_without_host(void)
{
    struct fleet_fixture f;
    fixture_init(&f, 1);
    static const char *const ids[] = {"b1", "b2"};
    for (size_t i = 0; i < G_N_ELEMENTS(ids); i++) {
        struct backend_entry entry = {
            .id = (char *)ids[i],
            .incarnation_start_ms = FIRST_START_MS,
            .pool = (char *)"p",
            .address = (char *)"127.0.0.1:1",
            .data_centre = (char *)"dc",
        };
        char *value = record_backend_encode(&entry);
        struct backend_entry read;
        CU_ASSERT(record_backend_decode(ids[i], value, strlen(value), &read));
        CU_ASSERT_PTR_NULL(read.host);
        scheduler_backend_inherited(f.sched, &read, 3000);
        backend_entry_clear(&read);
        g_free(value);
    }
    struct sched_stats stats;
    scheduler_stats(f.sched, &stats);
    CU_ASSERT_EQUAL(stats.backends_unreconciled, 2);
    fixture_clear(&f);
}

/* The store refuses larger transactions; carry_out() counts. */
static void
test_entries_of_a_full_batch(void)
{
    struct small_store s;
    store_init(&s);
    for (int i = 2; i < 20; i++) {
        char *id = g_strdup_printf("b%d", i);
        fixture_add_backend(&s.fixture, id, "p", NULL);
        g_free(id);
    }
    struct txn_builder full = take(&s);
    CU_ASSERT_EQUAL(full.puts->len, BATCH_CHANGES_MAX);
    CU_ASSERT(commit(&s, &full));
    commit_all(&s);
    store_clear(&s);
}

/* The status of a wave gets no answer and is stored again, by then with
 * another state. The first one is carried out late, and undid the second. */
static void
test_late_wave_status(void)
{
    struct small_store s;
    store_init(&s);
    struct txn_builder first =
        store_txn_wave_status("4", true, g_strdup("m0"), TOKEN, 0);
    struct txn_builder second =
        store_txn_wave_status("4", false, g_strdup("m0 m1"), TOKEN, 0);
    CU_ASSERT_PTR_NULL(carry_out(&s, &second));
    int64_t revision = revision_of(&s, RECORD_WAVE_PREFIX "4");
    CU_ASSERT_EQUAL(revision, revision_of(&s, "status/wave/4"));
    carry_out_late(&s, &first);
    CU_ASSERT_EQUAL(revision_of(&s, "status/wave/4"), revision);
    CU_ASSERT_EQUAL(revision_of(&s, RECORD_WAVE_PREFIX "4"), revision);
    struct txn_builder third =
        store_txn_wave_status("4", true, g_strdup("m0 m1"), TOKEN, revision);
    CU_ASSERT_PTR_NULL(carry_out(&s, &third));
    txn_builder_clear(&second);
    txn_builder_clear(&third);
    store_clear(&s);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"a late deletion spares a record that was stored again",
         test_late_deletion},
        {"a second copy of a deletion spares it too",
         test_second_copy_of_deletion},
        {"a lost answer to a deletion leaves no server without a record",
         test_lost_answer_to_deletion},
        {"a server that is listed again is not deleted",
         test_listed_again_is_not_deleted},
        {"a record whose write got no answer is deleted in the end",
         test_record_without_answer_is_deleted},
        {"a restarted server is registered again",
         test_restarted_is_registered_again},
        {"a registration counts for its own incarnation only",
         test_registration_of_earlier_incarnation},
        {"a late registration replaces no newer record",
         test_late_registration},
        {"a server that restarted before a takeover stays unreconciled",
         test_restarted_before_takeover_stays_unreconciled},
        {"a late status of a wave undoes no newer one", test_late_wave_status},
        {"records without a host end no incarnation",
         test_records_without_host},
        {"a full batch keeps to the entries that the store accepts",
         test_entries_of_a_full_batch},
    };
    return suite_main("jobs store transactions", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
