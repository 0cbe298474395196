#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "gateway_bench.h"

enum {
    MS_PER_S = 1000,
    /* Indices of the fields of /proc/PID/stat after the program's name. */
    STAT_UTIME_FIELD = 11,
    STAT_STIME_FIELD = 12,
};

static bool
read_proc(const char *pid, const char *name, char **text)
{
    char *path = g_strdup_printf("/proc/%s/%s", pid, name);
    bool read = g_file_get_contents(path, text, NULL, NULL);
    g_free(path);
    return read;
}

static int64_t
read_cpu_ms(const char *pid)
{
    char *text = NULL;
    if (!read_proc(pid, "stat", &text)) {
        return 0;
    }
    char **fields = g_strsplit(strrchr(text, ')') + 2, " ", -1);
    int64_t ticks = g_ascii_strtoll(fields[STAT_UTIME_FIELD], NULL, 10) +
                    g_ascii_strtoll(fields[STAT_STIME_FIELD], NULL, 10);
    g_strfreev(fields);
    g_free(text);
    return ticks * MS_PER_S / sysconf(_SC_CLK_TCK);
}

static int64_t
read_rss_kb(const char *pid)
{
    char *text = NULL;
    if (!read_proc(pid, "status", &text)) {
        return 0;
    }
    const char *line = strstr(text, "VmRSS:");
    int64_t rss_kb = line == NULL ? 0 : g_ascii_strtoll(line + 6, NULL, 10);
    g_free(text);
    return rss_kb;
}

static int64_t
number_after(const char *line, const char *name)
{
    const char *position = strstr(line, name);
    return position == NULL
               ? 0
               : g_ascii_strtoll(position + strlen(name), NULL, 10);
}

/* ss prints two lines per socket: one that names its process, and one with
 * its counters. */
static int64_t
read_socket_bytes(const char *pid)
{
    char *pid_text = g_strdup_printf("pid=%s,", pid);
    char *text = NULL;
    int64_t bytes = 0;
    GSubprocess *child =
        g_subprocess_new(G_SUBPROCESS_FLAGS_STDOUT_PIPE, NULL, "ss", "-tinpH",
                         "state", "established", NULL);
    if (child != NULL) {
        g_subprocess_communicate_utf8(child, NULL, NULL, &text, NULL, NULL);
        g_object_unref(child);
    }
    char **lines = g_strsplit(text == NULL ? "" : text, "\n", -1);
    for (char **line = lines; line[0] != NULL && line[1] != NULL; line++) {
        if (strstr(line[0], pid_text) != NULL) {
            bytes += number_after(line[1], "bytes_sent:") +
                     number_after(line[1], "bytes_received:");
        }
    }
    g_strfreev(lines);
    g_free(text);
    g_free(pid_text);
    return bytes;
}

static int64_t
read_store_bytes(struct fleet *fleet, uint32_t i)
{
    char name[32];
    g_snprintf(name, sizeof(name), "store-%u", i);
    JsonNode *root = fleet_call_json(fleet, "GET", fleet->proxy_port,
                                     "/standin/routes", NULL);
    JsonObject *route =
        json_object_get_object_member(json_node_get_object(root), name);
    int64_t bytes = json_object_get_int_member(route, "bytes_up") +
                    json_object_get_int_member(route, "bytes_down");
    json_node_unref(root);
    return bytes;
}

struct bench_usage
bench_usage_read(struct fleet *fleet, uint32_t i)
{
    const char *pid = g_subprocess_get_identifier(fleet->gateways[i]->child);
    return (struct bench_usage){
        .cpu_ms = read_cpu_ms(pid),
        .rss_kb = read_rss_kb(pid),
        .bytes = read_socket_bytes(pid) + read_store_bytes(fleet, i),
    };
}
