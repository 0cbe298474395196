#include <string.h>

#include "proxy.h"

static void
respond_json(SoupServerMessage *message, char *text)
{
    soup_server_message_set_status(message, SOUP_STATUS_OK, NULL);
    soup_server_message_set_response(message, "application/json",
                                     SOUP_MEMORY_TAKE, text, strlen(text));
}

static void
read_bool(JsonObject *object, const char *member, bool *value)
{
    *value =
        json_object_get_boolean_member_with_default(object, member, *value);
}

static void
read_int(JsonObject *object, const char *member, int64_t *value)
{
    *value = json_object_get_int_member_with_default(object, member, *value);
}

static enum proxy_kill_point
kill_point_by_name(const char *name)
{
    static const char *const names[] = {
        "none", "before", "during", "after", "answer", "any",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (g_str_equal(name, names[i])) {
            return (enum proxy_kill_point)i;
        }
    }
    return PROXY_KILL_NONE;
}

static void
apply_faults(struct proxy_route *route, JsonObject *object)
{
    struct proxy_faults *faults = &route->faults;
    if (json_object_get_boolean_member_with_default(object, "clear", FALSE)) {
        *faults = (struct proxy_faults){0};
    }
    read_bool(object, "refuse", &faults->refuse);
    read_bool(object, "hold", &faults->hold);
    read_bool(object, "drop_up", &faults->drop_up);
    read_bool(object, "drop_down", &faults->drop_down);
    read_int(object, "delay_ms", &faults->delay_ms);
    read_int(object, "truncate_bytes", &faults->truncate_bytes);
    read_int(object, "bytes_per_s", &faults->bytes_per_s);
    faults->kill_permille = (uint32_t)json_object_get_int_member_with_default(
        object, "kill_permille", faults->kill_permille);
    if (json_object_has_member(object, "kill")) {
        faults->kill =
            kill_point_by_name(json_object_get_string_member(object, "kill"));
    }
    if (json_object_get_boolean_member_with_default(object, "silence",
                                                    FALSE)) {
        proxy_route_discard(route);
    }
    if (json_object_get_boolean_member_with_default(object, "cut", FALSE)) {
        proxy_route_close_links(route);
    }
}

/* The member "routes" is a glob pattern of route names. */
static void
handle_faults(struct proxy *proxy, SoupServerMessage *message,
              JsonObject *object)
{
    GHashTableIter iter;
    gpointer value = NULL;
    guint changed = 0;
    const char *pattern =
        json_object_get_string_member_with_default(object, "routes", "*");
    g_hash_table_iter_init(&iter, proxy->routes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct proxy_route *route = value;
        if (g_pattern_match_simple(pattern, route->name)) {
            apply_faults(route, object);
            changed++;
        }
    }
    respond_json(message, g_strdup_printf("{\"routes\": %u}\n", changed));
}

static void
handle_add(struct proxy *proxy, SoupServerMessage *message, JsonObject *object)
{
    struct proxy_route *route =
        proxy_route_add(proxy, json_object_get_string_member(object, "name"),
                        json_object_get_string_member(object, "target"),
                        (uint16_t)json_object_get_int_member_with_default(
                            object, "listen", 0));
    if (route == NULL) {
        soup_server_message_set_status(message, SOUP_STATUS_CONFLICT, NULL);
        return;
    }
    respond_json(message, g_strdup_printf("{\"port\": %u}\n", route->port));
}

static void
handle_routes(struct proxy *proxy, SoupServerMessage *message)
{
    GHashTableIter iter;
    gpointer value = NULL;
    const char *comma = "";
    GString *text = g_string_new("{");
    g_hash_table_iter_init(&iter, proxy->routes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct proxy_route *route = value;
        g_string_append_printf(
            text,
            "%s\n\"%s\": {\"port\": %u, \"connections\": %" G_GUINT64_FORMAT
            ", \"kills\": %" G_GUINT64_FORMAT
            ", \"bytes_up\": %" G_GUINT64_FORMAT
            ", \"bytes_down\": %" G_GUINT64_FORMAT "}",
            comma, route->name, route->port, route->connections, route->kills,
            route->bytes_up, route->bytes_down);
        comma = ",";
    }
    g_string_append(text, "}\n");
    respond_json(message, g_string_free(text, FALSE));
}

static void
on_request(SoupServer *server, SoupServerMessage *message, const char *path,
           GHashTable *query, gpointer data)
{
    struct proxy *proxy = data;
    if (soup_server_message_get_method(message) == SOUP_METHOD_GET) {
        handle_routes(proxy, message);
        return;
    }
    SoupMessageBody *body = soup_server_message_get_request_body(message);
    JsonNode *root = json_from_string(body->data, NULL);
    if (root == NULL || !JSON_NODE_HOLDS_OBJECT(root)) {
        soup_server_message_set_status(message, SOUP_STATUS_BAD_REQUEST, NULL);
    }
    else if (g_str_equal(path, "/standin/routes")) {
        handle_add(proxy, message, json_node_get_object(root));
    }
    else if (g_str_equal(path, "/standin/faults")) {
        handle_faults(proxy, message, json_node_get_object(root));
    }
    else {
        soup_server_message_set_status(message, SOUP_STATUS_NOT_FOUND, NULL);
    }
    g_clear_pointer(&root, json_node_unref);
}

void
proxy_admin_serve(struct proxy *proxy)
{
    soup_server_add_handler(proxy->admin, NULL, on_request, proxy, NULL);
}
