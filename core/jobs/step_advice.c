#include "core/jobs/step_advice.h"

#include <glib.h>

/**
 * struct verdict - advice on one backend server
 * @incarnation_start_ms: incarnation that the ticket is for
 * @ticket: NULL if it may not run the step
 * @until_ms: end of the ticket, on the scheduler's clock
 */
struct verdict {
    int64_t incarnation_start_ms;
    char *ticket;
    int64_t until_ms;
};

struct step_advice {
    GHashTable *by_backend;
};

static void
verdict_free(void *data)
{
    struct verdict *verdict = data;
    g_free(verdict->ticket);
    g_free(verdict);
}

struct step_advice *
step_advice_create(void)
{
    struct step_advice *advice = g_new0(struct step_advice, 1);
    advice->by_backend =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, verdict_free);
    return advice;
}

void
step_advice_destroy(struct step_advice *advice)
{
    if (advice == NULL) {
        return;
    }
    g_hash_table_unref(advice->by_backend);
    g_free(advice);
}

void
step_advice_refuse(struct step_advice *advice, const char *id,
                   int64_t incarnation_start_ms)
{
    step_advice_grant(advice, id, incarnation_start_ms, NULL, 0);
}

void
step_advice_grant(struct step_advice *advice, const char *id,
                  int64_t incarnation_start_ms, const char *ticket,
                  int64_t until_ms)
{
    struct verdict *verdict = g_new0(struct verdict, 1);
    verdict->incarnation_start_ms = incarnation_start_ms;
    verdict->ticket = g_strdup(ticket);
    verdict->until_ms = until_ms;
    g_hash_table_replace(advice->by_backend, g_strdup(id), verdict);
}

void
step_advice_forget(struct step_advice *advice, const char *id)
{
    g_hash_table_remove(advice->by_backend, id);
}

enum advice_status
step_advice_status(const struct step_advice *advice, const char *id,
                   int64_t incarnation_start_ms, int64_t now_ms)
{
    const struct verdict *verdict =
        advice == NULL ? NULL : g_hash_table_lookup(advice->by_backend, id);
    if (verdict == NULL) {
        return ADVICE_NOT_REQUESTED;
    }
    /* Permission to run a step doesn't change; a ticket is for one
     * incarnation. */
    if (verdict->ticket == NULL) {
        return ADVICE_REFUSED;
    }
    return verdict->incarnation_start_ms == incarnation_start_ms &&
                   now_ms < verdict->until_ms
               ? ADVICE_GRANTED
               : ADVICE_EXPIRED;
}

const char *
step_advice_ticket(const struct step_advice *advice, const char *id,
                   int64_t now_ms)
{
    const struct verdict *verdict =
        advice == NULL ? NULL : g_hash_table_lookup(advice->by_backend, id);
    return verdict != NULL && now_ms < verdict->until_ms ? verdict->ticket
                                                         : NULL;
}
