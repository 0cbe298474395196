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
    /* Longer than the test runs: a watch alone would never recover. */
    WATCH_WAIT_MS = 600000,
};

static struct store_process process;
static struct store *store;
static struct counters *counters;

static void
open_all(void)
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
close_all(void)
{
    store_destroy(store);
    while (g_main_context_iteration(NULL, FALSE)) {
    }
    counters_destroy(counters);
    store_process_stop(&process);
}

/* Every generation that came into force, in order. */
struct seen {
    uint64_t generation;
    unsigned changes;
    bool fell;
};

static void
on_changed(void *ctx, const struct config *config)
{
    struct seen *seen = ctx;
    seen->fell |= config->generation <= seen->generation;
    seen->generation = config->generation;
    seen->changes++;
}

static struct config_feed *
open_feed(struct seen *seen)
{
    *seen = (struct seen){.generation = 0};
    return config_feed_create(&(struct config_feed_options){
        .store = store,
        .counters = counters,
        .clock = ms_clock_system(),
        .poll_ms = POLL_MS,
        .listener = {.changed = on_changed, .ctx = seen},
    });
}

static void
wait_generation(const struct seen *seen, uint64_t generation)
{
    while (seen->generation < generation) {
        g_main_context_iteration(NULL, TRUE);
    }
    CU_ASSERT_EQUAL(seen->generation, generation);
    CU_ASSERT_FALSE(seen->fell);
}

static void
wait_count(const char *labels, int64_t wanted)
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

/* Writes a head by hand, as a damaged or reset store would show it. */
struct raw_write {
    const char *text;
    bool done;
};

static void
on_raw_written(void *ctx, const struct store_result *result)
{
    struct raw_write *raw = ctx;
    CU_ASSERT_EQUAL(result->status.code, STATUS_OK);
    raw->done = true;
}

static void
on_raw_read(void *ctx, const struct store_result *result)
{
    struct raw_write *raw = ctx;
    store_cas(store, STORE_KEY_CONFIG_HEAD, raw->text, strlen(raw->text),
              result->entries[0].version,
              (struct store_callback){.done = on_raw_written, .ctx = raw});
}

static void
write_head(const char *text)
{
    struct raw_write raw = {.text = text};
    store_get(store, STORE_KEY_CONFIG_HEAD,
              (struct store_callback){.done = on_raw_read, .ctx = &raw});
    while (!raw.done) {
        g_main_context_iteration(NULL, TRUE);
    }
}

static void
test_follows(void)
{
    struct seen seen;
    open_all();
    struct config_feed *feed = open_feed(&seen);
    CU_ASSERT_PTR_NULL(config_feed_current(feed));
    for (unsigned i = 1; i <= 5; i++) {
        publish(i);
        wait_generation(&seen, i);
        const struct config *config = config_feed_current(feed);
        CU_ASSERT_EQUAL(config_find_team(config, "t")->max_running, i);
    }
    CU_ASSERT_EQUAL(seen.changes, 5);
    config_feed_destroy(feed);
    close_all();
}

static void
test_silent_watch(void)
{
    struct seen seen;
    open_all();
    publish(1);
    struct config_feed *feed = open_feed(&seen);
    wait_generation(&seen, 1);
    while (store_process_stat(&process, "watches") == 0) {
        g_main_context_iteration(NULL, TRUE);
    }
    store_process_faults(&process, "{\"silence_watches\": true}");
    publish(2);
    wait_generation(&seen, 2);
    config_feed_destroy(feed);
    close_all();
}

static void
test_never_falls(void)
{
    struct seen seen;
    open_all();
    publish(1);
    publish(2);
    struct config_feed *feed = open_feed(&seen);
    wait_generation(&seen, 2);
    write_head("{\"generation\": 1, \"id\": \"other\", \"parts\": {}}");
    wait_count("reason=\"older\"", 1);
    write_head("{\"generation\": 2, \"id\": \"other\", \"parts\": {}}");
    wait_count("reason=\"same-number\"", 1);
    write_head("{\"generation\": 3");
    wait_count("reason=\"malformed\"", 1);
    write_head("{\"generation\": 3, \"id\": \"x\", \"parts\":"
               " {\"base\": \"base/0123456789abcdef\"}}");
    wait_count("reason=\"malformed\"", 3);
    CU_ASSERT_EQUAL(config_feed_generation(feed), 2);
    CU_ASSERT_EQUAL(seen.changes, 1);
    config_feed_destroy(feed);
    close_all();
}

static void
test_peers(void)
{
    struct seen seen;
    struct seen peer_seen;
    struct message message;
    struct message old;
    open_all();
    publish(1);
    struct config_feed *feed = open_feed(&seen);
    CU_ASSERT_FALSE(config_feed_make_message(feed, 0, &message));
    wait_generation(&seen, 1);
    CU_ASSERT(config_feed_make_message(feed, 0, &old));
    publish(2);
    wait_generation(&seen, 2);
    CU_ASSERT(config_feed_make_message(feed, 0, &message));
    /* A gateway that starts while the store is silent hears from a peer. */
    store_process_faults(&process, "{\"drop\": true}");
    struct config_feed *peer = open_feed(&peer_seen);
    GPtrArray *texts = message.as.config.part_texts;
    char *whole = g_ptr_array_index(texts, 0);
    g_ptr_array_index(texts, 0) = g_strdup(
        "{\"service_unit\": \"slot_time\", \"pools\": [], \"queues\": []}");
    config_feed_offer(peer, &message.as.config);
    CU_ASSERT_EQUAL(config_feed_generation(peer), 0);
    g_free(g_ptr_array_index(texts, 0));
    g_ptr_array_index(texts, 0) = whole;
    config_feed_offer(peer, &message.as.config);
    CU_ASSERT_EQUAL(config_feed_generation(peer), 2);
    config_feed_offer(peer, &old.as.config);
    CU_ASSERT_EQUAL(config_feed_generation(peer), 2);
    CU_ASSERT_EQUAL(peer_seen.changes, 1);
    message_clear(&message);
    message_clear(&old);
    config_feed_destroy(peer);
    config_feed_destroy(feed);
    close_all();
}

/* A peer is sent the parts that it lacks and no others. */
static void
test_peers_by_parts(void)
{
    struct seen seen;
    struct seen peer_seen;
    struct message message;
    struct message first;
    open_all();
    publish(1);
    struct config_feed *feed = open_feed(&seen);
    wait_generation(&seen, 1);
    CU_ASSERT(config_feed_make_message(feed, 0, &first));
    publish(2);
    wait_generation(&seen, 2);
    CU_ASSERT(config_feed_make_message(feed, 1, &message));
    CU_ASSERT_EQUAL(message.as.config.part_names->len, 1);
    CU_ASSERT(first.as.config.part_names->len > 1);
    store_process_faults(&process, "{\"drop\": true}");
    struct config_feed *peer = open_feed(&peer_seen);
    config_feed_offer(peer, &message.as.config);
    CU_ASSERT_EQUAL(config_feed_generation(peer), 0);
    wait_count("reason=\"incomplete\"", 1);
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
    close_all();
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"follows", test_follows},
        {"silent watch", test_silent_watch},
        {"never falls", test_never_falls},
        {"peers", test_peers},
        {"peers by parts", test_peers_by_parts},
    };
    return suite_main("config feed", tests, G_N_ELEMENTS(tests));
}
