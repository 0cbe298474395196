/* Resource usage of a daemon, as counted by the kernel and the proxy. */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "capacity.h"

enum {
    MS_PER_S = 1000,
    /* Indices of the fields of /proc/PID/stat after the program's name. */
    STAT_UTIME_FIELD = 11,
    STAT_STIME_FIELD = 12,
};

static char *
read_proc(const char *pid, const char *name)
{
    char *path = g_strdup_printf("/proc/%s/%s", pid, name);
    char *text = NULL;
    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        g_printerr("cannot read %s\n", path);
        exit(EXIT_FAILURE);
    }
    g_free(path);
    return text;
}

static int64_t
number_after(const char *text, const char *name)
{
    const char *position = strstr(text, name);
    return position == NULL
               ? 0
               : g_ascii_strtoll(position + strlen(name), NULL, 10);
}

static int64_t
read_cpu_ms(const char *pid)
{
    char *text = read_proc(pid, "stat");
    char **fields = g_strsplit(strrchr(text, ')') + 2, " ", -1);
    int64_t ticks = g_ascii_strtoll(fields[STAT_UTIME_FIELD], NULL, 10) +
                    g_ascii_strtoll(fields[STAT_STIME_FIELD], NULL, 10);
    g_strfreev(fields);
    g_free(text);
    return ticks * MS_PER_S / sysconf(_SC_CLK_TCK);
}

static bool
has_peer_port(const char *line, const struct capacity_daemon *daemon)
{
    for (uint32_t i = 0; i < daemon->n_peers; i++) {
        char port[16];
        g_snprintf(port, sizeof(port), ":%u ", daemon->peer_ports[i]);
        if (strstr(line, port) != NULL) {
            return true;
        }
    }
    return false;
}

/* ss prints two lines per socket: one that names its process, and one with
 * its counters. */
static void
read_peer_bytes(const struct capacity_daemon *daemon,
                struct capacity_usage *usage)
{
    char *pid_text = g_strdup_printf("pid=%s,", daemon->pid);
    char *text = NULL;
    GSubprocess *child =
        g_subprocess_new(G_SUBPROCESS_FLAGS_STDOUT_PIPE, NULL, "ss", "-tinpH",
                         "state", "established", NULL);
    if (child == NULL) {
        g_printerr("cannot run ss\n");
        exit(EXIT_FAILURE);
    }
    g_subprocess_communicate_utf8(child, NULL, NULL, &text, NULL, NULL);
    g_object_unref(child);
    char **lines = g_strsplit(text == NULL ? "" : text, "\n", -1);
    for (char **line = lines; line[0] != NULL && line[1] != NULL; line++) {
        if (strstr(line[0], pid_text) != NULL &&
            has_peer_port(line[0], daemon)) {
            usage->peer_in_bytes += number_after(line[1], "bytes_received:");
            usage->peer_out_bytes += number_after(line[1], "bytes_sent:");
        }
    }
    g_strfreev(lines);
    g_free(text);
    g_free(pid_text);
}

static void
read_store_bytes(struct fleet *fleet, const char *route,
                 struct capacity_usage *usage)
{
    JsonNode *root = fleet_call_json(fleet, "GET", fleet->proxy_port,
                                     "/standin/routes", NULL);
    JsonObject *object =
        json_object_get_object_member(json_node_get_object(root), route);
    usage->store_out_bytes = json_object_get_int_member(object, "bytes_up");
    usage->store_in_bytes = json_object_get_int_member(object, "bytes_down");
    json_node_unref(root);
}

struct capacity_usage
capacity_usage_read(struct fleet *fleet, const struct capacity_daemon *daemon)
{
    char *status = read_proc(daemon->pid, "status");
    struct capacity_usage usage = {
        .cpu_ms = read_cpu_ms(daemon->pid),
        .rss_kb = number_after(status, "VmRSS:"),
        .peak_kb = number_after(status, "VmHWM:"),
    };
    g_free(status);
    read_store_bytes(fleet, daemon->route, &usage);
    if (daemon->n_peers > 0) {
        read_peer_bytes(daemon, &usage);
    }
    return usage;
}

int64_t
capacity_usage_bytes(const struct capacity_usage *usage)
{
    return usage->store_in_bytes + usage->store_out_bytes +
           usage->peer_in_bytes + usage->peer_out_bytes;
}

int64_t
capacity_route_bytes(struct fleet *fleet, const char *route)
{
    struct capacity_usage usage = {0};
    read_store_bytes(fleet, route, &usage);
    return capacity_usage_bytes(&usage);
}

struct capacity_calls
capacity_read_calls(struct fleet *fleet)
{
    JsonNode *root = fleet_call_json(fleet, "GET", fleet->store_port,
                                     "/standin/stats", NULL);
    JsonObject *stats = json_node_get_object(root);
    struct capacity_calls calls = {
        .gets = json_object_get_int_member(stats, "gets"),
        .watches = json_object_get_int_member(stats, "watches"),
        .puts = json_object_get_int_member(stats, "puts"),
        .deletes = json_object_get_int_member(stats, "deletes"),
        .hosts = json_object_get_int_member(stats, "hosts"),
        .bytes = json_object_get_int_member(stats, "bytes_in") +
                 json_object_get_int_member(stats, "bytes_out"),
    };
    json_node_unref(root);
    return calls;
}

int64_t
capacity_state_bytes(struct fleet *fleet, const char *prefix,
                     int64_t *largest_bytes)
{
    char *path = g_strdup_printf("/v1/kv/%s?recurse", prefix);
    JsonNode *root =
        fleet_call_json(fleet, "GET", fleet->store_port, path, NULL);
    JsonArray *entries = root == NULL ? NULL : json_node_get_array(root);
    int64_t sum_bytes = 0;
    *largest_bytes = 0;
    for (guint i = 0; entries != NULL && i < json_array_get_length(entries);
         i++) {
        gsize bytes = 0;
        g_free(g_base64_decode(
            json_object_get_string_member(
                json_array_get_object_element(entries, i), "Value"),
            &bytes));
        sum_bytes += (int64_t)bytes;
        *largest_bytes = MAX(*largest_bytes, (int64_t)bytes);
    }
    g_clear_pointer(&root, json_node_unref);
    g_free(path);
    return sum_bytes;
}
