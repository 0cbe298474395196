/* Ports of 127.0.0.1 that nothing listens on. */
#ifndef STANDINS_FREE_PORTS_H
#define STANDINS_FREE_PORTS_H

#include <stddef.h>
#include <stdint.h>

/* Tests with fixed ports use those from FREE_PORTS_END up to the kernel's
 * range of ephemeral ports. */
enum {
    FREE_PORTS_FIRST = 10000,
    FREE_PORTS_END = 20000,
};

/**
 * free_ports_find() - find @n distinct ports in the range from
 * FREE_PORTS_FIRST to FREE_PORTS_END - 1; no port is returned twice to the
 * same process.
 */
void
free_ports_find(uint16_t *ports, size_t n);

#endif
