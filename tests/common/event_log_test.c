#define _GNU_SOURCE
/*
 * A burst of events must neither write more lines than the log's budget nor
 * block the process when nobody reads its output, and every dropped line has
 * to be counted in a "log_dropped" line.
 */
#include <fcntl.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "../suite.h"
#include "common/event_log.h"
#include "common/text.h"

enum {
    EVENT_KINDS = 40,
    LINES_PER_KIND = 500,
    /* Most lines that the log may write in one second: 400, and 20 of each
     * kind. */
    LINES_PER_S_MAX = 400 + 20 * EVENT_KINDS,
    PIPE_BYTES = 4096,
    BURST_LINES = 20000,
    READ_BYTES = 1 << 20,
};

/* Redirects standard output into a pipe and returns its read end. */
static int
redirect_stdout(int *saved, int pipe_bytes)
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
restore_stdout(int saved)
{
    dup2(saved, STDOUT_FILENO);
    close(saved);
}

/* Returns what can be read without blocking; free with g_free(). */
static char *
read_available(int read_fd)
{
    char *text = g_malloc0(READ_BYTES);
    size_t used = 0;
    ssize_t got;
    while (used + 1 < READ_BYTES &&
           (got = read(read_fd, text + used, READ_BYTES - 1 - used)) > 0) {
        used += (size_t)got;
    }
    return text;
}

static uint32_t
count_matches(const char *text, const char *pattern)
{
    uint32_t count = 0;
    for (const char *at = strstr(text, pattern); at != NULL;
         at = strstr(at + 1, pattern)) {
        count++;
    }
    return count;
}

/* Sum of the lines that "log_dropped" events in @text report. */
static uint32_t
count_dropped(const char *text)
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
wait_for_next_second(void)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    g_usleep((gulong)((1000000000 - now.tv_nsec) / 1000 + 2000));
}

/* Many kinds of events at once: the whole log stays within its budget, and
 * the first event of the next second reports how many lines were dropped. */
static void
test_lines_are_bounded(void)
{
    int saved = -1;
    int read_fd = redirect_stdout(&saved, READ_BYTES);
    wait_for_next_second();
    for (int i = 0; i < EVENT_KINDS * LINES_PER_KIND; i++) {
        char event[16];
        snprintf(event, sizeof(event), "kind_%d", i % EVENT_KINDS);
        event_log(event, "\"n\":%d", i);
    }
    char *burst = read_available(read_fd);
    wait_for_next_second();
    event_log("after", "\"n\":1");
    char *after = read_available(read_fd);
    restore_stdout(saved);
    uint32_t written = count_matches(burst, "\"n\":");
    CU_ASSERT(written >= LINES_PER_S_MAX / 2);
    CU_ASSERT(written <= LINES_PER_S_MAX);
    CU_ASSERT_PTR_NOT_NULL(strstr(after, "\"event\":\"after\""));
    CU_ASSERT_EQUAL(written + count_dropped(burst) + count_dropped(after),
                    EVENT_KINDS * LINES_PER_KIND);
    g_free(burst);
    g_free(after);
    close(read_fd);
}

/* The pipe is full: logging does not block, only whole lines are dropped, and
 * they are counted. */
static void
test_full_pipe_never_blocks(void)
{
    int saved = -1;
    int read_fd = redirect_stdout(&saved, PIPE_BYTES);
    wait_for_next_second();
    int64_t start_us = g_get_monotonic_time();
    for (int i = 0; i < BURST_LINES; i++) {
        event_log("flood", "\"n\":%d", i);
    }
    int64_t duration_us = g_get_monotonic_time() - start_us;
    char *written = read_available(read_fd);
    wait_for_next_second();
    event_log("after", "\"n\":1");
    char *after = read_available(read_fd);
    restore_stdout(saved);
    CU_ASSERT(duration_us < 1000000);
    CU_ASSERT(strlen(written) <= PIPE_BYTES);
    CU_ASSERT_EQUAL(written[strlen(written) - 1], '\n');
    CU_ASSERT_EQUAL(count_matches(written, "\"n\":") + count_dropped(written) +
                        count_dropped(after),
                    BURST_LINES);
    g_free(written);
    g_free(after);
    close(read_fd);
}

/* Texts of any length and content stay whole lines of JSON, and a line that
 * is too long is named instead of being dropped or cut short. */
static void
test_texts_stay_whole(void)
{
    int saved = -1;
    int read_fd = redirect_stdout(&saved, READ_BYTES);
    wait_for_next_second();
    char *name = g_strnfill(3000, 'n');
    char *too_long = g_strnfill(5000, 'n');
    event_log("long", "\"name\":%s,\"n\":1", text_quote(name));
    event_log("odd", "\"name\":%s", text_quote("a\xC0\x80\"\\\n\xC3\xA9"));
    event_log("longer", "\"name\":%s", text_quote(too_long));
    char *text = read_available(read_fd);
    restore_stdout(saved);
    char *line =
        g_strdup_printf("\"event\":\"long\",\"name\":\"%s\",\"n\":1}\n", name);
    CU_ASSERT_PTR_NOT_NULL(strstr(text, line));
    CU_ASSERT_PTR_NOT_NULL(
        strstr(text, "\"name\":\"a\\u0000\\\"\\\\\\u000a\xC3\xA9\"}\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(
        text, "\"event\":\"log_too_long\",\"of\":\"longer\",\"bytes\":50"));
    CU_ASSERT_EQUAL(count_matches(text, "\n"), 3);
    g_free(line);
    g_free(text);
    g_free(name);
    g_free(too_long);
    close(read_fd);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"lines are bounded", test_lines_are_bounded},
        {"full pipe never blocks", test_full_pipe_never_blocks},
        {"texts stay whole", test_texts_stay_whole},
    };
    return suite_main("event log", tests, sizeof(tests) / sizeof(tests[0]));
}
