// Cancels attempts whose outcome is no longer needed: the other attempts of a hedged request once one has
// started, and all attempts of a request that has ended.
#ifndef ALDERSILL_SRC_DISPATCH_CANCELLATION_H_
#define ALDERSILL_SRC_DISPATCH_CANCELLATION_H_

#include <cstddef>
#include <utility>

#include "dispatch/context.h"
#include "dispatch/request.h"

namespace aldersill::dispatch {

// Emits a Cancel for the attempt unless one has been emitted before.
inline void CancelAttempt(Context& context, Request* request, std::size_t attempt_number) {
  if (!std::exchange(request->attempts[attempt_number].cancelled, true))
    context.Emit(Cancel{request->id, static_cast<int>(attempt_number)});
}

// Cancels all open attempts of the request except `keep`, which may be null. Does nothing if the settings do
// not allow cancellation.
inline void CancelOpenAttempts(Context& context, Request* request, const Attempt* keep) {
  if (!context.settings().cancel)
    return;
  for (std::size_t i = 0; i < request->attempts.size(); ++i) {
    const Attempt& attempt = request->attempts[i];
    if (attempt.open && &attempt != keep)
      CancelAttempt(context, request, i);
  }
}

}  // namespace aldersill::dispatch

#endif  // ALDERSILL_SRC_DISPATCH_CANCELLATION_H_
