/*
 * The configuration that a gateway follows: it gets new generations although
 * its watch of the store hangs or the store is out of reach, and never goes
 * back to an older one or takes an invalid one, as a damaged or reset store or
 * a peer could offer.
 */
#include <string.h>

#include "../suite.h"
#include "common/json_read.h"
#include "egretd/config_feed.h"
#include "store/config_store.h"
#include "store/store_keys.h"
#include "store_process.h"

enum {
    TIMEOUT_MS = 500,
    POLL_MS = 100,
    /* Longer than the test runs, so that a watch alone never notices that its
     * call hangs. */
    WATCH_WAIT_MS = 600000,
};

static struct store_process process;
static struct store *store;
static struct counters *counters;

static void
set_up(void)
{
    store_process_start(&process);
    counters = counters_create();
    store = store_create(&(struct store_options){
        .url = process.url,
        .timeout_ms = TIMEOUT_MS,
        .watch_wait_ms = WATCH_WAIT_MS,
        .clock = ms_clock_system(),
    });
}

static void
tear_down(void)
{
    store_destroy(store);
    while (g_main_context_iteration(NULL, FALSE)) {
    }
    counters_destroy(counters);
    store_process_stop(&process);
}

/* The generations that became active, in order. */
struct observed {
    uint64_t generation;
    unsigned changes;
    bool decreased;
};

static void
on_changed(void *ctx, const struct config *config)
{
    struct observed *observed = ctx;
    observed->decreased |= config->generation <= observed->generation;
    observed->generation = config->generation;
    observed->changes++;
}

static struct config_feed *
open_feed(struct observed *observed)
{
    *observed = (struct observed){.generation = 0};
    return config_feed_create(&(struct config_feed_options){
        .store = store,
        .counters = counters,
        .clock = ms_clock_system(),
        .poll_ms = POLL_MS,
        .listener = {.changed = on_changed, .ctx = observed},
    });
}

static void
wait_for_generation(const struct observed *observed, uint64_t generation)
{
    while (observed->generation < generation) {
        g_main_context_iteration(NULL, TRUE);
    }
    CU_ASSERT_EQUAL(observed->generation, generation);
    CU_ASSERT_FALSE(observed->decreased);
}

static void
wait_for_rejected(const char *labels, int64_t wanted)
{
    const int64_t *count =
        counters_slot(counters, "egret_config_rejected_total", labels);
    while (*count < wanted) {
        g_main_context_iteration(NULL, TRUE);
    }
}

static struct config *
make_config(unsigned limit)
{
    char *text = g_strdup_printf(
        "{\"service_unit\": \"task\", \"pools\": [], \"queues\": [],"
        "\"data_centres\": [{\"name\": \"a\", \"region\": \"r\"}],"
        "\"teams\": [{\"name\": \"t\", \"share_permille\": 1,"
        "\"max_running\": %u}, {\"name\": \"u\", \"share_permille\": 1,"
        "\"max_running\": 1}]}",
        limit);
    struct findings *findings = findings_create();
    JsonNode *root = json_read_text(text, -1, "test", findings);
    struct config *config = config_parse(root, "test", findings);
    CU_ASSERT_PTR_NOT_NULL_FATAL(config);
    json_node_unref(root);
    findings_destroy(findings);
    g_free(text);
    return config;
}

struct publication {
    bool done;
    unsigned limit;
    struct status status;
};

static void
on_published(void *ctx, const struct config_publish_result *result)
{
    struct publication *publication = ctx;
    publication->done = true;
    publication->status = result->status;
}

static void
on_base(void *ctx, struct config_snapshot *snapshot)
{
    struct publication *publication = ctx;
    struct config *config = make_config(publication->limit);
    const struct config_publish_request request = {
        .config = config,
        .base = snapshot->head,
        .base_version = snapshot->head_version,
        .author = "test",
        .summary = "",
    };
    config_publish(store, &request,
                   (struct config_publish_callback){
                       .done = on_published,
                       .ctx = publication,
                   });
    config_destroy(config);
}

static void
publish(unsigned limit)
{
    struct publication publication = {.limit = limit};
    config_fetch(store, NULL,
                 (struct config_fetch_callback){
                     .done = on_base,
                     .ctx = &publication,
                 });
    while (!publication.done) {
        g_main_context_iteration(NULL, TRUE);
    }
    CU_ASSERT_EQUAL(publication.status.code, STATUS_OK);
}

/* Writes a head directly, as a damaged or reset store could hold it. */
struct head_write {
    const char *text;
    bool done;
};

static void
on_head_written(void *ctx, const struct store_result *result)
{
    struct head_write *head_write = ctx;
    CU_ASSERT_EQUAL(result->status.code, STATUS_OK);
    head_write->done = true;
}

static void
on_head_read(void *ctx, const struct store_result *result)
{
    struct head_write *head_write = ctx;
    store_cas(
        store, STORE_KEY_CONFIG_HEAD, head_write->text,
        strlen(head_write->text), result->entries[0].version,
        (struct store_callback){.done = on_head_written, .ctx = head_write});
}

static void
write_head(const char *text)
{
    struct head_write head_write = {.text = text};
    store_get(
        store, STORE_KEY_CONFIG_HEAD,
        (struct store_callback){.done = on_head_read, .ctx = &head_write});
    while (!head_write.done) {
        g_main_context_iteration(NULL, TRUE);
    }
}

static void
test_follows_store(void)
{
    struct observed observed;
    set_up();
    struct config_feed *feed = open_feed(&observed);
    CU_ASSERT_PTR_NULL(config_feed_current(feed));
    for (unsigned i = 1; i <= 5; i++) {
        publish(i);
        wait_for_generation(&observed, i);
        const struct config *config = config_feed_current(feed);
        CU_ASSERT_EQUAL(config_find_team(config, "t")->max_running, i);
    }
    CU_ASSERT_EQUAL(observed.changes, 5);
    config_feed_destroy(feed);
    tear_down();
}

static void
test_watch_hangs(void)
{
    struct observed observed;
    set_up();
    publish(1);
    struct config_feed *feed = open_feed(&observed);
    wait_for_generation(&observed, 1);
    while (store_process_stat(&process, "watches") == 0) {
        g_main_context_iteration(NULL, TRUE);
    }
    store_process_faults(&process, "{\"silence_watches\": true}");
    publish(2);
    wait_for_generation(&observed, 2);
    config_feed_destroy(feed);
    tear_down();
}

static void
test_generation_never_decreases(void)
{
    struct observed observed;
    set_up();
    publish(1);
    publish(2);
    struct config_feed *feed = open_feed(&observed);
    wait_for_generation(&observed, 2);
    write_head("{\"generation\": 1, \"id\": \"other\", \"parts\": {}}");
    wait_for_rejected("reason=\"older\"", 1);
    write_head("{\"generation\": 2, \"id\": \"other\", \"parts\": {}}");
    wait_for_rejected("reason=\"same-number\"", 1);
    write_head("{\"generation\": 3");
    wait_for_rejected("reason=\"malformed\"", 1);
    write_head("{\"generation\": 3, \"id\": \"x\", \"parts\":"
               " {\"base\": \"base/0123456789abcdef\"}}");
    wait_for_rejected("reason=\"malformed\"", 3);
    CU_ASSERT_EQUAL(config_feed_generation(feed), 2);
    CU_ASSERT_EQUAL(observed.changes, 1);
    config_feed_destroy(feed);
    tear_down();
}

static void
test_config_from_peer(void)
{
    struct observed observed;
    struct observed peer_observed;
    struct message message;
    struct message old;
    set_up();
    publish(1);
    struct config_feed *feed = open_feed(&observed);
    CU_ASSERT_FALSE(config_feed_make_message(feed, 0, &message));
    wait_for_generation(&observed, 1);
    CU_ASSERT(config_feed_make_message(feed, 0, &old));
    publish(2);
    wait_for_generation(&observed, 2);
    CU_ASSERT(config_feed_make_message(feed, 0, &message));
    /* A gateway that starts while the store does not answer gets the
     * configuration from a peer. */
    store_process_faults(&process, "{\"drop\": true}");
    struct config_feed *peer = open_feed(&peer_observed);
    GPtrArray *texts = message.as.config.part_texts;
    char *valid_text = g_ptr_array_index(texts, 0);
    g_ptr_array_index(texts, 0) = g_strdup(
        "{\"service_unit\": \"slot_time\", \"pools\": [], \"queues\": []}");
    config_feed_offer(peer, &message.as.config);
    CU_ASSERT_EQUAL(config_feed_generation(peer), 0);
    g_free(g_ptr_array_index(texts, 0));
    g_ptr_array_index(texts, 0) = valid_text;
    config_feed_offer(peer, &message.as.config);
    CU_ASSERT_EQUAL(config_feed_generation(peer), 2);
    config_feed_offer(peer, &old.as.config);
    CU_ASSERT_EQUAL(config_feed_generation(peer), 2);
    CU_ASSERT_EQUAL(peer_observed.changes, 1);
    message_clear(&message);
    message_clear(&old);
    config_feed_destroy(peer);
    config_feed_destroy(feed);
    tear_down();
}

/* A peer is sent only the parts that it lacks. */
static void
test_parts_from_peer(void)
{
    struct observed observed;
    struct observed peer_observed;
    struct message message;
    struct message first;
    set_up();
    publish(1);
    struct config_feed *feed = open_feed(&observed);
    wait_for_generation(&observed, 1);
    CU_ASSERT(config_feed_make_message(feed, 0, &first));
    publish(2);
    wait_for_generation(&observed, 2);
    CU_ASSERT(config_feed_make_message(feed, 1, &message));
    CU_ASSERT_EQUAL(message.as.config.part_names->len, 1);
    CU_ASSERT(first.as.config.part_names->len > 1);
    store_process_faults(&process, "{\"drop\": true}");
    struct config_feed *peer = open_feed(&peer_observed);
    config_feed_offer(peer, &message.as.config);
    CU_ASSERT_EQUAL(config_feed_generation(peer), 0);
    wait_for_rejected("reason=\"incomplete\"", 1);
    CU_ASSERT_EQUAL(*counters_slot(counters, "egret_config_rejected_total",
                                   "reason=\"malformed\""),
                    0);
    config_feed_offer(peer, &first.as.config);
    CU_ASSERT_EQUAL(config_feed_generation(peer), 1);
    config_feed_offer(peer, &message.as.config);
    CU_ASSERT_EQUAL(config_feed_generation(peer), 2);
    const struct config *config = config_feed_current(peer);
    CU_ASSERT_EQUAL(config_find_team(config, "t")->max_running, 2);
    CU_ASSERT_PTR_NOT_NULL(config_find_team(config, "u"));
    message_clear(&message);
    message_clear(&first);
    config_feed_destroy(peer);
    config_feed_destroy(feed);
    tear_down();
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"follows the store", test_follows_store},
        {"watch hangs", test_watch_hangs},
        {"generation never decreases", test_generation_never_decreases},
        {"configuration from a peer", test_config_from_peer},
        {"parts from a peer", test_parts_from_peer},
    };
    return suite_main("config feed", tests, G_N_ELEMENTS(tests));
}
