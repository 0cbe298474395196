/* Hosts of the model, whose incarnations have ids of their own. */
#include "model_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    ID_BYTES = 16,
    HOST_LIST_PERIOD_MS = 400,
    /* The platform may be slow. */
    HOST_LIST_DELAY_MAX_MS = 3000,
};

const char *
incarnation_id(const struct sim *sim, int index, uint32_t life)
{
    char id[ID_BYTES];
    if (!sim->faults.new_ids || life == 0) {
        return sim->backends[index].id;
    }
    snprintf(id, sizeof(id), "b%d-%u", index, life);
    return g_intern_string(id);
}

uint32_t
addressed_life(const struct backend *backend)
{
    const char *dash = strchr(backend->entry.id, '-');
    return dash == NULL ? 0 : (uint32_t)strtoul(dash + 1, NULL, 10);
}

void
request_hosts(struct sim *sim)
{
    if (!sim->faults.new_ids || sim->now_ms % HOST_LIST_PERIOD_MS != 0) {
        return;
    }
    struct message *message = send_message(
        sim, MESSAGE_HOST_LIST, sim->current,
        g_rand_int_range(sim->random, 5,
                         faults_active(sim) ? HOST_LIST_DELAY_MAX_MS : 50));
    message->start_ms = sim->now_ms;
    for (int i = 0; i < BACKEND_COUNT; i++) {
        message->host_lives[i] = sim->lives[i].number;
    }
}

void
deliver_hosts(const struct message *message)
{
    static const char *const names[] = {"m0", "m1", "m2", "m3"};
    struct leader *leader = message->leader;
    if (leader->killed) {
        return;
    }
    struct host_info hosts[BACKEND_COUNT];
    for (int i = 0; i < BACKEND_COUNT; i++) {
        hosts[i] = (struct host_info){
            .host = names[i],
            .pool = "p",
            .backend_id =
                incarnation_id(leader->sim, i, message->host_lives[i]),
            .data_centre = "dc",
            .up = true,
        };
    }
    scheduler_hosts_read(leader->sched, hosts, BACKEND_COUNT,
                         message->start_ms);
}
