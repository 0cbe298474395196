/* A long reply to a process whose loop is busy with other work. */
#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../suite.h"
#include "net/http_client.h"
#include "net/loop_priority.h"

enum {
    BODY_BYTES = 400000,
    /* libevent reads this much of a connection in a turn. */
    READ_BYTES = 4096,
    TURN_US = 2000,
    TIMEOUT_MS = 10000,
};

/**
 * struct busy_loop - other work that is always there
 * @turns: turns that it has taken since the call was sent
 */
struct busy_loop {
    struct event *timer;
    int turns;
    bool replied;
    size_t reply_bytes;
};

static void
write_all(int fd, const char *bytes, size_t n)
{
    while (n > 0) {
        ssize_t written = write(fd, bytes, n);
        if (written <= 0) {
            return;
        }
        bytes += written;
        n -= (size_t)written;
    }
}

/* Answers one request in a process of its own. */
static pid_t
serve_long_reply(int listener)
{
    pid_t pid = fork();
    if (pid != 0) {
        return pid;
    }
    char request[4096];
    char head[80];
    char *body = g_strnfill(BODY_BYTES, 'x');
    int fd = accept(listener, NULL, NULL);
    if (read(fd, request, sizeof(request)) > 0) {
        snprintf(head, sizeof(head),
                 "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", BODY_BYTES);
        write_all(fd, head, strlen(head));
        write_all(fd, body, BODY_BYTES);
        /* The client closes the connection. */
        (void)!read(fd, request, sizeof(request));
    }
    _exit(EXIT_SUCCESS);
}

static void
on_busy(evutil_socket_t fd, short events, void *ctx)
{
    (void)fd;
    (void)events;
    const struct timeval now = {0};
    struct busy_loop *busy = ctx;
    busy->turns++;
    g_usleep(TURN_US);
    evtimer_add(busy->timer, &now);
}

static void
on_reply(void *ctx, const struct http_reply *reply)
{
    struct busy_loop *busy = ctx;
    busy->replied = true;
    busy->reply_bytes = reply->body_bytes;
}

/* Turns of other work between a call and its reply. */
static int
turns_to_reply(bool urgent)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t bytes = sizeof(address);
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    CU_ASSERT_EQUAL_FATAL(
        bind(listener, (struct sockaddr *)&address, sizeof(address)), 0);
    CU_ASSERT_EQUAL_FATAL(listen(listener, 4), 0);
    getsockname(listener, (struct sockaddr *)&address, &bytes);
    pid_t server = serve_long_reply(listener);
    close(listener);
    char text[32];
    snprintf(text, sizeof(text), "127.0.0.1:%d", ntohs(address.sin_port));
    struct event_base *base = event_base_new();
    event_base_priority_init(base, LOOP_PRIORITIES);
    struct busy_loop busy = {0};
    busy.timer = evtimer_new(base, on_busy, &busy);
    struct http_client *client = http_client_create(base, text, TIMEOUT_MS);
    if (urgent) {
        http_client_set_urgent(client);
    }
    struct http_call call = {
        .method = "GET", .path = "/", .done = on_reply, .ctx = &busy};
    http_client_send(client, &call);
    on_busy(-1, 0, &busy);
    while (!busy.replied) {
        event_base_loop(base, EVLOOP_ONCE);
    }
    CU_ASSERT_EQUAL(busy.reply_bytes, BODY_BYTES);
    event_free(busy.timer);
    http_client_destroy(client);
    event_base_loop(base, EVLOOP_ONCE);
    event_base_free(base);
    waitpid(server, NULL, 0);
    return busy.turns;
}

/* Guards against a listing of the inbox that takes seconds on a busy leader,
 * in which nothing may start. */
static void
test_urgent_reply(void)
{
    int usual = turns_to_reply(false);
    int urgent = turns_to_reply(true);
    printf("%d turns, urgent %d ", usual, urgent);
    CU_ASSERT(urgent <= BODY_BYTES / READ_BYTES / 4);
}

int
main(void)
{
    static const struct suite_test tests[] = {
        {"an urgent reply is read first", test_urgent_reply},
    };
    return suite_main("net urgent reply", tests, G_N_ELEMENTS(tests));
}
