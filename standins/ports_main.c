/* standin-ports: prints free ports for scripts, one per line. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "free_ports.h"

enum {
    PORTS_MAX = 1000
};

int
main(int argc, char **argv)
{
    long n = argc == 2 ? strtol(argv[1], NULL, 10) : 0;
    if (n < 1 || n > PORTS_MAX) {
        fprintf(stderr, "usage: standin-ports COUNT\n");
        return EXIT_FAILURE;
    }
    uint16_t ports[PORTS_MAX];
    free_ports_find(ports, (size_t)n);
    for (long i = 0; i < n; i++) {
        printf("%" PRIu16 "\n", ports[i]);
    }
    return EXIT_SUCCESS;
}
