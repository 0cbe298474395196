#include <json-glib/json-glib.h>

#include "common/json_read.h"
#include "store/host_list.h"

enum {
    SLOTS_DEFAULT = 8,
    CONNECTIONS_DEFAULT = 64,
    COUNT_MAX = 100000,
    PORT_MAX = 65535,
};

static void
clear_host(struct host_list_host *host)
{
    g_free(host->name);
    g_free(host->address);
    g_free(host->dc);
    g_free(host->rack);
    g_free(host->pool);
}

void
host_list_hosts_free(struct host_list_host *hosts, size_t n_hosts)
{
    for (size_t i = 0; i < n_hosts; i++) {
        clear_host(&hosts[i]);
    }
    g_free(hosts);
}

static struct json_place
child_place(const struct json_place *place, const char *member, char **path)
{
    *path = g_strdup_printf("%s.%s", place->path, member);
    return (struct json_place){
        .object = json_read_object(place, member, true),
        .file = place->file,
        .path = *path,
        .findings = place->findings,
    };
}

/* Values in Consul's Meta object are always strings. */
static uint32_t
read_count(const struct json_place *place, const char *member, uint32_t count)
{
    const char *text = json_read_string(place, member, false);
    guint64 value = count;
    if (text != NULL &&
        !g_ascii_string_to_unsigned(text, 10, 1, COUNT_MAX, &value, NULL)) {
        char *path = g_strdup_printf("%s.%s", place->path, member);
        findings_add(place->findings, place->file, path,
                     "must be a number from 1 to %d", COUNT_MAX);
        g_free(path);
    }
    return (uint32_t)value;
}

static void
read_node(const struct json_place *entry, struct host_list_host *host)
{
    char *path = NULL;
    struct json_place node = child_place(entry, "Node", &path);
    host->name = g_strdup(json_read_string(&node, "Node", true));
    host->dc = g_strdup(json_read_string(&node, "Datacenter", true));
    char *meta_path = NULL;
    struct json_place meta = child_place(&node, "Meta", &meta_path);
    host->rack = g_strdup(json_read_string(&meta, "rack", true));
    g_free(meta_path);
    g_free(path);
}

static void
read_service(const struct json_place *entry, struct host_list_host *host)
{
    char *path = NULL;
    struct json_place service = child_place(entry, "Service", &path);
    const char *address = json_read_string(&service, "Address", true);
    int64_t port = json_read_int(&service, "Port", 1, PORT_MAX, 0, true);
    host->address = g_strdup_printf("%s:%d", address, (int)port);
    char *meta_path = NULL;
    struct json_place meta = child_place(&service, "Meta", &meta_path);
    host->slots = read_count(&meta, "slots", SLOTS_DEFAULT);
    host->connections = read_count(&meta, "connections", CONNECTIONS_DEFAULT);
    host->pool = g_strdup(json_read_string(&meta, "pool", false));
    host->leaving =
        g_strcmp0(json_read_string(&meta, "state", false), "leaving") == 0;
    g_free(meta_path);
    g_free(path);
}

static bool
all_checks_pass(const struct json_place *entry)
{
    JsonArray *checks = json_read_array(entry, "Checks", true);
    if (checks == NULL) {
        return false;
    }
    for (guint i = 0; i < json_array_get_length(checks); i++) {
        JsonNode *node = json_array_get_element(checks, i);
        if (!JSON_NODE_HOLDS_OBJECT(node)) {
            return false;
        }
        struct json_place check = {
            .object = json_node_get_object(node),
            .file = entry->file,
            .path = entry->path,
            .findings = entry->findings,
        };
        const char *status = json_read_string(&check, "Status", true);
        if (g_strcmp0(status, "passing") != 0) {
            return false;
        }
    }
    return true;
}

static bool
parse_host(JsonNode *node, const char *path, struct findings *findings,
           struct host_list_host *host)
{
    if (!JSON_NODE_HOLDS_OBJECT(node)) {
        findings_add(findings, "host list", path, "must be an object");
        return false;
    }
    size_t before = findings_count(findings);
    struct json_place entry = {
        .object = json_node_get_object(node),
        .file = "host list",
        .path = path,
        .findings = findings,
    };
    read_node(&entry, host);
    read_service(&entry, host);
    host->live = all_checks_pass(&entry);
    return findings_count(findings) == before;
}

static int
compare_hosts(const void *a, const void *b)
{
    const struct host_list_host *left = a;
    const struct host_list_host *right = b;
    return g_strcmp0(left->name, right->name);
}

/* Keeps the first of several hosts with the same name. */
static size_t
drop_duplicates(struct host_list_host *hosts, size_t n,
                struct findings *findings)
{
    size_t kept = 0;
    for (size_t i = 0; i < n; i++) {
        if (kept > 0 && g_str_equal(hosts[kept - 1].name, hosts[i].name)) {
            findings_add(findings, "host list", hosts[i].name,
                         "is listed twice");
            clear_host(&hosts[i]);
            continue;
        }
        hosts[kept++] = hosts[i];
    }
    return kept;
}

/* Length of the JSON value at the start of @text, up to the comma or closing
 * bracket that follows it; 0 if the text ends before that. */
static size_t
element_bytes(const char *text, size_t size_bytes)
{
    unsigned depth = 0;
    bool quoted = false;
    for (size_t i = 0; i < size_bytes; i++) {
        char c = text[i];
        if (quoted) {
            i += c == '\\';
            quoted = c != '"';
            continue;
        }
        if (depth == 0 && (c == ',' || c == ']')) {
            return i;
        }
        quoted = c == '"';
        depth += c == '{' || c == '[';
        depth -= c == '}' || c == ']';
    }
    return 0;
}

static void
parse_element(JsonParser *parser, const char *text, size_t size_bytes,
              GArray *hosts, unsigned number, struct findings *findings)
{
    char path[24];
    g_snprintf(path, sizeof(path), "$[%u]", number);
    GError *error = NULL;
    if (!json_load_text(parser, text, size_bytes, &error)) {
        findings_add(findings, "host list", path, "%s", error->message);
        g_error_free(error);
        return;
    }
    JsonNode *node = json_parser_get_root(parser);
    struct host_list_host host = {.live = false};
    if (node != NULL && parse_host(node, path, findings, &host)) {
        g_array_append_val(hosts, host);
    }
    else {
        clear_host(&host);
    }
}

static size_t
skip_space(const char *text, size_t size_bytes, size_t at)
{
    while (at < size_bytes && g_ascii_isspace(text[at])) {
        at++;
    }
    return at;
}

/* Parses one element at a time: the heap that the JSON tree of a list of
 * thousands of hosts needs would never be returned to the system. Returns
 * false unless the text is a complete array. */
static bool
parse_elements(const char *text, size_t size_bytes, GArray *hosts,
               struct findings *findings)
{
    size_t at = skip_space(text, size_bytes, 0);
    if (at == size_bytes || text[at] != '[') {
        return false;
    }
    at = skip_space(text, size_bytes, at + 1);
    if (at < size_bytes && text[at] == ']') {
        return true;
    }
    JsonParser *parser = json_parser_new();
    bool more = true;
    for (unsigned number = 0; more; number++) {
        size_t length = element_bytes(text + at, size_bytes - at);
        if (length == 0) {
            break;
        }
        parse_element(parser, text + at, length, hosts, number, findings);
        at += length;
        more = text[at] == ',';
        at++;
    }
    g_object_unref(parser);
    return !more;
}

struct host_list_host *
host_list_parse(const char *text, size_t size_bytes, size_t *n_hosts,
                struct findings *findings)
{
    GArray *found = g_array_new(TRUE, TRUE, sizeof(struct host_list_host));
    bool complete = parse_elements(text, size_bytes, found, findings);
    size_t n = found->len;
    struct host_list_host *hosts =
        (struct host_list_host *)(void *)g_array_free(found, FALSE);
    *n_hosts = 0;
    if (!complete) {
        findings_add(findings, "host list", "$",
                     "must be a complete JSON array");
        host_list_hosts_free(hosts, n);
        return NULL;
    }
    qsort(hosts, n, sizeof(hosts[0]), compare_hosts);
    *n_hosts = drop_duplicates(hosts, n, findings);
    return hosts;
}
