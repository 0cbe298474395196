#include "free_ports.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <unistd.h>

static int
bind_port(uint16_t port)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_port = htons(port),
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* A port that was drawn before may not be bound yet by its daemon. */
static bool
draw_port(uint16_t *port)
{
    static bool drawn[FREE_PORTS_END - FREE_PORTS_FIRST];
    int32_t i = g_random_int_range(0, G_N_ELEMENTS(drawn));
    *port = (uint16_t)(FREE_PORTS_FIRST + i);
    bool first = !drawn[i];
    drawn[i] = true;
    return first;
}

void
free_ports_find(uint16_t *ports, size_t n)
{
    int *fds = g_new(int, n);
    for (size_t i = 0; i < n; i++) {
        do {
            fds[i] = draw_port(&ports[i]) ? bind_port(ports[i]) : -1;
        } while (fds[i] < 0);
    }
    for (size_t i = 0; i < n; i++) {
        close(fds[i]);
    }
    g_free(fds);
}
