/* Ports of 127.0.0.1 that nothing listens on. */
#ifndef STANDINS_FREE_PORTS_H
#define STANDINS_FREE_PORTS_H

#include <stddef.h>
#include <stdint.h>

/* Fixed ports of tests lie from FREE_PORTS_END to the kernel's own range. */
enum {
    FREE_PORTS_FIRST = 10000,
    FREE_PORTS_END = 20000,
};

/**
 * free_ports_find() - @n distinct ports from FREE_PORTS_FIRST up to, without,
 * FREE_PORTS_END, none of which this process was given before.
 */
void
free_ports_find(uint16_t *ports, size_t n);

#endif
