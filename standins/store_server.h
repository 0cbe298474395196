/* HTTP server of the stand-in store. */
#ifndef STANDINS_STORE_SERVER_H
#define STANDINS_STORE_SERVER_H

#include <stdint.h>

#include "common/status.h"

struct store_server;

/** store_server_create() - listen on @address; with @port 0 the kernel assigns
 * the port. On failure set @status and return NULL. */
struct store_server *
store_server_create(const char *address, uint16_t port, struct status *status);
void
store_server_destroy(struct store_server *server);

/** store_server_port() - port that the server listens on. */
uint16_t
store_server_port(const struct store_server *server);

#endif
