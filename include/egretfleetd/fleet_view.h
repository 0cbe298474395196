/* All data that a controller reads, combined into the planner's snapshot. */
#ifndef EGRETFLEETD_FLEET_VIEW_H
#define EGRETFLEETD_FLEET_VIEW_H

#include "common/settings.h"
#include "core/fleet_snapshot.h"
#include "egretd/config_feed.h"
#include "egretfleetd/record_table.h"
#include "store/host_list.h"
#include "store/host_records.h"

/**
 * struct fleet_view_options - sources and change callback
 * @changed: called when data that the planner uses has changed
 * @ctx: passed to @changed
 */
struct fleet_view_options {
    const struct settings *settings;
    struct store *store;
    struct ms_clock clock;
    struct config_feed *feed;
    void (*changed)(void *ctx);
    void *ctx;
};

struct fleet_view;

struct fleet_view *
fleet_view_create(const struct fleet_view_options *options);
void
fleet_view_destroy(struct fleet_view *view);

/** fleet_view_ready() - whether the configuration and all stored records have
 * been read once. */
bool
fleet_view_ready(const struct fleet_view *view);

/** fleet_view_snapshot() - current snapshot; valid until control returns to
 * the main loop or the next call. */
const struct fleet_snapshot *
fleet_view_snapshot(struct fleet_view *view);

/** fleet_view_records() - host records; the caller may put newer ones. */
struct host_records *
fleet_view_records(struct fleet_view *view);

/** fleet_view_disruptions(), fleet_view_waves() - disruption records by pool,
 * waves by number. */
struct record_table *
fleet_view_disruptions(struct fleet_view *view);
struct record_table *
fleet_view_waves(struct fleet_view *view);

/** fleet_view_list_age_ms() - time since the host list was last received,
 * INT64_MAX before the first time. */
int64_t
fleet_view_list_age_ms(const struct fleet_view *view);

#endif
