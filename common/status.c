#include "common/status.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* Ends a message that is longer than fits. */
#define CUT_MARK " [...]"

enum status_code
status_set(struct status *status, enum status_code code, const char *format,
           ...)
{
    if (status == NULL) {
        return code;
    }
    va_list args;
    va_start(args, format);
    status->code = code;
    int bytes =
        vsnprintf(status->message, sizeof(status->message), format, args);
    va_end(args);
    if (bytes >= (int)sizeof(status->message)) {
        memcpy(status->message + sizeof(status->message) - sizeof(CUT_MARK),
               CUT_MARK, sizeof(CUT_MARK));
    }
    return code;
}

void
status_clear(struct status *status)
{
    status->code = STATUS_OK;
    status->message[0] = '\0';
}

bool
status_ok(const struct status *status)
{
    return status->code == STATUS_OK;
}

const char *
status_code_name(enum status_code code)
{
    static const char *const names[] = {
        [STATUS_OK] = "ok",
        [STATUS_INVALID] = "invalid",
        [STATUS_NOT_FOUND] = "not-found",
        [STATUS_CONFLICT] = "conflict",
        [STATUS_DENIED] = "denied",
        [STATUS_UNAVAILABLE] = "unavailable",
        [STATUS_UNKNOWN] = "unknown",
        [STATUS_TOO_LARGE] = "too-large",
        [STATUS_INTERNAL] = "internal",
    };
    return names[code];
}
