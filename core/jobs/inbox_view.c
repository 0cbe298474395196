#include "core/jobs/inbox_view.h"

#include <glib.h>

void
inbox_view_loaded(struct inbox_view *view, int64_t requested_ms)
{
    view->known_ms = MAX(view->known_ms, requested_ms);
}

void
inbox_view_begin(struct inbox_view *view, int64_t now_ms)
{
    view->serial++;
    view->begun_ms = now_ms;
    view->listing = true;
    view->missed = false;
}

uint32_t
inbox_view_read(struct inbox_view *view)
{
    view->reads++;
    return view->serial;
}

static void
settle_due(struct inbox_view *view)
{
    if (view->due_serial != 0 && view->due_reads == 0) {
        view->known_ms = MAX(view->known_ms, view->due_begun_ms);
        view->due_serial = 0;
    }
}

void
inbox_view_read_done(struct inbox_view *view, uint32_t serial, bool known)
{
    view->reads--;
    bool due = view->due_serial != 0 && serial <= view->due_serial;
    if (due) {
        view->due_reads--;
    }
    if (!known) {
        /* The open listing may have passed over the message while the read
         * was open. */
        view->missed = true;
        if (due) {
            view->due_serial = 0;
        }
    }
    settle_due(view);
}

void
inbox_view_end(struct inbox_view *view, bool whole)
{
    view->listing = false;
    /* While the reads of an earlier listing are open, later ones are left out:
     * waiting for the newest would never end. */
    if (!whole || view->missed || view->due_serial != 0) {
        return;
    }
    view->due_serial = view->serial;
    view->due_begun_ms = view->begun_ms;
    view->due_reads = view->reads;
    settle_due(view);
}

int64_t
inbox_view_age_ms(const struct inbox_view *view, int64_t now_ms)
{
    return view->known_ms == 0 ? -1 : now_ms - view->known_ms;
}
