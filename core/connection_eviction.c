#include "core/connection_eviction.h"

static size_t
choose_longest(const struct connection_facts *facts, size_t n_facts,
               int64_t min_bytes, int64_t latest_ms)
{
    size_t chosen = CONNECTION_EVICTION_NONE;
    int64_t chosen_ms = 0;
    for (size_t i = 0; i < n_facts; i++) {
        const struct connection_facts *one = &facts[i];
        if (one->state == CONNECTION_SERVING || one->held_bytes < min_bytes ||
            one->since_ms > latest_ms) {
            continue;
        }
        if (chosen == CONNECTION_EVICTION_NONE || one->since_ms < chosen_ms) {
            chosen = i;
            chosen_ms = one->since_ms;
        }
    }
    return chosen;
}

size_t
connection_eviction_choose(const struct connection_facts *facts,
                           size_t n_facts)
{
    return choose_longest(facts, n_facts, 0, INT64_MAX);
}

size_t
connection_eviction_choose_holder(const struct connection_facts *facts,
                                  size_t n_facts, int64_t latest_ms)
{
    return choose_longest(facts, n_facts, 1, latest_ms);
}

size_t
connection_eviction_choose_unsized(const struct connection_facts *facts,
                                   size_t n_facts)
{
    size_t chosen = CONNECTION_EVICTION_NONE;
    int64_t chosen_bytes = 0;
    for (size_t i = 0; i < n_facts; i++) {
        if (facts[i].state == CONNECTION_READING_BODY &&
            facts[i].unsized_bytes > chosen_bytes) {
            chosen = i;
            chosen_bytes = facts[i].unsized_bytes;
        }
    }
    return chosen;
}

bool
connection_timed_out(const struct connection_facts *facts,
                     const struct connection_timeouts *timeouts,
                     int64_t now_ms)
{
    int64_t waited_ms = now_ms - facts->since_ms;
    switch (facts->state) {
    case CONNECTION_READING_HEAD:
        return waited_ms >= timeouts->head_ms;
    case CONNECTION_READING_BODY:
    case CONNECTION_WRITING:
        return waited_ms >= timeouts->stall_ms;
    default:
        return false;
    }
}
