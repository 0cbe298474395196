/* Reservations of capacity that will be free soon. */
#include "core/jobs/scheduler.h"

#include "placer.h"

void
placer_reserve_ahead(struct placer *placer,
                     const struct placement_request *request)
{
    (void)placer;
    (void)request;
}

bool
placer_reservation_allows(const struct placer *placer,
                          const struct backend *backend,
                          const struct placement_request *request)
{
    (void)placer;
    (void)backend;
    (void)request;
    return true;
}
