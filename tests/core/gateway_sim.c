#include "gateway_sim.h"

#include <math.h>

static double
uniform(struct sim *sim)
{
    return (random_below(&sim->random, 1000000) + 1) / 1000001.0;
}

struct sim *
sim_create(const struct sim_options *options)
{
    struct sim *sim = g_new0(struct sim, 1);
    sim->options = *options;
    sim->random = random_seeded(options->seed);
    sim->out = g_array_new(FALSE, FALSE, sizeof(struct sim_task));
    sim->task_teams = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    sim->task_times = g_array_new(FALSE, FALSE, sizeof(int64_t));
    sim->fixture = fixture_create(&(struct fixture_size){
        .dcs = 2,
        .pools = 2,
        .teams = options->teams,
        .hosts = options->hosts,
        .slots = options->slots,
    });
    struct config *config = &sim->fixture->config;
    config->unit = options->unit;
    config->queues[1].urgent = true;
    g_free(config->queues[1].pool);
    config->queues[1].pool = g_strdup("pool-0");
    for (uint32_t i = 0; i < options->teams; i++) {
        config->teams[i].share_permille = options->share_permille[i];
    }
    for (uint32_t i = 0; i < options->hosts; i++) {
        g_free((char *)sim->fixture->hosts[i].pool);
        sim->fixture->hosts[i].pool = g_strdup("pool-0");
    }
    for (uint32_t i = 0; i < options->gateways; i++) {
        sim->dispatch[i] = dispatch_create(&(struct dispatch_options){
            .seed = options->seed * 100 + i,
            .dc = i % 2 == 0 ? "dc-0" : "dc-1",
        });
        dispatch_set_config(sim->dispatch[i], config);
        dispatch_set_quorum_lease(sim->dispatch[i], INT64_MAX);
        for (uint32_t j = 0; j < options->teams; j++) {
            dispatch_set_permits(sim->dispatch[i], config->teams[j].name,
                                 100000);
        }
    }
    sim_hosts_changed(sim);
    return sim;
}

void
sim_destroy(struct sim *sim)
{
    for (uint32_t i = 0; i < sim->options.gateways; i++) {
        dispatch_destroy(sim->dispatch[i]);
    }
    g_array_unref(sim->out);
    g_array_unref(sim->task_teams);
    g_array_unref(sim->task_times);
    fixture_destroy(sim->fixture);
    g_free(sim);
}

void
sim_hosts_changed(struct sim *sim)
{
    for (uint32_t i = 0; i < sim->options.gateways; i++) {
        dispatch_set_hosts(sim->dispatch[i], sim->fixture->hosts,
                           sim->fixture->n_hosts);
    }
}

static void
submit(struct sim *sim, uint32_t team, uint32_t gateway)
{
    uint32_t queue = sim->options.urgent[team] ? 1 : 0;
    struct dispatch_task task =
        fixture_task(sim->fixture, team, queue, sim->task_teams->len);
    int64_t retry_after_ms;
    enum reason reason = dispatch_submit(sim->dispatch[gateway], &task,
                                         sim->now_ms, &retry_after_ms);
    sim->teams[team].submitted++;
    if (reason != REASON_NONE) {
        sim->teams[team].refused_at_once++;
        return;
    }
    g_array_append_val(sim->task_teams, team);
    g_array_append_val(sim->task_times, sim->now_ms);
}

/* Arrivals of one tick: one with the probability of the rate, many when the
 * rate is above one a tick. */
static void
arrive(struct sim *sim, uint32_t team, uint32_t gateway)
{
    double left =
        sim->options.rate(team, gateway, sim->now_ms) * SIM_TICK_MS / 1000.0;
    while (left > 0) {
        if (uniform(sim) < left) {
            submit(sim, team, gateway);
        }
        left -= 1;
    }
}

static void
begin(struct sim *sim, uint32_t gateway, const struct dispatch_action *action)
{
    const struct sim_options *options = &sim->options;
    uint32_t host = (uint32_t)g_ascii_strtoull(action->host + 5, NULL, 10);
    uint32_t team = g_array_index(sim->task_teams, uint32_t, action->task);
    int64_t wait_ms =
        sim->now_ms - g_array_index(sim->task_times, int64_t, action->task);
    struct sim_task task = {
        .attempt = action->attempt,
        .gateway = gateway,
        .team = team,
        .host = host,
        .ends_ms = sim->now_ms,
        .result = ATTEMPT_REFUSED,
    };
    dispatch_sent(sim->dispatch[gateway], action->attempt, sim->now_ms);
    sim->starts++;
    if (sim->host_running[host] < options->slots) {
        sim->teams[team].longest_wait_ms =
            MAX(sim->teams[team].longest_wait_ms, wait_ms);
        sim->host_running[host]++;
        sim->host_starts[host]++;
        task.result = ATTEMPT_DONE;
        task.ends_ms +=
            (int64_t)(-log(uniform(sim)) * (double)options->run_ms[team]);
        if (options->host_fails != NULL &&
            options->host_fails(host, team, sim->now_ms)) {
            task.result = ATTEMPT_FAILED;
            task.ends_ms = sim->now_ms;
        }
    }
    g_array_append_val(sim->out, task);
}

static void
end(struct sim *sim, const struct sim_task *task)
{
    struct dispatch *dispatch = sim->dispatch[task->gateway];
    char host[FIXTURE_NAME_BYTES];
    g_snprintf(host, sizeof(host), "host-%u", task->host);
    if (task->result == ATTEMPT_REFUSED) {
        sim->refusals++;
    }
    else {
        sim->host_running[task->host]--;
        sim->teams[task->team].done += task->result == ATTEMPT_DONE;
        sim->teams[task->team].failed += task->result == ATTEMPT_FAILED;
    }
    dispatch_host_load(dispatch, host, sim->host_running[task->host],
                       sim->now_ms);
    dispatch_attempt_ended(dispatch, task->attempt, task->result, sim->now_ms);
}

static void
end_due(struct sim *sim)
{
    for (guint i = 0; i < sim->out->len;) {
        struct sim_task task = g_array_index(sim->out, struct sim_task, i);
        if (task.ends_ms >= sim->now_ms) {
            i++;
            continue;
        }
        g_array_remove_index_fast(sim->out, i);
        end(sim, &task);
    }
}

static void
run_actions(struct sim *sim, uint32_t gateway)
{
    struct dispatch_action action;
    while (dispatch_next(sim->dispatch[gateway], sim->now_ms, &action)) {
        if (action.type == DISPATCH_START) {
            begin(sim, gateway, &action);
        }
        else {
            uint32_t team =
                g_array_index(sim->task_teams, uint32_t, action.task);
            sim->teams[team].refused_later++;
            sim->refused_for[action.reason]++;
        }
    }
}

static void
exchange(struct sim *sim, uint32_t gateway)
{
    const struct dispatch_usage *entries;
    size_t n =
        dispatch_usage_get(sim->dispatch[gateway], &entries, sim->now_ms);
    char name[FIXTURE_NAME_BYTES];
    g_snprintf(name, sizeof(name), "gateway-%u", gateway);
    for (uint32_t i = 0; i < sim->options.gateways; i++) {
        if (i != gateway) {
            dispatch_peer_usage(sim->dispatch[i], name, entries, n,
                                sim->now_ms);
        }
    }
}

static void
count_slots(struct sim *sim)
{
    for (guint i = 0; i < sim->out->len; i++) {
        const struct sim_task *task =
            &g_array_index(sim->out, struct sim_task, i);
        if (task->result != ATTEMPT_REFUSED) {
            sim->teams[task->team].slot_ms += SIM_TICK_MS;
        }
    }
}

static void
tick(struct sim *sim)
{
    const struct sim_options *options = &sim->options;
    sim->now_ms += SIM_TICK_MS;
    count_slots(sim);
    end_due(sim);
    for (uint32_t i = 0; i < options->gateways; i++) {
        for (uint32_t j = 0; j < options->teams; j++) {
            arrive(sim, j, i);
        }
        run_actions(sim, i);
        int64_t offset_ms = i * SIM_EXCHANGE_MS / options->gateways;
        int64_t turn = (sim->now_ms + offset_ms) / SIM_TICK_MS;
        if (options->exchange && turn % (SIM_EXCHANGE_MS / SIM_TICK_MS) == 0) {
            exchange(sim, i);
        }
    }
}

void
sim_run(struct sim *sim, int64_t for_ms)
{
    int64_t until_ms = sim->now_ms + for_ms;
    while (sim->now_ms < until_ms) {
        tick(sim);
    }
}

void
sim_clear_counts(struct sim *sim)
{
    memset(sim->teams, 0, sizeof(sim->teams));
    memset(sim->host_starts, 0, sizeof(sim->host_starts));
    memset(sim->refused_for, 0, sizeof(sim->refused_for));
    sim->refusals = 0;
    sim->starts = 0;
}

static double
service(const struct sim *sim, uint32_t team)
{
    return sim->options.unit == SERVICE_UNIT_TASK
               ? (double)sim->teams[team].done
               : (double)sim->teams[team].slot_ms;
}

double
sim_share_error(const struct sim *sim)
{
    double total = 0;
    double shares = 0;
    double worst = 0;
    for (uint32_t i = 0; i < sim->options.teams; i++) {
        total += service(sim, i);
        shares += sim->options.share_permille[i];
    }
    for (uint32_t i = 0; i < sim->options.teams; i++) {
        double due = total * sim->options.share_permille[i] / shares;
        worst = MAX(worst, fabs(service(sim, i) - due) / due);
    }
    return worst;
}

double
sim_busy_part(const struct sim *sim, int64_t for_ms)
{
    double busy_ms = 0;
    for (uint32_t i = 0; i < sim->options.teams; i++) {
        busy_ms += (double)sim->teams[i].slot_ms;
    }
    uint32_t slots = sim->options.hosts * sim->options.slots;
    return busy_ms / ((double)for_ms * slots);
}
