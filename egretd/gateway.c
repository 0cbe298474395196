#include "egretd/gateway.h"

#include "common/counters.h"
#include "common/log.h"
#include "common/supervisor.h"
#include "egretd/cancel.h"
#include "egretd/config_feed.h"
#include "egretd/demand.h"
#include "egretd/engine.h"
#include "egretd/frontend.h"
#include "egretd/gateway_status.h"
#include "egretd/host_view.h"
#include "egretd/membership.h"
#include "store/store.h"

enum {
    CONFIG_POLL_INTERVAL_MS = 1000,
    DRAIN_CHECK_INTERVAL_MS = 50,
    /* Time for the load balancer to see the failing health check. Also the
     * delay before a failed restart of the membership is tried again. */
    HEALTH_NOTICE_MS = 1000,
};

struct gateway {
    const struct settings *settings;
    const char *secret;
    struct ms_clock clock;
    GMainLoop *loop;
    struct counters *counters;
    struct supervisor *supervisor;
    struct store *store;
    struct engine *engine;
    struct config_feed *feed;
    struct host_view *hosts;
    struct demand *demand;
    struct cancel_relay *cancel_relay;
    struct frontend *frontend;
    struct membership *membership;
    char *incarnation;
    guint restart_source;
    guint drain_source;
    int64_t shutdown_at_ms;
    bool drain_started;
};

static int64_t
now_ms(const struct gateway *gateway)
{
    return ms_clock_now(&gateway->clock);
}

static bool
start_store(void *ctx, struct status *status)
{
    struct gateway *gateway = ctx;
    (void)status;
    gateway->store = store_create(&(struct store_options){
        .url = gateway->settings->store_url,
        .timeout_ms = gateway->settings->store_timeout_ms,
        .watch_wait_ms = gateway->settings->watch_wait_ms,
        .clock = gateway->clock,
    });
    return true;
}

static void
stop_store(void *ctx)
{
    struct gateway *gateway = ctx;
    g_clear_pointer(&gateway->store, store_destroy);
}

static bool
find_peer(void *ctx, const char *peer, struct forward_target *target)
{
    struct gateway *gateway = ctx;
    return gateway->membership != NULL &&
           membership_find_peer(gateway->membership, peer, target);
}

static const struct config_queue *
find_queue(void *ctx, const char *name)
{
    struct gateway *gateway = ctx;
    const struct config *config = config_feed_current(gateway->feed);
    return config == NULL ? NULL : config_find_queue(config, name);
}

static bool
has_quorum_lease(void *ctx)
{
    struct gateway *gateway = ctx;
    return gateway->membership != NULL &&
           membership_quorum_lease_expires_ms(gateway->membership) >
               now_ms(gateway);
}

static bool
start_engine(void *ctx, struct status *status)
{
    struct gateway *gateway = ctx;
    (void)status;
    gateway->engine = engine_create(&(struct engine_options){
        .settings = gateway->settings,
        .counters = gateway->counters,
        .clock = gateway->clock,
        .incarnation = gateway->incarnation,
        .secret = gateway->secret,
        .find_peer = find_peer,
        .find_queue = find_queue,
        .has_quorum_lease = has_quorum_lease,
        .ctx = gateway,
    });
    return true;
}

static void
stop_engine(void *ctx)
{
    struct gateway *gateway = ctx;
    g_clear_pointer(&gateway->engine, engine_destroy);
}

static void
on_config(void *ctx, const struct config *config)
{
    struct gateway *gateway = ctx;
    dispatch_set_config(engine_dispatch(gateway->engine), config);
    if (gateway->membership != NULL) {
        membership_set_config(gateway->membership, config);
    }
    log_line(LOG_LEVEL_INFO, "config", "generation=%" G_GUINT64_FORMAT,
             config->generation);
    engine_run_actions(gateway->engine);
}

static bool
start_feed(void *ctx, struct status *status)
{
    struct gateway *gateway = ctx;
    (void)status;
    gateway->feed = config_feed_create(&(struct config_feed_options){
        .store = gateway->store,
        .counters = gateway->counters,
        .clock = gateway->clock,
        .poll_ms = CONFIG_POLL_INTERVAL_MS,
        .listener = {.changed = on_config, .ctx = gateway},
    });
    return true;
}

static void
stop_feed(void *ctx)
{
    struct gateway *gateway = ctx;
    g_clear_pointer(&gateway->feed, config_feed_destroy);
}

static void
on_hosts(void *ctx, const struct dispatch_host *hosts, size_t n_hosts)
{
    struct gateway *gateway = ctx;
    dispatch_set_hosts(engine_dispatch(gateway->engine), hosts, n_hosts);
    engine_run_actions(gateway->engine);
}

static bool
start_hosts(void *ctx, struct status *status)
{
    struct gateway *gateway = ctx;
    (void)status;
    gateway->hosts = host_view_create(&(struct host_view_options){
        .settings = gateway->settings,
        .store = gateway->store,
        .clock = gateway->clock,
        .changed = on_hosts,
        .ctx = gateway,
    });
    return true;
}

static void
stop_hosts(void *ctx)
{
    struct gateway *gateway = ctx;
    g_clear_pointer(&gateway->hosts, host_view_destroy);
}

static bool
start_demand(void *ctx, struct status *status)
{
    struct gateway *gateway = ctx;
    (void)status;
    gateway->demand = demand_create(&(struct demand_options){
        .settings = gateway->settings,
        .store = gateway->store,
        .engine = gateway->engine,
        .hosts = gateway->hosts,
    });
    return true;
}

static void
stop_demand(void *ctx)
{
    struct gateway *gateway = ctx;
    g_clear_pointer(&gateway->demand, demand_destroy);
}

static const struct config *
current_config(void *ctx)
{
    struct gateway *gateway = ctx;
    return config_feed_current(gateway->feed);
}

static bool
is_healthy(void *ctx)
{
    struct gateway *gateway = ctx;
    return gateway->shutdown_at_ms == 0 &&
           config_feed_current(gateway->feed) != NULL &&
           has_quorum_lease(gateway);
}

static void
collect_snapshot(struct gateway *gateway, struct gateway_snapshot *snapshot)
{
    *snapshot = (struct gateway_snapshot){
        .settings = gateway->settings,
        .generation = config_feed_generation(gateway->feed),
        .config_id = config_feed_id(gateway->feed),
        .now_ms = now_ms(gateway),
        .quorum_lease_expires_ms = INT64_MIN,
        .inflight = engine_inflight(gateway->engine),
        .draining = gateway->shutdown_at_ms != 0,
        .store = store_stats_get(gateway->store),
    };
    if (gateway->membership == NULL) {
        return;
    }
    snapshot->incarnation = membership_incarnation(gateway->membership);
    snapshot->quorum_lease_expires_ms =
        membership_quorum_lease_expires_ms(gateway->membership);
    snapshot->peers = membership_peers_stats(gateway->membership);
    snapshot->members = membership_members(
        gateway->membership, &snapshot->n_members, &snapshot->epoch);
}

static void
on_status(void *ctx, JsonBuilder *builder)
{
    struct gateway *gateway = ctx;
    struct gateway_snapshot snapshot;
    collect_snapshot(gateway, &snapshot);
    gateway_status_build(&snapshot, engine_dispatch(gateway->engine), builder);
}

static void
on_refresh(void *ctx)
{
    struct gateway *gateway = ctx;
    struct gateway_snapshot snapshot;
    collect_snapshot(gateway, &snapshot);
    gateway_status_set_metrics(&snapshot, gateway->counters);
}

static bool
start_frontend(void *ctx, struct status *status)
{
    struct gateway *gateway = ctx;
    gateway->cancel_relay =
        cancel_relay_create(gateway->settings->connect_timeout_ms);
    gateway->frontend = frontend_create(
        &(struct frontend_options){
            .settings = gateway->settings,
            .secret = gateway->secret,
            .counters = gateway->counters,
            .engine = gateway->engine,
            .cancel_relay = gateway->cancel_relay,
            .config = current_config,
            .healthy = is_healthy,
            .status = on_status,
            .refresh = on_refresh,
            .ctx = gateway,
        },
        status);
    return gateway->frontend != NULL;
}

static void
stop_frontend(void *ctx)
{
    struct gateway *gateway = ctx;
    g_clear_pointer(&gateway->frontend, frontend_destroy);
    g_clear_pointer(&gateway->cancel_relay, cancel_relay_destroy);
}

/* Time and random bits keep it unique even if this host was cloned. */
static char *
create_incarnation(const struct settings *settings)
{
    return g_strdup_printf("%s-%" G_GINT64_MODIFIER "x%04x", settings->name,
                           g_get_real_time() / 1000, g_random_int() & 0xffff);
}

static gboolean
on_restart(void *data)
{
    struct gateway *gateway = data;
    struct status status;
    status_clear(&status);
    gateway->restart_source = 0;
    g_free(gateway->incarnation);
    gateway->incarnation = create_incarnation(gateway->settings);
    engine_set_incarnation(gateway->engine, gateway->incarnation);
    if (!supervisor_restart(gateway->supervisor, "membership", &status)) {
        gateway->restart_source =
            g_timeout_add(HEALTH_NOTICE_MS, on_restart, gateway);
    }
    return G_SOURCE_REMOVE;
}

static void
on_fenced(void *ctx)
{
    struct gateway *gateway = ctx;
    if (gateway->restart_source == 0 && gateway->shutdown_at_ms == 0) {
        /* Deferred: the membership that called this is to be destroyed. */
        gateway->restart_source = g_idle_add(on_restart, gateway);
    }
}

static bool
start_membership(void *ctx, struct status *status)
{
    struct gateway *gateway = ctx;
    gateway->membership = membership_create(
        &(struct membership_options){
            .settings = gateway->settings,
            .secret = gateway->secret,
            .store = gateway->store,
            .counters = gateway->counters,
            .clock = gateway->clock,
            .feed = gateway->feed,
            .engine = gateway->engine,
            .http_port = frontend_port(gateway->frontend),
            .incarnation = gateway->incarnation,
            .fenced = on_fenced,
            .ctx = gateway,
        },
        status);
    if (gateway->membership == NULL) {
        return false;
    }
    log_line(LOG_LEVEL_INFO, "started",
             "name=%s dc=%s incarnation=%s http_port=%u",
             gateway->settings->name, gateway->settings->dc,
             membership_incarnation(gateway->membership),
             frontend_port(gateway->frontend));
    return true;
}

static void
stop_membership(void *ctx)
{
    struct gateway *gateway = ctx;
    g_clear_pointer(&gateway->membership, membership_destroy);
}

static void
add_children(struct gateway *gateway)
{
    const struct supervisor_child children[] = {
        {"store", start_store, stop_store, gateway},
        {"engine", start_engine, stop_engine, gateway},
        {"config", start_feed, stop_feed, gateway},
        {"hosts", start_hosts, stop_hosts, gateway},
        {"demand", start_demand, stop_demand, gateway},
        {"front", start_frontend, stop_frontend, gateway},
        {"membership", start_membership, stop_membership, gateway},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(children); i++) {
        supervisor_add(gateway->supervisor, &children[i]);
    }
}

struct gateway *
gateway_create(const struct settings *settings, const char *secret)
{
    struct gateway *gateway = g_new0(struct gateway, 1);
    gateway->settings = settings;
    gateway->secret = secret;
    gateway->clock = ms_clock_system();
    gateway->loop = g_main_loop_new(NULL, FALSE);
    gateway->counters = counters_create();
    gateway->supervisor = supervisor_create();
    gateway->incarnation = create_incarnation(settings);
    add_children(gateway);
    return gateway;
}

void
gateway_destroy(struct gateway *gateway)
{
    if (gateway == NULL) {
        return;
    }
    if (gateway->restart_source != 0) {
        g_source_remove(gateway->restart_source);
    }
    if (gateway->drain_source != 0) {
        g_source_remove(gateway->drain_source);
    }
    supervisor_destroy(gateway->supervisor);
    counters_destroy(gateway->counters);
    g_main_loop_unref(gateway->loop);
    g_free(gateway->incarnation);
    g_free(gateway);
}

bool
gateway_run(struct gateway *gateway, struct status *status)
{
    if (!supervisor_start(gateway->supervisor, status)) {
        return false;
    }
    g_main_loop_run(gateway->loop);
    supervisor_stop(gateway->supervisor);
    return true;
}

static void
on_left(void *ctx)
{
    struct gateway *gateway = ctx;
    log_line(LOG_LEVEL_INFO, "stopped", "name=%s", gateway->settings->name);
    g_main_loop_quit(gateway->loop);
}

static gboolean
on_drain(void *data)
{
    struct gateway *gateway = data;
    int64_t elapsed_ms = now_ms(gateway) - gateway->shutdown_at_ms;
    if (elapsed_ms < HEALTH_NOTICE_MS) {
        return G_SOURCE_CONTINUE;
    }
    if (!gateway->drain_started) {
        gateway->drain_started = true;
        frontend_stop_listening(gateway->frontend);
        engine_drain(gateway->engine);
    }
    if (engine_inflight(gateway->engine) > 0 &&
        elapsed_ms < gateway->settings->shutdown_ms) {
        return G_SOURCE_CONTINUE;
    }
    gateway->drain_source = 0;
    membership_leave(gateway->membership, on_left, gateway);
    return G_SOURCE_REMOVE;
}

void
gateway_shutdown(struct gateway *gateway)
{
    if (gateway->shutdown_at_ms != 0) {
        g_main_loop_quit(gateway->loop);
        return;
    }
    gateway->shutdown_at_ms = now_ms(gateway);
    log_line(LOG_LEVEL_INFO, "stopping", "inflight=%u",
             engine_inflight(gateway->engine));
    gateway->drain_source =
        g_timeout_add(DRAIN_CHECK_INTERVAL_MS, on_drain, gateway);
}
