/* Which connection is closed, and when requests are refused. */
#include "../suite.h"
#include "core/connection_limits.h"

enum {
    CLIENTS = 4,
    GRACE_MS = 1000,
};

struct crowd {
    struct connection_limits limits;
    struct connection_entry entries[CLIENTS];
};

/* Accepts one connection each millisecond from 1 on. */
static void
crowd_init(struct crowd *crowd, uint32_t open_max, size_t bytes_max)
{
    *crowd = (struct crowd){
        .limits = {.open_max = open_max, .bytes_max = bytes_max},
    };
    for (int i = 0; i < CLIENTS; i++) {
        connection_limits_add(&crowd->limits, &crowd->entries[i], i + 1);
    }
}

/* Index of the connection that is closed next, -1: none. */
static int
next_closed(const struct crowd *crowd, int64_t now_ms,
            enum connection_excess expected)
{
    enum connection_excess why = CONNECTION_EXCESS_NONE;
    const struct connection_entry *entry =
        connection_limits_excess(&crowd->limits, now_ms, &why);
    CU_ASSERT_EQUAL(why, expected);
    return entry == NULL ? -1 : (int)(entry - crowd->entries);
}

/* Guards against closing a connection that has just made progress while
 * others make none. */
static void
test_longest_without_progress(void)
{
    struct crowd crowd;
    crowd_init(&crowd, CLIENTS, 100);
    CU_ASSERT_EQUAL(next_closed(&crowd, 5, CONNECTION_EXCESS_NONE), -1);
    crowd.limits.open_max = CLIENTS - 1;
    CU_ASSERT_EQUAL(next_closed(&crowd, 5, CONNECTION_EXCESS_OPEN), 0);
    connection_limits_enter(&crowd.limits, &crowd.entries[0],
                            CONNECTION_SERVED, 6);
    CU_ASSERT_EQUAL(next_closed(&crowd, 6, CONNECTION_EXCESS_OPEN), 1);
    connection_limits_enter(&crowd.limits, &crowd.entries[0],
                            CONNECTION_WRITING, 7);
    connection_limits_enter(&crowd.limits, &crowd.entries[0],
                            CONNECTION_READING, 8);
    connection_limits_remove(&crowd.limits, &crowd.entries[1]);
    CU_ASSERT_EQUAL(next_closed(&crowd, 8, CONNECTION_EXCESS_NONE), -1);
    crowd.limits.open_max = 1;
    CU_ASSERT_EQUAL(next_closed(&crowd, 8, CONNECTION_EXCESS_OPEN), 2);
    connection_limits_remove(&crowd.limits, &crowd.entries[2]);
    CU_ASSERT_EQUAL(next_closed(&crowd, 8, CONNECTION_EXCESS_OPEN), 3);
    connection_limits_remove(&crowd.limits, &crowd.entries[3]);
    CU_ASSERT_EQUAL(crowd.limits.open, 1);
    CU_ASSERT_PTR_EQUAL(crowd.limits.oldest, &crowd.entries[0]);
    CU_ASSERT_PTR_EQUAL(crowd.limits.newest, &crowd.entries[0]);
}

/* Guards against a request that is being served and loses its response. */
static void
test_served_are_kept(void)
{
    struct crowd crowd;
    crowd_init(&crowd, CLIENTS - 1, 100);
    for (int i = 0; i < CLIENTS - 1; i++) {
        connection_limits_enter(&crowd.limits, &crowd.entries[i],
                                CONNECTION_SERVED, 10);
    }
    /* The newest connection is closed. */
    CU_ASSERT_EQUAL(next_closed(&crowd, 10, CONNECTION_EXCESS_OPEN),
                    CLIENTS - 1);
    connection_limits_enter(&crowd.limits, &crowd.entries[CLIENTS - 1],
                            CONNECTION_SERVED, 11);
    CU_ASSERT_EQUAL(next_closed(&crowd, 11, CONNECTION_EXCESS_OPEN), -1);
    CU_ASSERT_PTR_NULL(connection_limits_longest_idle(&crowd.limits, 11));
}

/* Guards against a response that is ready and lost to a new connection. */
static void
test_ready_response(void)
{
    struct crowd crowd;
    crowd_init(&crowd, CLIENTS, 100);
    crowd.limits.open_max = CLIENTS - 1;
    for (int i = 0; i < CLIENTS; i++) {
        connection_limits_enter(&crowd.limits, &crowd.entries[i],
                                CONNECTION_SERVED, 10);
    }
    connection_limits_enter(&crowd.limits, &crowd.entries[0],
                            CONNECTION_WRITING, 20);
    CU_ASSERT_EQUAL(next_closed(&crowd, 20, CONNECTION_EXCESS_OPEN), -1);
    connection_limits_enter(&crowd.limits, &crowd.entries[1],
                            CONNECTION_READING, 21);
    CU_ASSERT_EQUAL(next_closed(&crowd, 21, CONNECTION_EXCESS_OPEN), 1);
    CU_ASSERT_EQUAL(next_closed(&crowd, 20 + GRACE_MS, CONNECTION_EXCESS_OPEN),
                    0);
}

/* Guards against memory beyond the limit, and against closing connections
 * whose buffers are empty to free some. */
static void
test_bytes(void)
{
    struct crowd crowd;
    crowd_init(&crowd, CLIENTS, 100);
    connection_limits_hold(&crowd.limits, &crowd.entries[1], 60);
    connection_limits_hold(&crowd.limits, &crowd.entries[2], 40);
    CU_ASSERT_EQUAL(next_closed(&crowd, 10, CONNECTION_EXCESS_NONE), -1);
    connection_limits_hold(&crowd.limits, &crowd.entries[2], 50);
    CU_ASSERT_EQUAL(crowd.limits.bytes, 110);
    CU_ASSERT_EQUAL(next_closed(&crowd, 10, CONNECTION_EXCESS_BYTES), 1);
    CU_ASSERT_FALSE(connection_limits_refuse(&crowd.limits, 10));
    connection_limits_enter(&crowd.limits, &crowd.entries[1],
                            CONNECTION_SERVED, 11);
    CU_ASSERT_EQUAL(next_closed(&crowd, 11, CONNECTION_EXCESS_BYTES), 2);
    /* A response that has just become ready is kept within a quarter beyond
     * the limit, so that a refusal reaches its client, and is the last choice
     * above that. */
    connection_limits_enter(&crowd.limits, &crowd.entries[2],
                            CONNECTION_WRITING, 12);
    CU_ASSERT_EQUAL(next_closed(&crowd, 12, CONNECTION_EXCESS_BYTES), -1);
    CU_ASSERT_EQUAL(
        next_closed(&crowd, 12 + GRACE_MS, CONNECTION_EXCESS_BYTES), 2);
    connection_limits_hold(&crowd.limits, &crowd.entries[2], 65);
    CU_ASSERT_EQUAL(next_closed(&crowd, 12, CONNECTION_EXCESS_BYTES), 2);
    connection_limits_hold(&crowd.limits, &crowd.entries[3], 1);
    CU_ASSERT_EQUAL(next_closed(&crowd, 12, CONNECTION_EXCESS_BYTES), 3);
    connection_limits_remove(&crowd.limits, &crowd.entries[2]);
    CU_ASSERT_EQUAL(crowd.limits.bytes, 61);
}

/* Guards against refusals while memory can be had, and against requests that
 * are passed on when there is none. */
static void
test_refusal(void)
{
    struct crowd crowd;
    crowd_init(&crowd, CLIENTS, 100);
    for (int i = 0; i < 2; i++) {
        connection_limits_enter(&crowd.limits, &crowd.entries[i],
                                CONNECTION_SERVED, 10);
        connection_limits_hold(&crowd.limits, &crowd.entries[i], 50);
    }
    CU_ASSERT_FALSE(connection_limits_refuse(&crowd.limits, 10));
    connection_limits_hold(&crowd.limits, &crowd.entries[2], 1);
    CU_ASSERT_FALSE(connection_limits_refuse(&crowd.limits, 10));
    connection_limits_enter(&crowd.limits, &crowd.entries[2],
                            CONNECTION_SERVED, 11);
    CU_ASSERT(connection_limits_refuse(&crowd.limits, 11));
    connection_limits_remove(&crowd.limits, &crowd.entries[0]);
    CU_ASSERT_FALSE(connection_limits_refuse(&crowd.limits, 12));
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"longest without progress", test_longest_without_progress},
        {"connections being served are kept", test_served_are_kept},
        {"a response that is ready", test_ready_response},
        {"bytes", test_bytes},
        {"refusal", test_refusal},
    };
    return suite_main("connection limits", tests,
                      sizeof(tests) / sizeof(tests[0]));
}
