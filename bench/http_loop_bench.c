/*
 * Compares the processor time per request of a server with many open
 * connections: libsoup on GLib's main loop, and evhttp on libevent's.
 *
 * Prints one JSON line per library and number of connections.
 */
#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <libsoup/soup.h>

#include "net/http_server.h"

enum {
    FIRST_PORT = 23100,
    REQUESTS = 20000,
    CONNECTIONS_MAX = 600,
    CONNECT_ATTEMPTS_MAX = 200,
    CONNECT_RETRY_US = 10000,
    RESPONSE_MAX_BYTES = 1024,
};

static void
soup_respond(SoupServer *server, SoupServerMessage *message, const char *path,
             GHashTable *query, void *ctx)
{
    (void)server;
    (void)path;
    (void)query;
    (void)ctx;
    soup_server_message_set_status(message, 503, NULL);
}

static void
serve_soup(int port)
{
    SoupServer *server = soup_server_new(NULL, NULL);
    soup_server_add_handler(server, NULL, soup_respond, NULL, NULL);
    soup_server_listen_local(server, (guint)port, SOUP_SERVER_LISTEN_IPV4_ONLY,
                             NULL);
    g_main_loop_run(g_main_loop_new(NULL, FALSE));
}

static void
event_respond(void *ctx, struct http_exchange *exchange)
{
    (void)ctx;
    http_exchange_reply(exchange, 503, NULL);
}

static void
serve_event(int port)
{
    char address[32];
    snprintf(address, sizeof(address), "127.0.0.1:%d", port);
    struct event_base *base = event_base_new();
    http_server_create(base, address, event_respond, NULL);
    event_base_dispatch(base);
}

static int
connect_to(int port)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_port = htons((uint16_t)port),
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    for (int i = 0; i < CONNECT_ATTEMPTS_MAX; i++) {
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0) {
            return fd;
        }
        close(fd);
        usleep(CONNECT_RETRY_US);
    }
    return -1;
}

static void
send_request(int fd)
{
    static const char request[] =
        "GET /queue/0123456789abcdef HTTP/1.1\r\nHost: jobs.example\r\n\r\n";
    char response[RESPONSE_MAX_BYTES];
    size_t received = 0;
    if (write(fd, request, sizeof(request) - 1) < 0) {
        return;
    }
    while (received < sizeof(response) - 1) {
        ssize_t bytes =
            read(fd, response + received, sizeof(response) - 1 - received);
        if (bytes <= 0) {
            return;
        }
        received += (size_t)bytes;
        response[received] = '\0';
        if (strstr(response, "\r\n\r\n") != NULL) {
            return;
        }
    }
}

static void
measure(const char *name, void (*serve)(int port), int port, int connections)
{
    pid_t pid = fork();
    if (pid == 0) {
        serve(port);
        _exit(EXIT_SUCCESS);
    }
    int fds[CONNECTIONS_MAX];
    for (int i = 0; i < connections; i++) {
        fds[i] = connect_to(port);
    }
    for (int i = 0; i < REQUESTS; i++) {
        send_request(fds[i % connections]);
    }
    kill(pid, SIGKILL);
    struct rusage usage;
    int status = 0;
    wait4(pid, &status, 0, &usage);
    for (int i = 0; i < connections; i++) {
        close(fds[i]);
    }
    double cpu_s =
        (double)usage.ru_utime.tv_sec + (double)usage.ru_stime.tv_sec +
        (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1e6;
    printf("{\"bench\":\"http_loop\",\"library\":\"%s\",\"connections\":%d,"
           "\"requests\":%d,\"us_per_request\":%.1f,\"peak_mb\":%.1f}\n",
           name, connections, REQUESTS, cpu_s * 1e6 / REQUESTS,
           (double)usage.ru_maxrss / 1024);
    fflush(stdout);
}

int
main(void)
{
    signal(SIGPIPE, SIG_IGN);
    static const int sizes[] = {10, 100, 300, CONNECTIONS_MAX};
    int port = FIRST_PORT;
    for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        measure("libsoup", serve_soup, port++, sizes[i]);
        measure("libevent", serve_event, port++, sizes[i]);
    }
    return EXIT_SUCCESS;
}
