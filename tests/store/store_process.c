#include "store_process.h"

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <stdlib.h>

#include "../suite.h"

void
store_process_start(struct store_process *process)
{
    GError *error = NULL;
    process->child = g_subprocess_new(G_SUBPROCESS_FLAGS_STDOUT_PIPE, &error,
                                      getenv("STANDIN_STORE"), NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(process->child);
    GDataInputStream *lines =
        g_data_input_stream_new(g_subprocess_get_stdout_pipe(process->child));
    char *line = g_data_input_stream_read_line(lines, NULL, NULL, NULL);
    CU_ASSERT_FATAL(line != NULL && g_str_has_prefix(line, "port="));
    process->url =
        g_strdup_printf("http://127.0.0.1:%s", line + sizeof("port=") - 1);
    g_free(line);
    g_object_unref(lines);
}

void
store_process_stop(struct store_process *process)
{
    g_subprocess_force_exit(process->child);
    g_subprocess_wait(process->child, NULL, NULL);
    g_clear_object(&process->child);
    g_clear_pointer(&process->url, g_free);
}

static GBytes *
send_request(const struct store_process *process, const char *method,
             const char *path, const char *json)
{
    SoupSession *session = soup_session_new();
    char *url = g_strconcat(process->url, path, NULL);
    SoupMessage *message = soup_message_new(method, url);
    if (json != NULL) {
        GBytes *body = g_bytes_new(json, strlen(json));
        soup_message_set_request_body_from_bytes(message, "application/json",
                                                 body);
        g_bytes_unref(body);
    }
    GBytes *answer = soup_session_send_and_read(session, message, NULL, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(answer);
    CU_ASSERT_EQUAL(soup_message_get_status(message), SOUP_STATUS_OK);
    g_object_unref(message);
    g_object_unref(session);
    g_free(url);
    return answer;
}

void
store_process_faults(const struct store_process *process, const char *json)
{
    g_bytes_unref(send_request(process, "PUT", "/standin/faults", json));
}

int64_t
store_process_stat(const struct store_process *process, const char *member)
{
    GBytes *body = send_request(process, "GET", "/standin/stats", NULL);
    gsize size = 0;
    const char *bytes = g_bytes_get_data(body, &size);
    char *text = g_strndup(bytes, size);
    JsonNode *root = json_from_string(text, NULL);
    int64_t value =
        json_object_get_int_member(json_node_get_object(root), member);
    json_node_unref(root);
    g_free(text);
    g_bytes_unref(body);
    return value;
}

void
store_process_put(const struct store_process *process, const char *key,
                  const char *value)
{
    char *path = g_strconcat("/v1/kv/", key, NULL);
    g_bytes_unref(send_request(process, "PUT", path, value));
    g_free(path);
}

char *
store_process_get(const struct store_process *process, const char *key)
{
    char *path = g_strconcat("/v1/kv/", key, NULL);
    GBytes *body = send_request(process, "GET", path, NULL);
    gsize size = 0;
    const char *bytes = g_bytes_get_data(body, &size);
    char *text = g_strndup(bytes, size);
    JsonNode *root = json_from_string(text, NULL);
    JsonObject *entry =
        json_array_get_object_element(json_node_get_array(root), 0);
    guchar *value =
        g_base64_decode(json_object_get_string_member(entry, "Value"), &size);
    char *copy = g_strndup((char *)value, size);
    g_free(value);
    json_node_unref(root);
    g_free(text);
    g_free(path);
    g_bytes_unref(body);
    return copy;
}
