/* Starts the components of the controller, and runs the planning passes. */
#include "egretfleetd/controller.h"

#include "common/log.h"
#include "common/supervisor.h"
#include "egretfleetd/fleet_status.h"
#include "egretfleetd/fleet_view.h"
#include "egretfleetd/plan_executor.h"
#include "egretfleetd/status_publisher.h"
#include "store/store.h"

enum {
    CONFIG_POLL_MS = 5000,
    /* Delay of a pass after a change, so that one pass covers changes that
     * arrive together. */
    COALESCE_MS = 50,
    /* Lateness of a tick, in tick intervals, from which the process is taken
     * to have been paused. */
    PAUSE_MIN_TICKS = 4,
};

struct controller {
    const struct settings *settings;
    const char *secret;
    struct ms_clock clock;
    GMainLoop *loop;
    struct counters *counters;
    struct supervisor *supervisor;
    struct store *store;
    struct config_feed *feed;
    struct fleet_view *view;
    struct plan_executor *executor;
    struct fleet_planner *planner;
    struct fleet_status *status;
    struct fleet_plan *plan;
    struct status_publisher *publisher;
    guint tick_source;
    guint coalesce_source;
    int64_t last_tick_ms;
    int64_t paused_until_ms;
};

static bool
start_store(void *ctx, struct status *status)
{
    struct controller *controller = ctx;
    (void)status;
    controller->store = store_create(&(struct store_options){
        .url = controller->settings->store_url,
        .timeout_ms = controller->settings->store_timeout_ms,
        .watch_wait_ms = controller->settings->watch_wait_ms,
        .clock = controller->clock,
    });
    return true;
}

static void
stop_store(void *ctx)
{
    struct controller *controller = ctx;
    g_clear_pointer(&controller->store, store_destroy);
}

static void
schedule_plan(void *ctx);

static void
on_config(void *ctx, const struct config *config)
{
    log_line(LOG_LEVEL_INFO, "config", "generation=%" G_GUINT64_FORMAT,
             config->generation);
    schedule_plan(ctx);
}

static bool
start_feed(void *ctx, struct status *status)
{
    struct controller *controller = ctx;
    (void)status;
    controller->feed = config_feed_create(&(struct config_feed_options){
        .store = controller->store,
        .counters = controller->counters,
        .clock = controller->clock,
        .poll_ms = CONFIG_POLL_MS,
        .listener = {.changed = on_config, .ctx = controller},
    });
    return true;
}

static void
stop_feed(void *ctx)
{
    struct controller *controller = ctx;
    g_clear_pointer(&controller->feed, config_feed_destroy);
}

static bool
start_view(void *ctx, struct status *status)
{
    struct controller *controller = ctx;
    (void)status;
    controller->view = fleet_view_create(&(struct fleet_view_options){
        .settings = controller->settings,
        .store = controller->store,
        .clock = controller->clock,
        .feed = controller->feed,
        .changed = schedule_plan,
        .ctx = controller,
    });
    controller->executor =
        plan_executor_create(&(struct plan_executor_options){
            .settings = controller->settings,
            .store = controller->store,
            .clock = controller->clock,
            .counters = controller->counters,
            .view = controller->view,
        });
    controller->planner = fleet_planner_create(&controller->settings->fleet);
    controller->publisher =
        status_publisher_create(&(struct status_publisher_options){
            .settings = controller->settings,
            .store = controller->store,
            .clock = controller->clock,
        });
    return true;
}

static void
stop_view(void *ctx)
{
    struct controller *controller = ctx;
    g_clear_pointer(&controller->publisher, status_publisher_destroy);
    g_clear_pointer(&controller->plan, fleet_plan_destroy);
    g_clear_pointer(&controller->planner, fleet_planner_destroy);
    g_clear_pointer(&controller->executor, plan_executor_destroy);
    g_clear_pointer(&controller->view, fleet_view_destroy);
}

/* Data read before a pause of this process may be out of date: planning waits
 * for store_timeout_ms after the pause, until the watches have delivered the
 * changes that were missed. */
static bool
resumed_from_pause(struct controller *controller)
{
    int64_t now_ms = ms_clock_now(&controller->clock);
    int64_t late_ms = now_ms - controller->last_tick_ms;
    const struct fleet_timings *timings = &controller->settings->fleet;
    if (late_ms > timings->tick_ms * PAUSE_MIN_TICKS) {
        controller->paused_until_ms =
            now_ms + controller->settings->store_timeout_ms;
        log_line(LOG_LEVEL_WARN, "paused", "late_ms=%" G_GINT64_FORMAT,
                 late_ms);
    }
    return now_ms < controller->paused_until_ms;
}

static void
log_findings(const struct fleet_plan *plan, const struct fleet_plan *old_plan)
{
    for (guint i = 0; i < plan->reports->len; i++) {
        const struct fleet_pool_report *report =
            &g_array_index(plan->reports, struct fleet_pool_report, i);
        const char *previous = "";
        if (old_plan != NULL && i < old_plan->reports->len) {
            previous =
                g_array_index(old_plan->reports, struct fleet_pool_report, i)
                    .finding;
        }
        if (report->finding[0] != '\0' &&
            !g_str_equal(report->finding, previous)) {
            log_line(LOG_LEVEL_WARN, "pool-finding", "pool=%s reason=%s",
                     log_quote(report->pool), log_quote(report->finding));
        }
    }
}

static void
plan_now(struct controller *controller)
{
    if (!fleet_view_ready(controller->view) ||
        resumed_from_pause(controller)) {
        return;
    }
    const struct fleet_snapshot *snapshot =
        fleet_view_snapshot(controller->view);
    struct fleet_plan *plan =
        fleet_planner_pass(controller->planner, snapshot);
    log_findings(plan, controller->plan);
    plan_executor_run(controller->executor, plan);
    status_publisher_update(controller->publisher, plan);
    g_clear_pointer(&controller->plan, fleet_plan_destroy);
    controller->plan = plan;
    counters_set(controller->counters, "egret_fleet_pass_us", NULL,
                 g_get_monotonic_time() - snapshot->now_ms * 1000);
}

static gboolean
on_coalesced(void *data)
{
    struct controller *controller = data;
    controller->coalesce_source = 0;
    plan_now(controller);
    return G_SOURCE_REMOVE;
}

static void
schedule_plan(void *ctx)
{
    struct controller *controller = ctx;
    if (controller->coalesce_source == 0) {
        controller->coalesce_source =
            g_timeout_add(COALESCE_MS, on_coalesced, controller);
    }
}

static gboolean
on_tick(void *data)
{
    struct controller *controller = data;
    plan_now(controller);
    controller->last_tick_ms = ms_clock_now(&controller->clock);
    return G_SOURCE_CONTINUE;
}

static bool
is_ready(void *ctx)
{
    struct controller *controller = ctx;
    return controller->plan != NULL;
}

static void
on_build(void *ctx, JsonBuilder *builder)
{
    struct controller *controller = ctx;
    json_builder_set_member_name(builder, "controller");
    json_builder_add_string_value(builder, controller->settings->name);
    json_builder_set_member_name(builder, "generation");
    json_builder_add_int_value(
        builder, (int64_t)config_feed_generation(controller->feed));
    json_builder_set_member_name(builder, "host_list_age_ms");
    json_builder_add_int_value(builder,
                               fleet_view_list_age_ms(controller->view));
    json_builder_set_member_name(builder, "pools");
    json_builder_begin_object(builder);
    for (guint i = 0;
         controller->plan != NULL && i < controller->plan->reports->len; i++) {
        const struct fleet_pool_report *report = &g_array_index(
            controller->plan->reports, struct fleet_pool_report, i);
        json_builder_set_member_name(builder, report->pool);
        json_builder_begin_object(builder);
        fleet_status_add_pool(builder, report);
        json_builder_end_object(builder);
    }
    json_builder_end_object(builder);
    json_builder_set_member_name(builder, "waves");
    json_builder_begin_array(builder);
    GHashTableIter iter;
    void *value = NULL;
    g_hash_table_iter_init(
        &iter, record_table_items(fleet_view_waves(controller->view)));
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct record_item *item = value;
        if (item->record != NULL) {
            fleet_status_add_wave(builder, item->record);
        }
    }
    json_builder_end_array(builder);
}

static void
on_refresh(void *ctx)
{
    struct controller *controller = ctx;
    struct store_stats stats = store_stats_get(controller->store);
    struct counters *counters = controller->counters;
    counters_set(counters, "egret_store_calls_total", NULL,
                 (int64_t)stats.calls);
    counters_set(counters, "egret_store_bytes_in_total", NULL,
                 (int64_t)stats.bytes_in);
    counters_set(counters, "egret_store_bytes_out_total", NULL,
                 (int64_t)stats.bytes_out);
}

static bool
start_status(void *ctx, struct status *status)
{
    struct controller *controller = ctx;
    controller->status = fleet_status_create(
        &(struct fleet_status_options){
            .settings = controller->settings,
            .secret = controller->secret,
            .counters = controller->counters,
            .ready = is_ready,
            .build = on_build,
            .refresh = on_refresh,
            .ctx = controller,
        },
        status);
    return controller->status != NULL;
}

static void
stop_status(void *ctx)
{
    struct controller *controller = ctx;
    g_clear_pointer(&controller->status, fleet_status_destroy);
}

static bool
start_ticks(void *ctx, struct status *status)
{
    struct controller *controller = ctx;
    (void)status;
    controller->last_tick_ms = ms_clock_now(&controller->clock);
    controller->tick_source = g_timeout_add(
        (guint)controller->settings->fleet.tick_ms, on_tick, controller);
    log_line(LOG_LEVEL_INFO, "started", "name=%s dc=%s http_port=%u",
             controller->settings->name, controller->settings->dc,
             fleet_status_port(controller->status));
    return true;
}

static void
stop_ticks(void *ctx)
{
    struct controller *controller = ctx;
    g_clear_handle_id(&controller->tick_source, g_source_remove);
    g_clear_handle_id(&controller->coalesce_source, g_source_remove);
}

static void
add_children(struct controller *controller)
{
    const struct supervisor_child children[] = {
        {"store", start_store, stop_store, controller},
        {"config", start_feed, stop_feed, controller},
        {"view", start_view, stop_view, controller},
        {"status", start_status, stop_status, controller},
        {"ticks", start_ticks, stop_ticks, controller},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(children); i++) {
        supervisor_add(controller->supervisor, &children[i]);
    }
}

struct controller *
controller_create(const struct settings *settings, const char *secret)
{
    struct controller *controller = g_new0(struct controller, 1);
    controller->settings = settings;
    controller->secret = secret;
    controller->clock = ms_clock_system();
    controller->loop = g_main_loop_new(NULL, FALSE);
    controller->counters = counters_create();
    controller->supervisor = supervisor_create();
    add_children(controller);
    return controller;
}

void
controller_destroy(struct controller *controller)
{
    if (controller == NULL) {
        return;
    }
    supervisor_destroy(controller->supervisor);
    counters_destroy(controller->counters);
    g_main_loop_unref(controller->loop);
    g_free(controller);
}

bool
controller_run(struct controller *controller, struct status *status)
{
    if (!supervisor_start(controller->supervisor, status)) {
        return false;
    }
    g_main_loop_run(controller->loop);
    supervisor_stop(controller->supervisor);
    return true;
}

void
controller_stop(struct controller *controller)
{
    g_main_loop_quit(controller->loop);
}
