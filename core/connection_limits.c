#include "core/connection_limits.h"

enum {
    /* A client on a slow link reads a short response within a round trip or
     * two; a response that is unread for longer is given up for others. */
    UNREAD_GRACE_MS = 1000,
    /* Beyond the limit by one part in this, memory counts more than responses
     * that have just become ready. Until then a refusal can still be sent. */
    HARD_LIMIT_PART = 4,
};

static void
list_append(struct connection_limits *limits, struct connection_entry *entry)
{
    entry->older = limits->newest;
    entry->newer = NULL;
    if (limits->newest != NULL) {
        limits->newest->newer = entry;
    }
    else {
        limits->oldest = entry;
    }
    limits->newest = entry;
}

static void
list_remove(struct connection_limits *limits, struct connection_entry *entry)
{
    if (entry->older != NULL) {
        entry->older->newer = entry->newer;
    }
    else {
        limits->oldest = entry->newer;
    }
    if (entry->newer != NULL) {
        entry->newer->older = entry->older;
    }
    else {
        limits->newest = entry->older;
    }
    entry->older = NULL;
    entry->newer = NULL;
}

void
connection_limits_add(struct connection_limits *limits,
                      struct connection_entry *entry, int64_t now_ms)
{
    *entry = (struct connection_entry){
        .phase = CONNECTION_READING,
        .since_ms = now_ms,
    };
    limits->open++;
    list_append(limits, entry);
}

void
connection_limits_remove(struct connection_limits *limits,
                         struct connection_entry *entry)
{
    limits->open--;
    limits->bytes -= entry->bytes;
    entry->bytes = 0;
    if (entry->phase != CONNECTION_SERVED) {
        list_remove(limits, entry);
    }
}

void
connection_limits_enter(struct connection_limits *limits,
                        struct connection_entry *entry,
                        enum connection_phase phase, int64_t now_ms)
{
    if (entry->phase != CONNECTION_SERVED) {
        list_remove(limits, entry);
    }
    entry->phase = phase;
    entry->since_ms = now_ms;
    if (phase != CONNECTION_SERVED) {
        list_append(limits, entry);
    }
}

void
connection_limits_hold(struct connection_limits *limits,
                       struct connection_entry *entry, size_t bytes)
{
    limits->bytes = limits->bytes - entry->bytes + bytes;
    entry->bytes = bytes;
}

static bool
unread_for_long(const struct connection_entry *entry, int64_t now_ms)
{
    return entry->phase != CONNECTION_WRITING ||
           now_ms - entry->since_ms >= UNREAD_GRACE_MS;
}

static struct connection_entry *
longest_idle(const struct connection_limits *limits, int64_t now_ms,
             size_t bytes_min)
{
    struct connection_entry *entry = limits->oldest;
    while (entry != NULL &&
           (entry->bytes < bytes_min || !unread_for_long(entry, now_ms))) {
        entry = entry->newer;
    }
    return entry;
}

struct connection_entry *
connection_limits_longest_idle(const struct connection_limits *limits,
                               int64_t now_ms)
{
    return longest_idle(limits, now_ms, 0);
}

/* The connection whose buffers have to go; one that holds nothing does not
 * help. */
static struct connection_entry *
longest_holding(const struct connection_limits *limits, int64_t now_ms)
{
    struct connection_entry *entry = longest_idle(limits, now_ms, 1);
    if (entry != NULL || limits->bytes - limits->bytes_max <
                             limits->bytes_max / HARD_LIMIT_PART) {
        return entry;
    }
    entry = limits->oldest;
    while (entry != NULL && entry->bytes == 0) {
        entry = entry->newer;
    }
    return entry;
}

struct connection_entry *
connection_limits_excess(const struct connection_limits *limits,
                         int64_t now_ms, enum connection_excess *why)
{
    if (limits->bytes > limits->bytes_max) {
        *why = CONNECTION_EXCESS_BYTES;
        return longest_holding(limits, now_ms);
    }
    if (limits->open > limits->open_max) {
        *why = CONNECTION_EXCESS_OPEN;
        return longest_idle(limits, now_ms, 0);
    }
    *why = CONNECTION_EXCESS_NONE;
    return NULL;
}

bool
connection_limits_refuse(const struct connection_limits *limits,
                         int64_t now_ms)
{
    return limits->bytes > limits->bytes_max &&
           longest_holding(limits, now_ms) == NULL;
}
