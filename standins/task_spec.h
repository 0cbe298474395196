/* Directives in the body of a task for the stand-in backend servers, and the
 * response that they must produce. */
#ifndef STANDINS_TASK_SPEC_H
#define STANDINS_TASK_SPEC_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum {
    TASK_DEFAULT_RUN_MS = 5
};

/**
 * enum disconnect_point - where the backend server closes the connection
 * @DISCONNECT_NONE: nowhere
 * @DISCONNECT_BEFORE_RUN: after reading the request; the task doesn't run
 * @DISCONNECT_AFTER_READ: after reading the request; the task still runs
 * @DISCONNECT_RESET_MID_RESPONSE: with a TCP reset halfway into the response
 * @DISCONNECT_CLOSE_MID_RESPONSE: with an orderly close halfway into the
 *                                 response
 */
enum disconnect_point {
    DISCONNECT_NONE,
    DISCONNECT_BEFORE_RUN,
    DISCONNECT_AFTER_READ,
    DISCONNECT_RESET_MID_RESPONSE,
    DISCONNECT_CLOSE_MID_RESPONSE,
};

/**
 * struct task_spec - parsed directives of a task's body
 * @tag: identifies the request, or NULL
 * @run_ms: how long the task runs
 * @response_bytes: size of the response; 0 echoes the body
 * @fail: whether the task runs and then fails
 * @disconnect: where the connection is closed
 */
struct task_spec {
    char *tag;
    int64_t run_ms;
    int64_t response_bytes;
    bool fail;
    enum disconnect_point disconnect;
};

/** task_spec_parse() - parse "name=value" tokens; unknown names have no
 * effect. */
void
task_spec_parse(struct task_spec *spec, const char *body, size_t size_bytes);

void
task_spec_clear(struct task_spec *spec);

/** task_spec_response() - the complete response body to @body. */
GBytes *
task_spec_response(const struct task_spec *spec, const char *body,
                   size_t size_bytes);

#endif
