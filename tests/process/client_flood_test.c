/*
 * Misbehaving clients of a gateway and of a fleet controller: requests whose
 * responses are not read, headers and bodies that are incomplete or too long,
 * and more connections than allowed. The process must stay alive, keep its
 * memory and its descriptors below a bound, and answer an ordinary request
 * while the clients are still connected.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "process_config.h"
#include "process_fleet.h"
#include "process_suite.h"

enum {
    CLIENTS_MAX = 600,
    /* The clients send for this long, unless they have sent all before, and
     * keep their connections open afterwards. */
    SEND_MS = 4000,
    ANSWER_TIMEOUT_MS = 20000,
    RETRY_INTERVAL_MS = 500,
    /* A burst would overflow the backlog of a listening socket. */
    CONNECT_INTERVAL_US = 2000,
    KIB = 1024,
    MIB = 1024 * 1024,
    /* A process uses 15 to 20 MiB at rest; the settings below allow 16 MiB of
     * bodies. */
    MEMORY_MAX_KIB = 80 * 1024,
    /* A process has less than 70 open at rest; the settings below allow 200
     * connections. */
    DESCRIPTORS_MAX = 300,
};

#define SETTINGS                                                              \
    ", \"max_connections\": 200, \"max_buffered_bytes\": 16777216,"           \
    " \"max_body_bytes\": 1048576"

/**
 * struct flood - what each client sends
 * @clients: number of connections
 * @head: sent once at first; NULL for nothing
 * @repeat: sent again and again after @head; NULL for nothing
 * @bytes_max: bytes that a client sends at most
 */
struct flood {
    uint32_t clients;
    const char *head;
    const char *repeat;
    size_t bytes_max;
};

struct client {
    int fd;
    size_t sent_bytes;
};

struct target {
    uint16_t port;
    struct fleet_child *process;
    const char *method;
    const char *path;
    const char *body;
};

static struct fleet *fleet;
static struct client clients[CLIENTS_MAX];

static void
open_fleet(const char *name)
{
    fleet = fleet_start(&(struct fleet_options){
        .name = name,
        .gateways = 1,
        .layout = PROCESS_LAYOUT,
        .dcs = PROCESS_DCS,
        .config = PROCESS_CONFIG("40"),
        .settings = SETTINGS,
        .direct_backends = true,
    });
}

static struct target
gateway_target(void)
{
    return (struct target){
        .port = fleet->http_ports[0],
        .process = fleet->gateways[0],
        .method = "POST",
        .path = "/v1/queues/open/tasks",
        .body = "run_ms=1",
    };
}

static struct target
controller_target(void)
{
    return (struct target){
        .port = fleet->controller_ports[0],
        .process = fleet->controllers[0],
        .method = "GET",
        .path = "/healthz",
    };
}

static int
connect_client(uint16_t port)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_port = htons(port),
        .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)},
    };
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    CU_ASSERT_FATAL(fd >= 0);
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Next piece that @client has to send, NULL when it has sent all. */
static const char *
next_piece(const struct flood *flood, const struct client *client,
           size_t *size_bytes)
{
    size_t head_bytes = flood->head == NULL ? 0 : strlen(flood->head);
    if (client->sent_bytes < head_bytes) {
        *size_bytes = head_bytes - client->sent_bytes;
        return flood->head + client->sent_bytes;
    }
    if (flood->repeat == NULL || client->sent_bytes >= flood->bytes_max) {
        return NULL;
    }
    size_t repeat_bytes = strlen(flood->repeat);
    size_t offset_bytes = (client->sent_bytes - head_bytes) % repeat_bytes;
    *size_bytes = repeat_bytes - offset_bytes;
    return flood->repeat + offset_bytes;
}

static void
close_client(struct client *client)
{
    if (client->fd >= 0) {
        close(client->fd);
        client->fd = -1;
    }
}

static void
send_piece(const struct flood *flood, struct client *client)
{
    size_t size_bytes = 0;
    const char *piece = next_piece(flood, client, &size_bytes);
    if (piece == NULL) {
        return;
    }
    ssize_t sent = send(client->fd, piece, size_bytes, MSG_NOSIGNAL);
    if (sent > 0) {
        client->sent_bytes += (size_t)sent;
    }
    else if (errno != EAGAIN) {
        close_client(client);
    }
}

/* Whether a client has something left to send. */
static bool
send_round(const struct flood *flood)
{
    static struct pollfd polled[CLIENTS_MAX];
    bool unsent = false;
    for (uint32_t i = 0; i < flood->clients; i++) {
        size_t size_bytes = 0;
        bool sends = clients[i].fd >= 0 &&
                     next_piece(flood, &clients[i], &size_bytes) != NULL;
        polled[i] = (struct pollfd){
            .fd = sends ? clients[i].fd : -1,
            .events = POLLOUT,
        };
        unsent |= sends;
    }
    poll(polled, flood->clients, 50);
    for (uint32_t i = 0; i < flood->clients; i++) {
        if (polled[i].fd >= 0 && polled[i].revents != 0) {
            send_piece(flood, &clients[i]);
        }
    }
    return unsent;
}

static void
start_flood(const struct flood *flood, uint16_t port)
{
    for (uint32_t i = 0; i < flood->clients; i++) {
        clients[i] = (struct client){.fd = connect_client(port)};
        g_usleep(CONNECT_INTERVAL_US);
    }
    int64_t end_ms = fleet_now_ms() + SEND_MS;
    while (fleet_now_ms() < end_ms && send_round(flood)) {
    }
    fleet_sleep_ms(RETRY_INTERVAL_MS);
}

static void
stop_flood(const struct flood *flood)
{
    for (uint32_t i = 0; i < flood->clients; i++) {
        close_client(&clients[i]);
    }
}

static int64_t
peak_memory_kib(const char *pid)
{
    char *path = g_strdup_printf("/proc/%s/status", pid);
    char *text = NULL;
    int64_t peak_kib = -1;
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        const char *line = strstr(text, "VmHWM:");
        if (line != NULL) {
            peak_kib = g_ascii_strtoll(line + strlen("VmHWM:"), NULL, 10);
        }
    }
    g_free(text);
    g_free(path);
    return peak_kib;
}

static uint32_t
open_descriptors(const char *pid)
{
    char *path = g_strdup_printf("/proc/%s/fd", pid);
    GDir *dir = g_dir_open(path, 0, NULL);
    uint32_t count = 0;
    while (dir != NULL && g_dir_read_name(dir) != NULL) {
        count++;
    }
    g_clear_pointer(&dir, g_dir_close);
    g_free(path);
    return count;
}

/* A refused caller tries again, as Retry-After requests. */
static bool
is_answered(const struct target *target)
{
    int64_t end_ms = fleet_now_ms() + ANSWER_TIMEOUT_MS;
    guint status = 0;
    g_object_set(fleet->session, "timeout", 5, NULL);
    while (status != SOUP_STATUS_OK && fleet_now_ms() < end_ms) {
        g_free(fleet_call(fleet, target->method, target->port, target->path,
                          target->body, &status));
        if (status != SOUP_STATUS_OK) {
            fleet_sleep_ms(RETRY_INTERVAL_MS);
        }
    }
    return status == SOUP_STATUS_OK;
}

static void
check_flood(const struct target *target, const struct flood *flood)
{
    start_flood(flood, target->port);
    const char *pid = g_subprocess_get_identifier(target->process->child);
    CU_ASSERT_PTR_NOT_NULL_FATAL(pid);
    uint32_t descriptors = open_descriptors(pid);
    bool answered = is_answered(target);
    int64_t peak_kib = peak_memory_kib(pid);
    printf("peak %" G_GINT64_FORMAT " KiB, %u descriptors, %s\n", peak_kib,
           descriptors, answered ? "answered" : "not answered");
    CU_ASSERT(peak_kib > 0 && peak_kib <= MEMORY_MAX_KIB);
    CU_ASSERT(descriptors > 0 && descriptors <= DESCRIPTORS_MAX);
    CU_ASSERT(answered);
    stop_flood(flood);
}

static void
check_gateway(const char *name, const struct flood *flood)
{
    open_fleet(name);
    struct target target = gateway_target();
    check_flood(&target, flood);
    CU_ASSERT(fleet_stop(fleet));
}

static void
check_controller(const char *name, const struct flood *flood)
{
    open_fleet(name);
    struct target target = controller_target();
    check_flood(&target, flood);
    CU_ASSERT(fleet_stop(fleet));
}

/* Pipelines requests as fast as the process takes them. */
static struct flood
unread_flood(const char *request)
{
    return (struct flood){
        .clients = 60,
        .repeat = request,
        .bytes_max = 64 * MIB,
    };
}

#define HOST "Host: 127.0.0.1\r\n"
#define FILLER                                                                \
    "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx" \
    "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"

static void
test_unknown_path_unread(void)
{
    struct flood flood = unread_flood("GET /none HTTP/1.1\r\n" HOST "\r\n");
    check_gateway("flood-unknown", &flood);
}

static void
test_queue_path_unread(void)
{
    struct flood flood =
        unread_flood("POST /v1/queues/open/tasks HTTP/1.1\r\n" HOST
                     "Content-Length: 8\r\n\r\nrun_ms=1"
                     "GET /v1/queues/open/tasks HTTP/1.1\r\n" HOST "\r\n");
    check_gateway("flood-queue", &flood);
}

static void
test_health_unread(void)
{
    struct flood flood = unread_flood("GET /healthz HTTP/1.1\r\n" HOST "\r\n");
    check_gateway("flood-health", &flood);
}

static void
test_metrics_unread(void)
{
    struct flood flood = unread_flood("GET /metrics HTTP/1.1\r\n" HOST "\r\n");
    check_gateway("flood-metrics", &flood);
}

static const struct flood endless_header = {
    .clients = 60,
    .head = "GET /healthz HTTP/1.1\r\n" HOST,
    .repeat = "X-Filler: " FILLER "\r\n",
    .bytes_max = 4 * MIB,
};

static void
test_endless_header(void)
{
    check_gateway("flood-header", &endless_header);
}

/* Within the limit of one header, but on more connections than allowed. */
static void
test_slow_headers(void)
{
    const struct flood flood = {
        .clients = 500,
        .head = "POST /v1/queues/open/tasks HTTP/1.1\r\n" HOST,
        .repeat = "X-Filler: " FILLER "\r\n",
        .bytes_max = 16 * KIB,
    };
    check_gateway("flood-slow-headers", &flood);
}

/* The bodies are within the limit of one body. */
static void
test_half_bodies(void)
{
    const struct flood flood = {
        .clients = 150,
        .head = "POST /v1/queues/open/tasks HTTP/1.1\r\n" HOST
                "Content-Length: 1048576\r\n\r\n",
        .repeat = FILLER,
        .bytes_max = 1000 * KIB,
    };
    check_gateway("flood-half-bodies", &flood);
}

static void
test_half_bodies_at_unknown_path(void)
{
    const struct flood flood = {
        .clients = 150,
        .head =
            "POST /none HTTP/1.1\r\n" HOST "Content-Length: 1048576\r\n\r\n",
        .repeat = FILLER,
        .bytes_max = 1000 * KIB,
    };
    check_gateway("flood-half-unknown", &flood);
}

#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define CHUNK "80\r\n" CHUNK_32 CHUNK_32 CHUNK_32 CHUNK_32 "\r\n"
#define CHUNK_32 "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"

static void
test_endless_bodies(void)
{
    const struct flood flood = {
        .clients = 60,
        .head = "POST /v1/queues/open/tasks HTTP/1.1\r\n" HOST CHUNKED,
        .repeat = CHUNK,
        .bytes_max = 4 * MIB,
    };
    check_gateway("flood-endless", &flood);
}

/* Each chunk costs far more memory than its one byte. */
static void
test_small_chunks(void)
{
    const struct flood flood = {
        .clients = 20,
        .head = "POST /v1/queues/open/tasks HTTP/1.1\r\n" HOST CHUNKED,
        .repeat = "1\r\nx\r\n1\r\nx\r\n1\r\nx\r\n1\r\nx\r\n",
        .bytes_max = 4 * MIB,
    };
    check_gateway("flood-chunks", &flood);
}

/* Refused by its head, but the body still comes. */
static void
test_endless_bodies_at_unknown_queue(void)
{
    const struct flood flood = {
        .clients = 60,
        .head = "POST /v1/queues/none/tasks HTTP/1.1\r\n" HOST CHUNKED,
        .repeat = CHUNK,
        .bytes_max = 4 * MIB,
    };
    check_gateway("flood-endless-unknown", &flood);
}

static const struct flood idle_connections = {.clients = CLIENTS_MAX};

static void
test_idle_connections(void)
{
    check_gateway("flood-idle", &idle_connections);
}

static void
test_controller_unread(void)
{
    struct flood flood = unread_flood("GET /healthz HTTP/1.1\r\n" HOST "\r\n"
                                      "GET /metrics HTTP/1.1\r\n" HOST "\r\n"
                                      "GET /none HTTP/1.1\r\n" HOST "\r\n");
    check_controller("flood-controller", &flood);
}

static void
test_controller_endless_header(void)
{
    check_controller("flood-controller-header", &endless_header);
}

static void
test_controller_half_bodies(void)
{
    const struct flood flood = {
        .clients = 150,
        .head = "POST /healthz HTTP/1.1\r\n" HOST
                "Content-Length: 1048576\r\n\r\n",
        .repeat = FILLER,
        .bytes_max = 1000 * KIB,
    };
    check_controller("flood-controller-half", &flood);
}

static void
test_controller_endless_bodies(void)
{
    const struct flood flood = {
        .clients = 60,
        .head = "GET /healthz HTTP/1.1\r\n" HOST CHUNKED,
        .repeat = CHUNK,
        .bytes_max = 4 * MIB,
    };
    check_controller("flood-controller-endless", &flood);
}

static void
test_controller_idle_connections(void)
{
    check_controller("flood-controller-idle", &idle_connections);
}

/* Waits until the gateway holds memory for this many bytes of bodies. */
static bool
wait_buffered(int64_t min_bytes)
{
    static const char metric[] = "egret_buffered_bytes ";
    int64_t end_ms = fleet_now_ms() + ANSWER_TIMEOUT_MS;
    int64_t buffered_bytes = 0;
    while (buffered_bytes < min_bytes && fleet_now_ms() < end_ms) {
        char *text = fleet_call(fleet, "GET", fleet->http_ports[0], "/metrics",
                                NULL, NULL);
        const char *line = text == NULL ? NULL : strstr(text, metric);
        if (line != NULL) {
            buffered_bytes = g_ascii_strtoll(line + strlen(metric), NULL, 10);
        }
        g_free(text);
        fleet_sleep_ms(20);
    }
    return buffered_bytes >= min_bytes;
}

/* Guards against passing on a request that is refused, and against a refusal
 * without the outcome and the time that the protocol requires. */
static void
test_refusal_without_memory(void)
{
    const struct flood flood = {
        .clients = 14,
        .head = "POST /v1/queues/open/tasks HTTP/1.1\r\n" HOST
                "Content-Length: 1048576\r\n\r\n",
    };
    open_fleet("flood-refusal");
    struct target target = gateway_target();
    start_flood(&flood, target.port);
    CU_ASSERT(wait_buffered(14 * MIB));
    int64_t before = fleet_backend_stat(fleet, "teams", "public", "started");
    char *uri =
        g_strdup_printf("http://127.0.0.1:%u%s", target.port, target.path);
    SoupMessage *message = soup_message_new("POST", uri);
    GBytes *body = g_bytes_new_static("run_ms=1", strlen("run_ms=1"));
    soup_message_set_request_body_from_bytes(message, "text/plain", body);
    GBytes *answer =
        soup_session_send_and_read(fleet->session, message, NULL, NULL);
    SoupMessageHeaders *headers = soup_message_get_response_headers(message);
    CU_ASSERT_EQUAL(soup_message_get_status(message),
                    SOUP_STATUS_SERVICE_UNAVAILABLE);
    CU_ASSERT_EQUAL(
        g_strcmp0(soup_message_headers_get_one(headers, "Egret-Outcome"),
                  "not-run"),
        0);
    CU_ASSERT_EQUAL(
        g_strcmp0(soup_message_headers_get_one(headers, "Retry-After"), "1"),
        0);
    CU_ASSERT_EQUAL(fleet_backend_stat(fleet, "teams", "public", "started"),
                    before);
    CU_ASSERT(is_answered(&target));
    stop_flood(&flood);
    g_clear_pointer(&answer, g_bytes_unref);
    g_bytes_unref(body);
    g_object_unref(message);
    g_free(uri);
    CU_ASSERT(fleet_stop(fleet));
}

int
main(int argc, char **argv)
{
    static const struct suite_test tests[] = {
        {"unknown path unread", test_unknown_path_unread},
        {"queue path unread", test_queue_path_unread},
        {"health unread", test_health_unread},
        {"metrics unread", test_metrics_unread},
        {"endless header", test_endless_header},
        {"slow headers", test_slow_headers},
        {"half bodies", test_half_bodies},
        {"half bodies at unknown path", test_half_bodies_at_unknown_path},
        {"endless bodies", test_endless_bodies},
        {"small chunks", test_small_chunks},
        {"endless bodies at unknown queue",
         test_endless_bodies_at_unknown_queue},
        {"idle connections", test_idle_connections},
        {"controller unread", test_controller_unread},
        {"controller endless header", test_controller_endless_header},
        {"controller half bodies", test_controller_half_bodies},
        {"controller endless bodies", test_controller_endless_bodies},
        {"controller idle connections", test_controller_idle_connections},
        {"refusal without memory", test_refusal_without_memory},
    };
    return suite_main_one("client_flood", tests, G_N_ELEMENTS(tests), argc,
                          argv);
}
