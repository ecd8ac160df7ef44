// What carries attempts to workers over one protocol: HTTP to the workers of discovery's list, or Faktory to
// the workers that have a session here.
#ifndef ALDERSILL_SRC_DAEMON_ATTEMPT_TRANSPORT_H_
#define ALDERSILL_SRC_DAEMON_ATTEMPT_TRANSPORT_H_

#include "core/types.h"

namespace aldersill {

// Implemented by components; runs on the event loop's thread. A transport reports what becomes of an attempt
// by posting AttemptConnected, AttemptSent, AttemptProgress and one AttemptEnded.
class AttemptTransport {
 public:
  virtual ~AttemptTransport() = default;

  // Begins an attempt at the worker that `start` names.
  virtual void Start(const StartAttempt& start) = 0;
  // Permits the first byte of the request. Only used with transports that post AttemptConnected and wait for
  // this permission.
  virtual void Send(const SendAttempt& /*send*/) {}
  // Gives the attempt up. No AttemptEnded follows; AbandonedAttemptEnded does where the worker cannot be told
  // to stop.
  virtual void Stop(AttemptId attempt) = 0;
};

}  // namespace aldersill

#endif  // ALDERSILL_SRC_DAEMON_ATTEMPT_TRANSPORT_H_
