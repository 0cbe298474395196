/* Runs one CUnit suite as the main program of a test. */
#ifndef TESTS_SUITE_H
#define TESTS_SUITE_H

#include <CUnit/Basic.h>
#include <stdlib.h>

/** struct suite_test - a named test function */
struct suite_test {
    const char *name;
    void (*run)(void);
};

/** suite_main() - run @tests as the suite @name; returns the exit status of
 * the program, a failure also when a test was not run. */
static inline int
suite_main(const char *name, const struct suite_test *tests, size_t n_tests)
{
    if (CU_initialize_registry() != CUE_SUCCESS) {
        return EXIT_FAILURE;
    }
    CU_pSuite suite = CU_add_suite(name, NULL, NULL);
    for (size_t i = 0; i < n_tests; i++) {
        CU_add_test(suite, tests[i].name, tests[i].run);
    }
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned failures = CU_get_number_of_failures();
    unsigned run = CU_get_number_of_tests_run();
    CU_cleanup_registry();
    return failures == 0 && run == n_tests ? EXIT_SUCCESS : EXIT_FAILURE;
}

#endif
