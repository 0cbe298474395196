/*
 * Registration, quorum leases and permits of several gateways in one process,
 * over real peer links and a stand-in store: gateways that start, are
 * replaced, killed or cut off from the store must never hold more permits than
 * the limit together, and must get their quorum leases back as soon as the
 * store or a majority of the gateways is reachable.
 */
#include <string.h>

#include "../../egretd/members_json.h"
#include "../store/store_process.h"
#include "../suite.h"
#include "egretd/permit_accounts.h"
#include "store/store_keys.h"
#include "wait.h"

enum {
    GATEWAY_COUNT = 7,
    LIMIT = 21,
    QUORUM_LEASE_MS = 1000,
    HEARTBEAT_MS = 250,
    TASK_LEASE_MS = 300,
    /* Heartbeats per second with the default settings, and the most traffic
     * that they may cause per gateway. */
    HEARTBEATS_PER_S = 2,
    HEARTBEAT_BYTES_PER_S_MAX = 4096,
};

/** struct gateway - one gateway incarnation with the modules under test */
struct gateway {
    char incarnation[16];
    struct settings settings;
    struct store *store;
    struct counters *counters;
    struct peers *peers;
    struct registration *registration;
    struct permit_accounts *accounts;
    guint tick;
    int64_t lease_expires_ms;
    uint32_t n_live;
    uint32_t n_entries;
    uint32_t permits;
    uint32_t queued;
    bool fenced;
};

static struct store_process store_process;
static struct gateway gateways[GATEWAY_COUNT];
static struct config_team team = {.name = "team", .max_running = LIMIT};
static struct config config = {.generation = 1, .teams = &team, .n_teams = 1};

static void
on_message(void *ctx, const char *peer, const struct message *message)
{
    struct gateway *gateway = ctx;
    if (message->type == MESSAGE_PERMIT_REQUEST) {
        permit_accounts_handle_request(gateway->accounts, peer, message);
        return;
    }
    registration_handle_message(gateway->registration, peer, message);
}

static void
on_down(void *ctx, const char *peer)
{
}

static void
on_up(void *ctx, const char *peer)
{
    registration_peer_linked(((struct gateway *)ctx)->registration, peer);
}

static void
on_replaced(void *ctx, const char *peer)
{
    registration_peer_replaced(((struct gateway *)ctx)->registration, peer);
}

static void
on_lease_changed(void *ctx, int64_t lease_expires_ms)
{
    ((struct gateway *)ctx)->lease_expires_ms = lease_expires_ms;
}

static void
on_members(void *ctx, const struct gateway_member *members, size_t n_members,
           uint64_t epoch)
{
    struct gateway *gateway = ctx;
    struct peer_address addresses[4 * GATEWAY_COUNT];
    gateway->n_live = 0;
    gateway->n_entries = (uint32_t)n_members;
    for (size_t i = 0; i < n_members; i++) {
        addresses[i] = (struct peer_address){
            members[i].incarnation, members[i].address, members[i].peer_port};
        gateway->n_live += members[i].live;
    }
    peers_set_members(gateway->peers, addresses, n_members);
    permit_accounts_set_members(gateway->accounts, members, n_members);
}

static void
on_fenced(void *ctx)
{
    ((struct gateway *)ctx)->fenced = true;
}

static void
on_permits_reclaimed(void *ctx, const char *incarnation)
{
    registration_permits_reclaimed(((struct gateway *)ctx)->registration,
                                   incarnation);
}

static void
on_reclaim_permits(void *ctx, const char *incarnation)
{
    permit_accounts_reclaim(((struct gateway *)ctx)->accounts, incarnation,
                            on_permits_reclaimed, ctx);
}

static uint64_t
on_generation(void *ctx)
{
    return config.generation;
}

static void
on_newer_config(void *ctx, const char *peer)
{
}

static void
on_refresh_config(void *ctx)
{
}

static int64_t
on_config_confirmed(void *ctx)
{
    return INT64_MAX;
}

static int64_t
on_longest_task_lease(void *ctx)
{
    return TASK_LEASE_MS;
}

static uint32_t
on_running(void *ctx, const char *name)
{
    return 0;
}

static uint32_t
on_queued(void *ctx, const char *name)
{
    return ((struct gateway *)ctx)->queued;
}

static void
on_permits(void *ctx, const char *name, uint32_t permits)
{
    ((struct gateway *)ctx)->permits = permits;
}

static gboolean
on_tick(void *ctx)
{
    permit_accounts_tick(((struct gateway *)ctx)->accounts);
    return G_SOURCE_CONTINUE;
}

static void
create_parts(struct gateway *gateway)
{
    struct ms_clock clock = ms_clock_system();
    gateway->accounts =
        permit_accounts_create(&(struct permit_accounts_options){
            .store = gateway->store,
            .peers = gateway->peers,
            .counters = gateway->counters,
            .clock = clock,
            .incarnation = gateway->incarnation,
            .running = on_running,
            .queued = on_queued,
            .set_permits = on_permits,
            .ctx = gateway,
        });
    permit_accounts_set_config(gateway->accounts, &config);
    gateway->registration = registration_create(&(struct registration_options){
        .settings = &gateway->settings,
        .store = gateway->store,
        .peers = gateway->peers,
        .counters = gateway->counters,
        .clock = clock,
        .incarnation = gateway->incarnation,
        .peer_port = peers_port(gateway->peers),
        .http_port = 1,
        .generation = on_generation,
        .newer_config = on_newer_config,
        .refresh_config = on_refresh_config,
        .config_confirmed_ms = on_config_confirmed,
        .longest_task_lease_ms = on_longest_task_lease,
        .ctx = gateway,
        .listener = {.lease_changed = on_lease_changed,
                     .members_changed = on_members,
                     .fenced = on_fenced,
                     .reclaim_permits = on_reclaim_permits,
                     .ctx = gateway},
    });
}

static void
gateway_start(int at, const char *incarnation, uint16_t port)
{
    struct gateway *gateway = &gateways[at];
    *gateway = (struct gateway){.lease_expires_ms = INT64_MIN};
    g_strlcpy(gateway->incarnation, incarnation, sizeof(gateway->incarnation));
    gateway->settings = (struct settings){.name = gateway->incarnation,
                                          .dc = "dc",
                                          .address = "127.0.0.1",
                                          .quorum_lease_ms = QUORUM_LEASE_MS,
                                          .heartbeat_ms = HEARTBEAT_MS};
    gateway->counters = counters_create();
    gateway->store = store_create(&(struct store_options){
        store_process.url, 500, 2000, ms_clock_system()});
    struct status status;
    status_clear(&status);
    gateway->peers = peers_create(
        &(struct peers_options){.address = "127.0.0.1",
                                .port = port,
                                .secret = "secret",
                                .incarnation = gateway->incarnation,
                                .name = gateway->incarnation,
                                .idle_timeout_ms = QUORUM_LEASE_MS,
                                .clock = ms_clock_system(),
                                .handler = {.message = on_message,
                                            .up = on_up,
                                            .down = on_down,
                                            .replaced = on_replaced,
                                            .ctx = gateway}},
        &status);
    CU_ASSERT_PTR_NOT_NULL_FATAL(gateway->peers);
    create_parts(gateway);
    gateway->tick = g_timeout_add(HEARTBEAT_MS, on_tick, gateway);
}

/* Like a killed process, returns no permits and leaves no message. */
static void
gateway_kill(int at)
{
    struct gateway *gateway = &gateways[at];
    if (gateway->registration == NULL) {
        return;
    }
    g_source_remove(gateway->tick);
    registration_destroy(gateway->registration);
    permit_accounts_destroy(gateway->accounts);
    peers_destroy(gateway->peers);
    store_destroy(gateway->store);
    counters_destroy(gateway->counters);
    *gateway = (struct gateway){0};
}

static void
start_gateways(int n)
{
    store_process_start(&store_process);
    for (int at = 0; at < n; at++) {
        char incarnation[16];
        g_snprintf(incarnation, sizeof(incarnation), "old-%d", at);
        gateway_start(at, incarnation, 0);
    }
}

static void
stop_all(void)
{
    for (int at = 0; at < GATEWAY_COUNT; at++) {
        gateway_kill(at);
    }
    store_process_stop(&store_process);
}

static bool
holds_quorum_lease(const struct gateway *gateway)
{
    struct ms_clock clock = ms_clock_system();
    return ms_clock_now(&clock) < gateway->lease_expires_ms;
}

/* Only the first @n gateways are registered, each of them holds a quorum
 * lease, and together they hold all permits. */
static bool
all_registered(void *n)
{
    uint32_t wanted = GPOINTER_TO_UINT(n);
    uint32_t permits = 0;
    for (uint32_t at = 0; at < wanted; at++) {
        if (!holds_quorum_lease(&gateways[at]) ||
            gateways[at].n_live != wanted ||
            gateways[at].n_entries != wanted) {
            return false;
        }
        permits += gateways[at].permits;
    }
    CU_ASSERT(permits <= LIMIT);
    return permits == LIMIT;
}

static bool
is_past(void *end_ms)
{
    struct ms_clock clock = ms_clock_system();
    return ms_clock_now(&clock) >= *(int64_t *)end_ms;
}

static void
run_for(int64_t time_ms)
{
    struct ms_clock clock = ms_clock_system();
    int64_t end_ms = ms_clock_now(&clock) + time_ms;
    wait_until(is_past, &end_ms);
}

static void
test_seven_start_at_once(void)
{
    start_gateways(GATEWAY_COUNT);
    CU_ASSERT(wait_until(all_registered, GUINT_TO_POINTER(GATEWAY_COUNT)));
    struct peers_stats before = peers_get_stats(gateways[0].peers);
    int64_t n_heartbeats = 8;
    run_for(n_heartbeats * HEARTBEAT_MS);
    struct peers_stats after = peers_get_stats(gateways[0].peers);
    uint64_t bytes =
        after.bytes_in + after.bytes_out - before.bytes_in - before.bytes_out;
    uint64_t per_s = bytes * HEARTBEATS_PER_S / (uint64_t)n_heartbeats;
    printf("\n    %u links, %" G_GUINT64_FORMAT " bytes/s of heartbeats ",
           after.linked, per_s);
    CU_ASSERT(per_s > 0 && per_s < HEARTBEAT_BYTES_PER_S_MAX);
    stop_all();
}

static void
test_all_replaced_at_their_addresses(void)
{
    start_gateways(3);
    CU_ASSERT(wait_until(all_registered, GUINT_TO_POINTER(3)));
    uint16_t ports[3];
    for (int at = 0; at < 3; at++) {
        ports[at] = peers_port(gateways[at].peers);
        gateway_kill(at);
    }
    for (int at = 0; at < 3; at++) {
        char incarnation[16];
        g_snprintf(incarnation, sizeof(incarnation), "new-%d", at);
        gateway_start(at, incarnation, ports[at]);
    }
    CU_ASSERT(wait_until(all_registered, GUINT_TO_POINTER(3)));
    stop_all();
}

static bool
most_held_by_first(void *ctx)
{
    uint32_t permits = 0;
    for (int at = 0; at < 3; at++) {
        permits += gateways[at].permits;
    }
    CU_ASSERT(permits <= LIMIT);
    return gateways[0].permits >= LIMIT - 4 && gateways[1].permits > 0 &&
           gateways[2].permits > 0;
}

static void
test_permits_follow_demand(void)
{
    start_gateways(3);
    CU_ASSERT(wait_until(all_registered, GUINT_TO_POINTER(3)));
    gateways[0].queued = LIMIT;
    CU_ASSERT(wait_until(most_held_by_first, NULL));
    stop_all();
}

static void
test_unresponsive_gateway_is_fenced(void)
{
    start_gateways(3);
    CU_ASSERT(wait_until(all_registered, GUINT_TO_POINTER(3)));
    gateway_kill(2);
    CU_ASSERT(wait_until(all_registered, GUINT_TO_POINTER(2)));
    stop_all();
}

static void
test_store_outage(void)
{
    start_gateways(3);
    CU_ASSERT(wait_until(all_registered, GUINT_TO_POINTER(3)));
    store_process_faults(&store_process, "{\"down\": true}");
    run_for(3 * QUORUM_LEASE_MS);
    for (int at = 0; at < 3; at++) {
        CU_ASSERT(holds_quorum_lease(&gateways[at]));
        CU_ASSERT(gateways[at].permits > 0);
    }
    /* One of three is no majority. */
    gateway_kill(1);
    gateway_kill(2);
    run_for(QUORUM_LEASE_MS + HEARTBEAT_MS);
    CU_ASSERT_FALSE(holds_quorum_lease(&gateways[0]));
    CU_ASSERT_FALSE(gateways[0].fenced);
    store_process_faults(&store_process, "{\"down\": false}");
    run_for(2 * QUORUM_LEASE_MS);
    CU_ASSERT(holds_quorum_lease(&gateways[0]));
    stop_all();
}

/** struct record_change - change of the members record by an operator */
struct record_change {
    char *text;
    uint64_t version;
    bool done;
};

static void
on_record_read(void *ctx, const struct store_result *result)
{
    struct record_change *record_change = ctx;
    struct status status;
    struct members_record *record = members_json_parse(
        result->entries[0].value, result->entries[0].size_bytes, &status);
    CU_ASSERT_PTR_NOT_NULL_FATAL(record);
    record->epoch++;
    for (size_t i = 0; i < record->n_entries; i++) {
        record->entries[i].state = MEMBERS_DECLARED_DEAD;
    }
    record_change->text = members_json_format(record);
    members_record_destroy(record);
    record_change->version = result->entries[0].version;
}

static void
on_record_written(void *ctx, const struct store_result *result)
{
    struct record_change *record_change = ctx;
    record_change->done = status_ok(&result->status);
}

static bool
record_read(void *ctx)
{
    return ((struct record_change *)ctx)->text != NULL;
}

static bool
record_written(void *ctx)
{
    return ((struct record_change *)ctx)->done;
}

static void
declare_all_dead(struct store *store)
{
    struct record_change record_change = {0};
    store_get(store, STORE_KEY_MEMBERS,
              (struct store_callback){.done = on_record_read,
                                      .ctx = &record_change});
    CU_ASSERT_FATAL(wait_until(record_read, &record_change));
    store_cas(store, STORE_KEY_MEMBERS, record_change.text,
              strlen(record_change.text), record_change.version,
              (struct store_callback){.done = on_record_written,
                                      .ctx = &record_change});
    CU_ASSERT_FATAL(wait_until(record_written, &record_change));
    g_free(record_change.text);
}

static void
test_majority_lost_permanently(void)
{
    start_gateways(3);
    CU_ASSERT(wait_until(all_registered, GUINT_TO_POINTER(3)));
    for (int at = 0; at < 3; at++) {
        gateway_kill(at);
    }
    /* At another address nothing proves that the three processes ended. */
    gateway_start(0, "new-0", 0);
    run_for(3 * QUORUM_LEASE_MS);
    CU_ASSERT_FALSE(holds_quorum_lease(&gateways[0]));
    declare_all_dead(gateways[0].store);
    CU_ASSERT(wait_until(all_registered, GUINT_TO_POINTER(1)));
    stop_all();
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"seven start at once", test_seven_start_at_once},
        {"all replaced at their addresses",
         test_all_replaced_at_their_addresses},
        {"permits follow demand", test_permits_follow_demand},
        {"unresponsive gateway is fenced",
         test_unresponsive_gateway_is_fenced},
        {"store outage", test_store_outage},
        {"majority lost permanently", test_majority_lost_permanently},
    };
    return suite_main("registration", tests, G_N_ELEMENTS(tests));
}
