// Includes all data types of the core: jobs, workers, settings, events and effects. None of them depends on a
// wire format, a socket, JSON or a clock.
#ifndef ALDERSILL_SRC_CORE_TYPES_H_
#define ALDERSILL_SRC_CORE_TYPES_H_

#include "core/effects.h"          // IWYU pragma: export
#include "core/events.h"           // IWYU pragma: export
#include "core/job.h"              // IWYU pragma: export
#include "core/micros.h"           // IWYU pragma: export
#include "core/settings.h"         // IWYU pragma: export
#include "core/timer_key.h"        // IWYU pragma: export
#include "core/worker_endpoint.h"  // IWYU pragma: export

#endif  // ALDERSILL_SRC_CORE_TYPES_H_
