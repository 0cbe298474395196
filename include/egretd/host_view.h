/* Joins the platform's host list with the host records of the fleet
 * controllers. */
#ifndef EGRETD_HOST_VIEW_H
#define EGRETD_HOST_VIEW_H

#include "common/ms_clock.h"
#include "common/settings.h"
#include "core/dispatch.h"
#include "store/store.h"

/**
 * struct host_view_options - what the view works with
 * @changed: the hosts changed; @hosts is valid until the next call
 */
struct host_view_options {
    const struct settings *settings;
    struct store *store;
    struct ms_clock clock;
    void (*changed)(void *ctx, const struct dispatch_host *hosts,
                    size_t n_hosts);
    void *ctx;
};

struct host_view;

struct host_view *
host_view_create(const struct host_view_options *options);
void
host_view_destroy(struct host_view *view);

/** host_view_each_draining() - call @each for every listed host whose record
 * is draining. */
void
host_view_each_draining(const struct host_view *view,
                        void (*each)(void *ctx, const char *host), void *ctx);

#endif
