#include <inttypes.h>
#include <string.h>

#include "store_internal.h"
#include "store_txn.h"

enum {
    /* Limit of exchanges per write, each with the full deadline. */
    EXCHANGES_MAX = 5,
    RETRY_DELAY_MS = 100,
    /* libsoup has no constant for it. */
    HTTP_TOO_MANY_REQUESTS = 429,
};

/**
 * struct store_write - one compare-and-swap until its outcome is known
 * @value: value to write; NULL deletes
 * @response_lost: an attempt got no response and may have taken effect
 * @written: the store has confirmed the write
 * @refused: the store has refused an attempt: the key has another version
 */
struct store_write {
    struct store *store;
    struct store_callback callback;
    char *key;
    GBytes *value;
    uint64_t version;
    unsigned n_exchanges;
    bool response_lost;
    bool written;
    bool refused;
};

static void
write_read_back(struct store_write *write, int64_t delay_ms);

static void
write_free(struct store_write *write)
{
    g_free(write->key);
    g_clear_pointer(&write->value, g_bytes_unref);
    g_free(write);
}

static void
write_abandon(struct store_write *write)
{
    if (write->callback.abandoned != NULL) {
        write->callback.abandoned(write->callback.ctx);
    }
    write_free(write);
}

static void
write_finish(struct store_write *write, const struct store_result *result)
{
    write->callback.done(write->callback.ctx, result);
    write_free(write);
}

static void
write_fail(struct store_write *write, enum status_code code,
           const char *reason)
{
    struct store_result result = {.status = {.code = STATUS_OK}};
    status_set(&result.status, code, "store: %s: %s", write->key, reason);
    write_finish(write, &result);
}

/* If the version written is not known, the result has the old version, which
 * never matches again. */
static void
write_succeed(struct store_write *write, uint64_t version)
{
    struct store_result result = {.status = {.code = STATUS_OK}};
    struct store_entry entry = {.key = write->key, .version = write->version};
    if (write->value != NULL) {
        gsize size = 0;
        entry.value = (char *)g_bytes_get_data(write->value, &size);
        entry.size_bytes = size;
        entry.version = version == 0 ? write->version : version;
        result.entries = &entry;
        result.n_entries = 1;
    }
    write_finish(write, &result);
}

/* Whether the key is as this write leaves it: with the value written at a
 * newer version, or absent after a deletion. */
static bool
holds_written_value(const struct store_write *write,
                    const struct store_entry *found)
{
    if (write->value == NULL || found == NULL) {
        return write->value == NULL && found == NULL;
    }
    gsize size = 0;
    const void *bytes = g_bytes_get_data(write->value, &size);
    return found->version > write->version && found->size_bytes == size &&
           memcmp(found->value, bytes, size) == 0;
}

static void
write_send(struct store_write *write);

/* The key has a newer version with a value other than the one written. */
static void
write_report_conflict(struct store_write *write, struct store_result *present)
{
    if (write->response_lost) {
        status_set(&present->status, STATUS_UNKNOWN,
                   "store: %s: response lost, and the key has another value",
                   write->key);
    }
    else {
        status_set(&present->status, STATUS_CONFLICT,
                   "store: %s: version differs from the expected %" PRIu64,
                   write->key, write->version);
    }
    write_finish(write, present);
}

static void
write_resolve(struct store_write *write, struct store_result *present)
{
    const struct store_entry *found =
        present->n_entries > 0 ? &present->entries[0] : NULL;
    if (holds_written_value(write, found) &&
        (write->response_lost || write->written)) {
        write_succeed(write, found == NULL ? 0 : found->version);
        return;
    }
    if (write->written) {
        write_succeed(write, 0);
        return;
    }
    uint64_t version = found == NULL ? STORE_VERSION_ABSENT : found->version;
    if (version == write->version && !write->refused) {
        /* A delayed first attempt and this one can't both take effect. */
        write_send(write);
        return;
    }
    write_report_conflict(write, present);
}

static void
on_read_back(void *ctx, const struct exchange_reply *reply)
{
    struct store_write *write = ctx;
    if (reply == NULL) {
        write_abandon(write);
        return;
    }
    GArray *entries = store_entries_create();
    struct store_result result = {.status = {.code = STATUS_OK}};
    store_reply_read(reply, write->key, entries, &result);
    if (result.status.code == STATUS_UNAVAILABLE) {
        write_read_back(write, RETRY_DELAY_MS);
    }
    else {
        write_resolve(write, &result);
    }
    g_array_unref(entries);
}

/* Reports what is known when the limit of exchanges is reached. */
static void
write_give_up(struct store_write *write)
{
    if (write->written) {
        write_succeed(write, 0);
    }
    else if (write->response_lost) {
        write_fail(write, STATUS_UNKNOWN,
                   "response lost, and the key can't be read back");
    }
    else if (write->refused) {
        write_fail(write, STATUS_CONFLICT, "the key has another version");
    }
    else {
        write_fail(write, STATUS_UNAVAILABLE, "not written");
    }
}

static bool
write_count_exchange(struct store_write *write)
{
    if (write->n_exchanges >= EXCHANGES_MAX) {
        write_give_up(write);
        return false;
    }
    write->n_exchanges++;
    return true;
}

static void
write_read_back(struct store_write *write, int64_t delay_ms)
{
    if (!write_count_exchange(write)) {
        return;
    }
    write->store->stats.read_backs++;
    char *path = store_key_path(write->key, "consistent");
    exchange_start(
        write->store,
        &(struct exchange_request){
            .method = SOUP_METHOD_GET,
            .path = path,
            .delay_ms = delay_ms,
            .deadline_ms = write->store->timeout_ms,
        },
        (struct exchange_handler){.done = on_read_back, .ctx = write});
    g_free(path);
}

static bool
body_starts_with(GBytes *body, const char *text)
{
    gsize size = 0;
    const char *bytes = g_bytes_get_data(body, &size);
    return size >= strlen(text) && memcmp(bytes, text, strlen(text)) == 0;
}

/* 429 and 503 mean not written; other server errors may follow a write. */
static void
on_error_status(struct store_write *write, unsigned http_status)
{
    char reason[64];
    g_snprintf(reason, sizeof(reason), "unexpected HTTP status %u",
               http_status);
    bool refusal = http_status == SOUP_STATUS_SERVICE_UNAVAILABLE ||
                   http_status == HTTP_TOO_MANY_REQUESTS;
    if (!refusal && http_status >= SOUP_STATUS_INTERNAL_SERVER_ERROR) {
        write->response_lost = true;
    }
    if (write->response_lost) {
        write_read_back(write, RETRY_DELAY_MS);
    }
    else if (http_status == SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE) {
        write_fail(write, STATUS_TOO_LARGE, reason);
    }
    else if (refusal) {
        write_fail(write, STATUS_UNAVAILABLE, reason);
    }
    else {
        write_fail(write, STATUS_INVALID, reason);
    }
}

static void
on_refused(struct store_write *write)
{
    write->refused = true;
    write_read_back(write, 0);
}

/* The store responds with 409 if the version differs, with 200 on success. */
static void
on_put_response(struct store_write *write, const struct exchange_reply *reply)
{
    if (reply->http_status == SOUP_STATUS_CONFLICT) {
        on_refused(write);
        return;
    }
    if (reply->http_status != SOUP_STATUS_OK) {
        on_error_status(write, reply->http_status);
        return;
    }
    write->written = true;
    uint64_t version = store_txn_version(reply->body);
    if (version != 0) {
        write_succeed(write, version);
    }
    else {
        write_read_back(write, 0);
    }
}

static void
on_delete_response(struct store_write *write,
                   const struct exchange_reply *reply)
{
    if (reply->http_status != SOUP_STATUS_OK) {
        on_error_status(write, reply->http_status);
    }
    else if (body_starts_with(reply->body, "true")) {
        write_succeed(write, 0);
    }
    else {
        on_refused(write);
    }
}

static void
on_write_reply(void *ctx, const struct exchange_reply *reply)
{
    struct store_write *write = ctx;
    if (reply == NULL) {
        write_abandon(write);
    }
    else if (reply->outcome == EXCHANGE_NOT_SENT && !write->response_lost) {
        write_fail(write, STATUS_UNAVAILABLE, reply->reason);
    }
    else if (reply->outcome != EXCHANGE_RESPONDED) {
        write->response_lost = true;
        write_read_back(write, 0);
    }
    else if (write->value != NULL) {
        on_put_response(write, reply);
    }
    else {
        on_delete_response(write, reply);
    }
}

static void
send_put(struct store_write *write)
{
    GBytes *body = store_txn_cas(write->key, write->value, write->version);
    exchange_start(
        write->store,
        &(struct exchange_request){
            .method = SOUP_METHOD_PUT,
            .path = STORE_TXN_PATH,
            .body = body,
            .deadline_ms = write->store->timeout_ms,
        },
        (struct exchange_handler){.done = on_write_reply, .ctx = write});
    g_bytes_unref(body);
}

static void
send_delete(struct store_write *write)
{
    char query[32];
    g_snprintf(query, sizeof(query), "cas=%" PRIu64, write->version);
    char *path = store_key_path(write->key, query);
    exchange_start(
        write->store,
        &(struct exchange_request){
            .method = SOUP_METHOD_DELETE,
            .path = path,
            .deadline_ms = write->store->timeout_ms,
        },
        (struct exchange_handler){.done = on_write_reply, .ctx = write});
    g_free(path);
}

static void
write_send(struct store_write *write)
{
    if (!write_count_exchange(write)) {
        return;
    }
    if (write->value != NULL) {
        send_put(write);
    }
    else {
        send_delete(write);
    }
}

static struct store_write *
write_create(struct store *store, const char *key, uint64_t version,
             struct store_callback callback)
{
    struct store_write *write = g_new0(struct store_write, 1);
    write->store = store;
    write->callback = callback;
    write->key = g_strdup(key);
    write->version = version;
    return write;
}

void
store_cas(struct store *store, const char *key, const char *value,
          size_t size_bytes, uint64_t version, struct store_callback callback)
{
    struct store_write *write = write_create(store, key, version, callback);
    /* The value of a struct store_entry ends with a NUL. */
    char *copy = g_malloc(size_bytes + 1);
    memcpy(copy, value, size_bytes);
    copy[size_bytes] = '\0';
    write->value = g_bytes_new_with_free_func(copy, size_bytes, g_free, copy);
    write_send(write);
}

void
store_delete(struct store *store, const char *key, uint64_t version,
             struct store_callback callback)
{
    write_send(write_create(store, key, version, callback));
}
