/* History of the sets of registered gateways; finds earlier owners of ids. */
#include "request_views.h"

#include <glib.h>
#include <string.h>

#include "core/rendezvous.h"
#include "core/request_ids.h"

struct view {
    GPtrArray *members;
    int64_t replaced_ms;
};

struct request_views {
    char *self;
    int64_t retention_ms;
    uint64_t epoch;
    /* Until then there may have been owners that no known set contains. */
    int64_t unknown_until_ms;
    int64_t now_ms;
    /* Oldest first; the last one is current. */
    GQueue views;
};

static void
view_destroy(void *data)
{
    struct view *view = data;
    g_ptr_array_unref(view->members);
    g_free(view);
}

static struct view *
view_create(const char *const *members, size_t n_members, const char *except)
{
    struct view *view = g_new0(struct view, 1);
    view->members = g_ptr_array_new_with_free_func(g_free);
    view->replaced_ms = INT64_MAX;
    for (size_t i = 0; i < n_members; i++) {
        if (g_strcmp0(members[i], except) != 0) {
            g_ptr_array_add(view->members, g_strdup(members[i]));
        }
    }
    return view;
}

static const char *
view_owner(const struct view *view, const char *team, const char *id)
{
    return rendezvous_owner((const char *const *)view->members->pdata,
                            view->members->len, team, id);
}

struct request_views *
request_views_create(const char *self, int64_t retention_ms)
{
    struct request_views *views = g_new0(struct request_views, 1);
    views->self = g_strdup(self);
    views->retention_ms = retention_ms;
    return views;
}

void
request_views_destroy(struct request_views *views)
{
    g_queue_clear_full(&views->views, view_destroy);
    g_free(views->self);
    g_free(views);
}

static void
replace_newest(struct request_views *views, int64_t now_ms)
{
    struct view *newest = g_queue_peek_tail(&views->views);
    if (newest != NULL) {
        newest->replaced_ms = now_ms;
    }
}

/* If this gateway joined an empty set, the earlier gateways are all gone and
 * nobody knows which ids they ran, unless it is the first gateway ever. */
static void
detect_unknown_past(struct request_views *views, uint64_t epoch,
                    int64_t now_ms)
{
    const struct view *first = g_queue_peek_head(&views->views);
    if (first->members->len == 0 && epoch > 1) {
        views->unknown_until_ms = now_ms + views->retention_ms;
    }
}

void
request_views_set(struct request_views *views, const char *const *members,
                  size_t n_members, uint64_t epoch, int64_t now_ms)
{
    bool first = views->views.length == 0;
    if (!first && epoch <= views->epoch) {
        return;
    }
    if (first) {
        /* The set before this gateway joined; the owner of an id in it
         * knows still earlier owners. */
        g_queue_push_tail(&views->views,
                          view_create(members, n_members, views->self));
        detect_unknown_past(views, epoch, now_ms);
    }
    replace_newest(views, now_ms);
    g_queue_push_tail(&views->views, view_create(members, n_members, NULL));
    views->epoch = epoch;
}

void
request_views_expire(struct request_views *views, int64_t now_ms)
{
    struct view *oldest;
    views->now_ms = now_ms;
    while ((oldest = g_queue_peek_head(&views->views)) != NULL &&
           oldest->replaced_ms != INT64_MAX &&
           now_ms - oldest->replaced_ms > views->retention_ms) {
        view_destroy(g_queue_pop_head(&views->views));
    }
}

const char *
request_views_owner(const struct request_views *views, const char *team,
                    const char *id)
{
    const struct view *newest = g_queue_peek_tail((GQueue *)&views->views);
    return newest != NULL ? view_owner(newest, team, id) : NULL;
}

bool
request_views_registered(const struct request_views *views, const char *member)
{
    const struct view *newest = g_queue_peek_tail((GQueue *)&views->views);
    return newest != NULL && g_ptr_array_find_with_equal_func(
                                 newest->members, member, g_str_equal, NULL);
}

static bool
contains(const char *const *names, size_t n_names, const char *name)
{
    for (size_t i = 0; i < n_names; i++) {
        if (strcmp(names[i], name) == 0) {
            return true;
        }
    }
    return false;
}

size_t
request_views_earlier(const struct request_views *views, const char *team,
                      const char *id, const char **earlier, bool *more)
{
    size_t n = 0;
    *more = views->now_ms < views->unknown_until_ms;
    const GList *link = views->views.tail;
    for (link = link ? link->prev : NULL; link != NULL; link = link->prev) {
        const char *owner = view_owner(link->data, team, id);
        if (owner == NULL || strcmp(owner, views->self) == 0 ||
            contains(earlier, n, owner)) {
            continue;
        }
        if (n == REQUEST_IDS_EARLIER_OWNERS_MAX) {
            *more = true;
            break;
        }
        earlier[n++] = owner;
    }
    return n;
}
