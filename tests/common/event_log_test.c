#define _GNU_SOURCE
/* The log under more lines than it takes, and with nobody reading it. */
#include <fcntl.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "../suite.h"
#include "common/event_log.h"

enum {
    EVENTS = 40,
    LINES_EACH = 500,
    /* Lines that the log may write in a second of the worst load: 400, and
     * 20 of each kind. */
    LINES_MOST = 400 + 20 * EVENTS,
    PIPE_BYTES = 4096,
    FLOOD_LINES = 20000,
    READ_BYTES = 1 << 20,
};

/* Standard output into a pipe; returns the end to read from. */
static int
divert(int *saved, int pipe_bytes)
{
    int ends[2];
    CU_ASSERT_EQUAL_FATAL(pipe(ends), 0);
    fflush(stdout);
    *saved = dup(STDOUT_FILENO);
    if (pipe_bytes > 0) {
        fcntl(ends[1], F_SETPIPE_SZ, pipe_bytes);
    }
    dup2(ends[1], STDOUT_FILENO);
    close(ends[1]);
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    event_log_open("entry-1");
    return ends[0];
}

static void
restore(int saved)
{
    dup2(saved, STDOUT_FILENO);
    close(saved);
}

/* What can be read now; g_free(). */
static char *
drain(int from)
{
    char *text = g_malloc0(READ_BYTES);
    size_t used = 0;
    ssize_t got;
    while (used + 1 < READ_BYTES &&
           (got = read(from, text + used, READ_BYTES - 1 - used)) > 0) {
        used += (size_t)got;
    }
    return text;
}

static uint32_t
count_of(const char *text, const char *what)
{
    uint32_t count = 0;
    for (const char *at = strstr(text, what); at != NULL;
         at = strstr(at + 1, what)) {
        count++;
    }
    return count;
}

/* Lines that the log says it has dropped. */
static uint32_t
dropped_of(const char *text)
{
    static const char member[] = "\"event\":\"log_dropped\",\"lines\":";
    uint32_t sum = 0;
    for (const char *at = strstr(text, member); at != NULL;
         at = strstr(at + 1, member)) {
        sum += (uint32_t)strtoul(at + strlen(member), NULL, 10);
    }
    return sum;
}

static void
wait_for_second(void)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    g_usleep((gulong)((1000000000 - now.tv_nsec) / 1000 + 2000));
}

/* Many kinds of event at once: the whole log stays within its bound, and the
 * next second tells how many lines are missing. */
static void
test_lines_are_bounded(void)
{
    int saved = -1;
    int from = divert(&saved, READ_BYTES);
    wait_for_second();
    for (int i = 0; i < EVENTS * LINES_EACH; i++) {
        char event[16];
        snprintf(event, sizeof(event), "kind_%d", i % EVENTS);
        event_log(event, "\"n\":%d", i);
    }
    char *flood = drain(from);
    wait_for_second();
    event_log("after", "\"n\":1");
    char *after = drain(from);
    restore(saved);
    uint32_t written = count_of(flood, "\"n\":");
    CU_ASSERT(written >= LINES_MOST / 2);
    CU_ASSERT(written <= LINES_MOST);
    CU_ASSERT_PTR_NOT_NULL(strstr(after, "\"event\":\"after\""));
    CU_ASSERT_EQUAL(written + dropped_of(flood) + dropped_of(after),
                    EVENTS * LINES_EACH);
    g_free(flood);
    g_free(after);
    close(from);
}

/* Nobody reads: writing never waits, whole lines are dropped and counted. */
static void
test_full_pipe(void)
{
    int saved = -1;
    int from = divert(&saved, PIPE_BYTES);
    wait_for_second();
    int64_t start_us = g_get_monotonic_time();
    for (int i = 0; i < FLOOD_LINES; i++) {
        event_log("flood", "\"n\":%d", i);
    }
    int64_t took_us = g_get_monotonic_time() - start_us;
    char *kept = drain(from);
    wait_for_second();
    event_log("after", "\"n\":1");
    char *after = drain(from);
    restore(saved);
    CU_ASSERT(took_us < 1000000);
    CU_ASSERT(strlen(kept) <= PIPE_BYTES);
    CU_ASSERT_EQUAL(kept[strlen(kept) - 1], '\n');
    CU_ASSERT_EQUAL(count_of(kept, "\"n\":") + dropped_of(kept) +
                        dropped_of(after),
                    FLOOD_LINES);
    g_free(kept);
    g_free(after);
    close(from);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"lines are bounded", test_lines_are_bounded},
        {"a full pipe", test_full_pipe},
    };
    return suite_main("event log", tests, sizeof(tests) / sizeof(tests[0]));
}
