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
    sim->attempts = g_array_new(FALSE, FALSE, sizeof(struct sim_attempt));
    sim->task_teams = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    sim->task_submit_times = g_array_new(FALSE, FALSE, sizeof(int64_t));
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
    sim_update_hosts(sim);
    return sim;
}

void
sim_destroy(struct sim *sim)
{
    for (uint32_t i = 0; i < sim->options.gateways; i++) {
        dispatch_destroy(sim->dispatch[i]);
    }
    g_array_unref(sim->attempts);
    g_array_unref(sim->task_teams);
    g_array_unref(sim->task_submit_times);
    fixture_destroy(sim->fixture);
    g_free(sim);
}

void
sim_update_hosts(struct sim *sim)
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
        sim->teams[team].refused_on_submit++;
        return;
    }
    g_array_append_val(sim->task_teams, team);
    g_array_append_val(sim->task_submit_times, sim->now_ms);
}

/* Submits the arrivals of one tick: the whole part of the rate per tick, and
 * one more with the probability of the remainder. */
static void
generate_arrivals(struct sim *sim, uint32_t team, uint32_t gateway)
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
start_attempt(struct sim *sim, uint32_t gateway,
              const struct dispatch_action *action)
{
    const struct sim_options *options = &sim->options;
    uint32_t host = (uint32_t)g_ascii_strtoull(action->host + 5, NULL, 10);
    uint32_t team = g_array_index(sim->task_teams, uint32_t, action->task);
    int64_t wait_ms = sim->now_ms - g_array_index(sim->task_submit_times,
                                                  int64_t, action->task);
    struct sim_attempt attempt = {
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
        sim->teams[team].wait_max_ms =
            MAX(sim->teams[team].wait_max_ms, wait_ms);
        sim->host_running[host]++;
        sim->host_starts[host]++;
        attempt.result = ATTEMPT_DONE;
        attempt.ends_ms +=
            (int64_t)(-log(uniform(sim)) * (double)options->run_ms[team]);
        if (options->host_fails != NULL &&
            options->host_fails(host, team, sim->now_ms)) {
            attempt.result = ATTEMPT_FAILED;
            attempt.ends_ms = sim->now_ms;
        }
    }
    g_array_append_val(sim->attempts, attempt);
}

static void
end_attempt(struct sim *sim, const struct sim_attempt *attempt)
{
    struct dispatch *dispatch = sim->dispatch[attempt->gateway];
    char host[FIXTURE_NAME_BYTES];
    g_snprintf(host, sizeof(host), "host-%u", attempt->host);
    if (attempt->result == ATTEMPT_REFUSED) {
        sim->host_refusals++;
    }
    else {
        sim->host_running[attempt->host]--;
        sim->teams[attempt->team].done += attempt->result == ATTEMPT_DONE;
        sim->teams[attempt->team].failed += attempt->result == ATTEMPT_FAILED;
    }
    dispatch_host_load(dispatch, host, sim->host_running[attempt->host],
                       sim->now_ms);
    dispatch_attempt_ended(dispatch, attempt->attempt, attempt->result,
                           sim->now_ms);
}

static void
end_due_attempts(struct sim *sim)
{
    for (guint i = 0; i < sim->attempts->len;) {
        struct sim_attempt attempt =
            g_array_index(sim->attempts, struct sim_attempt, i);
        if (attempt.ends_ms >= sim->now_ms) {
            i++;
            continue;
        }
        g_array_remove_index_fast(sim->attempts, i);
        end_attempt(sim, &attempt);
    }
}

static void
execute_actions(struct sim *sim, uint32_t gateway)
{
    struct dispatch_action action;
    while (dispatch_next(sim->dispatch[gateway], sim->now_ms, &action)) {
        if (action.type == DISPATCH_START) {
            start_attempt(sim, gateway, &action);
        }
        else {
            uint32_t team =
                g_array_index(sim->task_teams, uint32_t, action.task);
            sim->teams[team].refused_in_queue++;
            sim->refused_by_reason[action.reason]++;
        }
    }
}

static void
exchange_usage(struct sim *sim, uint32_t gateway)
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
count_slot_time(struct sim *sim)
{
    for (guint i = 0; i < sim->attempts->len; i++) {
        const struct sim_attempt *attempt =
            &g_array_index(sim->attempts, struct sim_attempt, i);
        if (attempt->result != ATTEMPT_REFUSED) {
            sim->teams[attempt->team].busy_slot_ms += SIM_TICK_MS;
        }
    }
}

static void
tick(struct sim *sim)
{
    const struct sim_options *options = &sim->options;
    sim->now_ms += SIM_TICK_MS;
    count_slot_time(sim);
    end_due_attempts(sim);
    for (uint32_t i = 0; i < options->gateways; i++) {
        for (uint32_t j = 0; j < options->teams; j++) {
            generate_arrivals(sim, j, i);
        }
        execute_actions(sim, i);
        int64_t offset_ms = i * SIM_EXCHANGE_INTERVAL_MS / options->gateways;
        int64_t turn = (sim->now_ms + offset_ms) / SIM_TICK_MS;
        if (options->exchange_usage &&
            turn % (SIM_EXCHANGE_INTERVAL_MS / SIM_TICK_MS) == 0) {
            exchange_usage(sim, i);
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
sim_reset_counters(struct sim *sim)
{
    memset(sim->teams, 0, sizeof(sim->teams));
    memset(sim->host_starts, 0, sizeof(sim->host_starts));
    memset(sim->refused_by_reason, 0, sizeof(sim->refused_by_reason));
    sim->host_refusals = 0;
    sim->starts = 0;
}

static double
service(const struct sim *sim, uint32_t team)
{
    return sim->options.unit == SERVICE_UNIT_TASK
               ? (double)sim->teams[team].done
               : (double)sim->teams[team].busy_slot_ms;
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
sim_utilization(const struct sim *sim, int64_t for_ms)
{
    double busy_ms = 0;
    for (uint32_t i = 0; i < sim->options.teams; i++) {
        busy_ms += (double)sim->teams[i].busy_slot_ms;
    }
    uint32_t slots = sim->options.hosts * sim->options.slots;
    return busy_ms / ((double)for_ms * slots);
}
