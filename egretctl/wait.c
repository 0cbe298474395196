#include <inttypes.h>
#include <stdio.h>

#include "change.h"
#include "gateways.h"

enum {
    POLL_INTERVAL_MS = 200,
};

/**
 * struct rollout - which gateways have activated a generation
 * @stored: head at the store, read after the gateways have responded so that
 *          it is at least as new as their state; NULL if it can't be read
 * @n_voting: registered gateways that are not fenced; a change is accepted
 *            once a majority of them has activated it
 * @n_live: gateways in state "live"
 * @n_active: live gateways that have activated the generation
 * @pending: names of the other live gateways, with the reasons
 */
struct rollout {
    struct config_head *stored;
    unsigned n_voting;
    unsigned n_live;
    unsigned n_active;
    GString *pending;
};

/* Why a live gateway does not count as having activated @generation, or
 * NULL. */
static const char *
pending_reason(const struct rollout *rollout, const struct gateway *gateway,
               uint64_t generation)
{
    int64_t active_generation = gateway_response_int(gateway, "generation");
    const char *id = gateway_response_string(gateway, "config_id");
    const struct config_head *head = rollout->stored;
    if (gateway->error_text != NULL) {
        return gateway->error_text;
    }
    if (active_generation < (int64_t)generation) {
        return "older generation";
    }
    if (head != NULL && active_generation > (int64_t)head->generation) {
        return "has a generation that the store does not know; see apply "
               "--yes";
    }
    if (head != NULL && active_generation == (int64_t)head->generation &&
        id != NULL && !g_str_equal(id, head->id)) {
        return "has different content under this generation; see apply --yes";
    }
    return NULL;
}

static void
count_gateway(struct rollout *rollout, const struct gateway *gateway,
              uint64_t generation)
{
    rollout->n_voting += g_strcmp0(gateway->state, "fenced") != 0;
    if (g_strcmp0(gateway->state, "live") != 0) {
        return;
    }
    rollout->n_live++;
    const char *reason = pending_reason(rollout, gateway, generation);
    if (reason == NULL) {
        rollout->n_active++;
        return;
    }
    g_string_append_printf(rollout->pending, "%s%s (%s)",
                           rollout->pending->len == 0 ? "" : ", ",
                           gateway->name, reason);
}

static bool
read_rollout(struct ctl *ctl, uint64_t generation, struct rollout *rollout)
{
    struct status status;
    GPtrArray *gateways = gateways_fetch(ctl, &status);
    rollout->n_voting = 0;
    rollout->n_live = 0;
    rollout->n_active = 0;
    g_string_set_size(rollout->pending, 0);
    if (gateways == NULL) {
        return false;
    }
    gateways_query(ctl, gateways, "/v1/status");
    config_head_destroy(rollout->stored);
    rollout->stored = ctl_head(ctl);
    for (guint i = 0; i < gateways->len; i++) {
        count_gateway(rollout, g_ptr_array_index(gateways, i), generation);
    }
    g_ptr_array_unref(gateways);
    return true;
}

static gboolean
on_delay_over(void *data)
{
    struct ctl *ctl = data;
    g_main_loop_quit(ctl->loop);
    return G_SOURCE_REMOVE;
}

static void
run_loop_for_ms(struct ctl *ctl, guint delay_ms)
{
    g_timeout_add(delay_ms, on_delay_over, ctl);
    g_main_loop_run(ctl->loop);
}

static void
print_rollout(const struct ctl *ctl, const struct rollout *rollout,
              uint64_t generation, bool accepted)
{
    if (ctl->options.json) {
        printf("{\"generation\": %" PRIu64 ", \"accepted\": %s, "
               "\"in_force\": %u, \"gateways\": %u, \"pending\": \"%s\"}\n",
               generation, accepted ? "true" : "false", rollout->n_active,
               rollout->n_live, rollout->pending->str);
        return;
    }
    printf("generation %" PRIu64 " is %s: in force on %u of %u gateways\n",
           generation, accepted ? "accepted" : "written, not yet accepted",
           rollout->n_active, rollout->n_live);
    if (rollout->pending->len > 0) {
        printf("pending: %s\n", rollout->pending->str);
    }
}

static bool
is_accepted(const struct rollout *rollout)
{
    return rollout->n_active * 2 > rollout->n_voting;
}

/* Printed once, so that an operator who waits for a slow gateway sees that the
 * change is already accepted. */
static void
report_accepted_once(const struct ctl *ctl, const struct rollout *rollout,
                     bool *reported)
{
    if (*reported || ctl->options.json || !is_accepted(rollout)) {
        return;
    }
    *reported = true;
    fprintf(stderr, "accepted by %u of %u gateways, waiting for %s\n",
            rollout->n_active, rollout->n_live, rollout->pending->str);
}

enum ctl_exit
change_wait(struct ctl *ctl, uint64_t generation)
{
    struct rollout rollout = {.pending = g_string_new(NULL)};
    int64_t end_us =
        g_get_monotonic_time() + ctl->options.wait_s * G_USEC_PER_SEC;
    bool active_everywhere = false;
    bool reported = false;
    for (;;) {
        bool known = read_rollout(ctl, generation, &rollout);
        active_everywhere =
            known && rollout.n_live > 0 && rollout.n_active == rollout.n_live;
        if (active_everywhere || g_get_monotonic_time() >= end_us) {
            break;
        }
        report_accepted_once(ctl, &rollout, &reported);
        run_loop_for_ms(ctl, POLL_INTERVAL_MS);
    }
    print_rollout(ctl, &rollout, generation, is_accepted(&rollout));
    config_head_destroy(rollout.stored);
    g_string_free(rollout.pending, TRUE);
    return active_everywhere ? CTL_OK : CTL_PENDING;
}
