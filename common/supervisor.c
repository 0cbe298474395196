#include "common/supervisor.h"

#include <glib.h>

#include "common/log.h"

struct supervisor {
    GArray *children;
    guint n_running;
};

static struct supervisor_child *
child_at(const struct supervisor *supervisor, guint i)
{
    return &g_array_index(supervisor->children, struct supervisor_child, i);
}

struct supervisor *
supervisor_create(void)
{
    struct supervisor *supervisor = g_new0(struct supervisor, 1);
    supervisor->children =
        g_array_new(FALSE, TRUE, sizeof(struct supervisor_child));
    return supervisor;
}

void
supervisor_destroy(struct supervisor *supervisor)
{
    if (supervisor == NULL) {
        return;
    }
    supervisor_stop(supervisor);
    g_array_unref(supervisor->children);
    g_free(supervisor);
}

void
supervisor_add(struct supervisor *supervisor,
               const struct supervisor_child *child)
{
    g_array_append_vals(supervisor->children, child, 1);
}

static void
stop_down_to(struct supervisor *supervisor, guint first)
{
    while (supervisor->n_running > first) {
        supervisor->n_running--;
        struct supervisor_child *child =
            child_at(supervisor, supervisor->n_running);
        log_line(LOG_LEVEL_DEBUG, "part-stop", "part=%s", child->name);
        child->stop(child->ctx);
    }
}

static bool
start_remaining(struct supervisor *supervisor, struct status *status)
{
    while (supervisor->n_running < supervisor->children->len) {
        struct supervisor_child *child =
            child_at(supervisor, supervisor->n_running);
        log_line(LOG_LEVEL_DEBUG, "part-start", "part=%s", child->name);
        if (!child->start(child->ctx, status)) {
            log_line(LOG_LEVEL_ERROR, "part-failed", "part=%s reason=%s",
                     child->name, log_quote(status->message));
            return false;
        }
        supervisor->n_running++;
    }
    return true;
}

bool
supervisor_start(struct supervisor *supervisor, struct status *status)
{
    if (start_remaining(supervisor, status)) {
        return true;
    }
    stop_down_to(supervisor, 0);
    return false;
}

void
supervisor_stop(struct supervisor *supervisor)
{
    stop_down_to(supervisor, 0);
}

bool
supervisor_restart(struct supervisor *supervisor, const char *name,
                   struct status *status)
{
    for (guint i = 0; i < supervisor->children->len; i++) {
        if (g_str_equal(child_at(supervisor, i)->name, name)) {
            stop_down_to(supervisor, i);
            return start_remaining(supervisor, status);
        }
    }
    status_set(status, STATUS_NOT_FOUND, "no component is named %s", name);
    return false;
}

static bool
start_nested(void *ctx, struct status *status)
{
    return supervisor_start(ctx, status);
}

static void
stop_nested(void *ctx)
{
    supervisor_stop(ctx);
}

struct supervisor_child
supervisor_as_child(struct supervisor *supervisor, const char *name)
{
    return (struct supervisor_child){
        .name = name,
        .start = start_nested,
        .stop = stop_nested,
        .ctx = supervisor,
    };
}
