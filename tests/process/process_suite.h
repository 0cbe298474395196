/* Runs a single test of a suite, so that meson gives each its own time-out. */
#ifndef TESTS_PROCESS_PROCESS_SUITE_H
#define TESTS_PROCESS_PROCESS_SUITE_H

#include <string.h>

#include "../suite.h"

/** suite_main_one() - run the test named by the first argument, or all without
 * one; returns the exit status of the program. */
static inline int
suite_main_one(const char *name, const struct suite_test *tests,
               size_t n_tests, int argc, char **argv)
{
    if (argc < 2) {
        return suite_main(name, tests, n_tests);
    }
    for (size_t i = 0; i < n_tests; i++) {
        if (strcmp(tests[i].name, argv[1]) == 0) {
            return suite_main(name, &tests[i], 1);
        }
    }
    return EXIT_FAILURE;
}

#endif
